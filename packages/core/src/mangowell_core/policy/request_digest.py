"""Digest that identifies a repeated request."""

import hashlib


def make_fingerprint(method: str, path: str, query: str, body: bytes) -> str:
    """Return the SHA-256 digest of a request, in hexadecimal.

    Each part is preceded by its length, so that requests whose parts are split
    differently have different digests.
    """
    digest = hashlib.sha256()
    for part in (method.encode(), path.encode(), query.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
