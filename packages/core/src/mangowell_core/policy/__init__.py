"""Decisions on the path of a request.

What is re-exported is imported on first use: a node on the platform needs the
table of outcomes only, and each import delays its restart.
"""

from importlib import import_module

_MODULES = {
    "RequestPolicy": "request",
    "Stage": "outcome",
    "classify_attempt": "outcome",
    "make_fingerprint": "request_digest",
    "refuse": "outcome",
    "with_fingerprint": "request",
}

__all__ = [
    "RequestPolicy",
    "Stage",
    "classify_attempt",
    "make_fingerprint",
    "refuse",
    "with_fingerprint",
]


def __getattr__(name: str):
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{module}"), name)
