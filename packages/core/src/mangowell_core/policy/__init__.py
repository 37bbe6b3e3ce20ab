"""Decisions on the project's own request path.

Re-exported names are imported on first use: a node on a platform needs only the
table of outcomes, and each import delays its restart.
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
