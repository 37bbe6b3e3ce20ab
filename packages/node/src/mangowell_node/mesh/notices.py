"""Notices between nodes as bytes.

Long ones are compressed: routes and workers differ in a few bytes only, and the
node that tells a change sends it to every node of its failure domain.
"""

import zlib

import msgspec

from mangowell_core.mesh.model import Notice

# Bytes above which compressing saves more than it costs: those of a status fit.
COMPRESS_ABOVE = 1024
COMPRESS_LEVEL = 1  # the fastest; a document of 1,600 routes takes about 3 ms
# Bound of a notice after decompression, bytes: many times the largest document
# that the store accepts.
MAX_NOTICE_BYTES = 16_777_216
# First byte of a compressed notice; no MessagePack value begins with it.
_COMPRESSED = b"\xc1"

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Notice)


class NoticeFormatError(Exception):
    """Bytes that are no notice."""


def encode_notice(notice: Notice) -> bytes:
    """Return the bytes of a notice."""
    payload = _encoder.encode(notice)
    if len(payload) <= COMPRESS_ABOVE:
        return payload
    return _COMPRESSED + zlib.compress(payload, COMPRESS_LEVEL)


def decode_notice(payload: bytes) -> Notice:
    """Return the notice that `encode_notice` made into bytes.

    Raises
    ------
    NoticeFormatError
        If the bytes are malformed, or too many once decompressed.
    """
    try:
        if payload[:1] == _COMPRESSED:
            unpacker = zlib.decompressobj()
            payload = unpacker.decompress(payload[1:], MAX_NOTICE_BYTES)
            if not unpacker.eof:
                raise NoticeFormatError("cut off or too long")
        return _decoder.decode(payload)
    except (msgspec.DecodeError, zlib.error) as exc:
        raise NoticeFormatError(str(exc)) from exc
