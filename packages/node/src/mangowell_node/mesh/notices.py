"""Encoding of the notices between nodes.

Long notices are compressed: routes and workers differ in only a few bytes, and the
publisher sends each change to every node of its failure domain.
"""

import contextlib
import zlib
from collections.abc import Callable

import msgspec

from mangowell_core import formats
from mangowell_core.mesh.model import Endpoint, Notice, WorkerId

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


def _ignore_reason(reason: str) -> None:
    """Do nothing; the default of `decode_notice`."""


class NoticeFormatError(Exception):
    """Bytes that cannot be decoded as a notice."""


def encode_notice(notice: Notice) -> bytes:
    """Return the notice as bytes, compressed if it is long."""
    payload = _encoder.encode(notice)
    if len(payload) <= COMPRESS_ABOVE_BYTES:
        return payload
    return _COMPRESSED + zlib.compress(payload, COMPRESS_LEVEL)


def decode_notice(
    payload: bytes, report: Callable[[str], None] = _ignore_reason
) -> Notice:
    """Return the notice that `encode_notice` has encoded.

    An entry of a worker that is malformed is left out, as if its worker was removed.

    Parameters
    ----------
    payload : bytes
        Encoded notice.
    report : callable, optional
        Called with a reason for each entry that is left out.

    Raises
    ------
    NoticeFormatError
        If the bytes are malformed, or too many after decompression.
    """
    payload = formats.decode(_decompress, payload, NoticeFormatError)
    try:
        return formats.decode(_decoder.decode, payload, NoticeFormatError)
    except NoticeFormatError:
        notice = formats.decode(_drop_malformed, payload, NoticeFormatError)
        if notice is None:
            raise
        reasons, notice = notice
        for reason in reasons:
            report(reason)
        return notice


def _decompress(payload: bytes) -> bytes:
    if payload[:1] != _COMPRESSED:
        return payload
    decompressor = zlib.decompressobj()
    payload = decompressor.decompress(payload[1:], MAX_NOTICE_BYTES)
    if not decompressor.eof:
        raise NoticeFormatError("cut off or too long")
    return payload


def _drop_malformed(payload: bytes) -> tuple[list[str], Notice] | None:
    """Decode a notice without its malformed entries; return the reasons too.

    Returns
    -------
    tuple or None
        None if the notice has no malformed entries, so that something else is wrong.
    """
    fields = msgspec.msgpack.decode(payload)
    match fields:
        case {"type": "StateNotice", "state": [_, _, list(endpoints), *_] as state}:
            state[2], removed, reasons = _split_endpoints(endpoints)
        case {"type": "ChangeNotice", "endpoints": list(endpoints)}:
            fields["endpoints"], removed, reasons = _split_endpoints(endpoints)
            fields["removed"] = [*fields["removed"], *removed]
        case _:
            return None
    if not reasons:
        return None
    return reasons, msgspec.convert(fields, Notice)


def _split_endpoints(endpoints: list) -> tuple[list, list[str], list[str]]:
    """Return the valid entries, the ids of the others, and why they are invalid."""
    valid, removed, reasons = [], [], []
    for endpoint in endpoints:
        try:
            formats.decode(_convert_endpoint, endpoint, NoticeFormatError, "endpoint")
        except NoticeFormatError as exc:
            reasons.append(str(exc))
            with contextlib.suppress(NoticeFormatError):
                removed.append(formats.decode(_read_id, endpoint, NoticeFormatError))
        else:
            valid.append(endpoint)
    return valid, removed, reasons


def _convert_endpoint(endpoint: list) -> Endpoint:
    return msgspec.convert(endpoint, Endpoint)


def _read_id(endpoint: list) -> str:
    return msgspec.convert(endpoint[0], WorkerId)
