"""Encoding of the notices between nodes.

Long notices are compressed: routes and workers differ in only a few bytes, and the
publisher sends each change to every node of its failure domain.
"""

import zlib

import msgspec

from mangowell_core import formats
from mangowell_core.mesh.model import Notice

# Above this size compression saves more than it costs. A status is smaller.
COMPRESS_ABOVE_BYTES = 1024
COMPRESS_LEVEL = 1  # the fastest; a document of 1,600 routes takes about 3 ms
# Largest notice after decompression: many times the largest document that the
# store accepts.
MAX_NOTICE_BYTES = 16_777_216
# First byte of a compressed notice; no MessagePack value begins with it.
_COMPRESSED = b"\xc1"

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Notice)


class NoticeFormatError(Exception):
    """Bytes that cannot be decoded as a notice."""


def encode_notice(notice: Notice) -> bytes:
    """Return the notice as bytes, compressed if it is long."""
    payload = _encoder.encode(notice)
    if len(payload) <= COMPRESS_ABOVE_BYTES:
        return payload
    return _COMPRESSED + zlib.compress(payload, COMPRESS_LEVEL)


def decode_notice(payload: bytes) -> Notice:
    """Return the notice that `encode_notice` has encoded.

    Raises
    ------
    NoticeFormatError
        If the bytes are malformed, or too many after decompression.
    """
    return formats.decode(_read_notice, payload, NoticeFormatError)


def _read_notice(payload: bytes) -> Notice:
    if payload[:1] == _COMPRESSED:
        decompressor = zlib.decompressobj()
        payload = decompressor.decompress(payload[1:], MAX_NOTICE_BYTES)
        if not decompressor.eof:
            raise NoticeFormatError("cut off or too long")
    return _decoder.decode(payload)
