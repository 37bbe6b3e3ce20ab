"""Digests, deltas and compression of the texts that nodes exchange.

A text is split into chunks: the sections of an INI document, or the lines of an
instance list. A delta refers to runs of chunks copied from the old text and
contains the new chunks. All sizes are in bytes.
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
    """Data from a peer that does not yield the announced text."""


def compute_digest(body: bytes) -> str:
    """Return the SHA-256 digest of a text in hexadecimal."""
    return sha256(body).hexdigest()


def split_chunks(body: bytes) -> list[bytes]:
    """Split a text into sections, or into lines if it has no section."""
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
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(data, limit + 1)
    except zlib.error as exc:
        raise DigestError(f"cannot decompress data: {exc}") from exc
    if len(body) > limit:
        raise DigestError(f"decompressed text exceeds {limit} bytes")
    if not decompressor.eof or decompressor.unused_data:
        raise DigestError("compressed data is truncated or followed by other bytes")
    return body


def make_delta(old: bytes, new: bytes) -> bytes:
    """Return a compressed delta that turns `old` into `new`."""
    old_chunks = split_chunks(old)
    positions = {}
    for index, chunk in enumerate(old_chunks):
        positions.setdefault(chunk, index)
    operations: list[list[int] | bytes] = []
    run: list[int] | None = None
    new_chunks: list[bytes] = []
    for chunk in split_chunks(new):
        if run is not None:
            next_position = run[0] + run[1]
            if next_position < len(old_chunks) and old_chunks[next_position] == chunk:
                run[1] += 1
                continue
        position = positions.get(chunk)
        if position is None:
            run = None
            new_chunks.append(chunk)
            continue
        if new_chunks:
            operations.append(b"".join(new_chunks))
            new_chunks = []
        run = [position, 1]
        operations.append(run)
    if new_chunks:
        operations.append(b"".join(new_chunks))
    return compress_text(_encoder.encode(operations))


def apply_delta(old: bytes, delta: bytes, digest: str) -> bytes:
    """Apply a delta from a peer and check the result.

    Parameters
    ----------
    old : bytes
        Text that the delta was made from.
    delta : bytes
        Result of `make_delta`.
    digest : str
        Announced SHA-256 digest of the new text.

    Raises
    ------
    DigestError
        If the delta is malformed, the result exceeds `MAX_TEXT_BYTES`, or the
        digest of the result differs from `digest`.
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
                raise DigestError("delta copies chunks that the old text does not have")
            part = b"".join(old_chunks[start : start + count])
        size += len(part)
        if size > MAX_TEXT_BYTES:
            raise DigestError(f"text after the delta exceeds {MAX_TEXT_BYTES} bytes")
        parts.append(part)
    body = b"".join(parts)
    check_digest(body, digest)
    return body


def check_digest(body: bytes, digest: str) -> None:
    """Raise `DigestError` unless `body` has the announced digest."""
    actual = compute_digest(body)
    if actual != digest:
        raise DigestError(f"text has digest {actual[:12]}, expected {digest[:12]}")
