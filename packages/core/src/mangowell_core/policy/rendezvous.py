"""Rendezvous hashing: every node ranks the same names in the same order."""

import hashlib


def rank(key: str, names) -> list[str]:
    """Return the names in falling order of their hash with `key`."""
    prefix = hashlib.blake2b(key.encode(), digest_size=16)
    scored = []
    for name in names:
        state = prefix.copy()
        state.update(b"\0" + name.encode())
        scored.append((state.digest(), name))
    scored.sort(reverse=True)
    return [name for _, name in scored]


def find_first(key: str, names) -> str | None:
    """Return the first name of `rank`, or None without names."""
    ranked = rank(key, names)
    return ranked[0] if ranked else None
