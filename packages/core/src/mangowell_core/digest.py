"""Digests, differences and compression of the texts that nodes exchange.

A text is cut into chunks: the sections of an INI document, or the lines of an
instance list. A delta names runs of chunks kept from the old text and holds the
new ones. All sizes are in bytes.
"""

import re
import zlib
from hashlib import sha256

import msgspec

# The configuration service publishes values up to 1 MB.
MAX_TEXT_BYTES = 1_000_000
# zlib adds a few bytes per 16 KB to data that cannot be compressed.
MAX_COMPRESSED_BYTES = MAX_TEXT_BYTES + 4096
COMPRESSION_LEVEL = 6

_SECTION_START = re.compile(rb"(?m)^(?=\[)")
_Operations = list[tuple[int, int] | bytes]
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Operations)


class DigestError(Exception):
    """Bytes that do not give the announced text."""


def content_digest(body: bytes) -> str:
    """Return the SHA-256 of a text in hexadecimal."""
    return sha256(body).hexdigest()


def split_chunks(body: bytes) -> list[bytes]:
    """Cut a text into sections, or into lines if it has no section."""
    chunks = _SECTION_START.split(body)
    return chunks if len(chunks) > 1 else body.splitlines(keepends=True)


def compress_text(body: bytes) -> bytes:
    """Compress a text for transfer."""
    return zlib.compress(body, COMPRESSION_LEVEL)


def decompress_text(data: bytes, limit: int = MAX_TEXT_BYTES) -> bytes:
    """Decompress data from a peer without exceeding `limit` bytes.

    Raises
    ------
    DigestError
        If the data is damaged, incomplete, or expands beyond `limit`.
    """
    expander = zlib.decompressobj()
    try:
        body = expander.decompress(data, limit + 1)
    except zlib.error as exc:
        raise DigestError(f"damaged data: {exc}") from exc
    if len(body) > limit:
        raise DigestError(f"text of more than {limit} bytes")
    if not expander.eof or expander.unused_data:
        raise DigestError("incomplete data or trailing bytes")
    return body


def make_delta(old: bytes, new: bytes) -> bytes:
    """Return a compressed difference that turns `old` into `new`."""
    old_chunks = split_chunks(old)
    positions = {}
    for index, chunk in enumerate(old_chunks):
        positions.setdefault(chunk, index)
    operations: list[list[int] | bytes] = []
    run: list[int] | None = None
    added: list[bytes] = []
    for chunk in split_chunks(new):
        if run is not None:
            following = run[0] + run[1]
            if following < len(old_chunks) and old_chunks[following] == chunk:
                run[1] += 1
                continue
        position = positions.get(chunk)
        if position is None:
            run = None
            added.append(chunk)
            continue
        if added:
            operations.append(b"".join(added))
            added = []
        run = [position, 1]
        operations.append(run)
    if added:
        operations.append(b"".join(added))
    return compress_text(_encoder.encode(operations))


def apply_delta(old: bytes, delta: bytes, digest: str) -> bytes:
    """Apply a difference from a peer and check the result.

    Parameters
    ----------
    old : bytes
        Text that the difference was made from.
    delta : bytes
        Result of `make_delta`.
    digest : str
        Announced SHA-256 of the new text.

    Raises
    ------
    DigestError
        If the difference is malformed, the result exceeds `MAX_TEXT_BYTES`, or
        its digest is another one.
    """
    try:
        operations = _decoder.decode(decompress_text(delta))
    except msgspec.DecodeError as exc:
        raise DigestError(f"malformed delta: {exc}") from exc
    old_chunks = split_chunks(old)
    parts: list[bytes] = []
    size = 0
    for operation in operations:
        if isinstance(operation, bytes):
            part = operation
        else:
            start, count = operation
            if start < 0 or count < 1 or start + count > len(old_chunks):
                raise DigestError("delta refers to chunks outside the old text")
            part = b"".join(old_chunks[start : start + count])
        size += len(part)
        if size > MAX_TEXT_BYTES:
            raise DigestError(f"text of more than {MAX_TEXT_BYTES} bytes")
        parts.append(part)
    body = b"".join(parts)
    check_digest(body, digest)
    return body


def check_digest(body: bytes, digest: str) -> None:
    """Raise `DigestError` unless `body` has the announced digest."""
    actual = content_digest(body)
    if actual != digest:
        raise DigestError(f"digest {actual[:12]} instead of {digest[:12]}")
