"""Decision on what counts as a format error, for all decoders of foreign bytes.

Libraries report bytes that they cannot decode by exceptions of many types, among
them `RecursionError` for text that is nested too deep and `OverflowError` for numbers
that are too large. A decoder that lists the types it expects lets the others end the
task that reads. Each layer has its own error class, and all of them decode with
`decode`, which turns every exception of a decoder into that class.
"""

from collections.abc import Callable
from typing import TypeVar

# Longest message of a format error, in characters. A decoder may quote the input.
MAX_REASON_CHARS = 300


Data = TypeVar("Data")
Value = TypeVar("Value")


def decode(
    decoder: Callable[[Data], Value],
    data: Data,
    error_type: type[Exception],
    subject: str = "",
) -> Value:
    """Decode data from outside; report whatever fails as a format error.

    Parameters
    ----------
    decoder : callable
        Takes `data` and returns the value.
    data : object
        Data that another program has written.
    error_type : type
        Exception that reports a format error at the caller's layer.
    subject : str, optional
        Name of the data, which precedes the reason in the message.

    Raises
    ------
    error_type
        If the decoder raises any exception but `MemoryError`, which depends on the
        process and not on the data.
    """
    try:
        return decoder(data)
    except error_type:
        raise
    except MemoryError:
        raise
    except Exception as exc:
        reason = describe(exc)
        raise error_type(f"{subject}: {reason}" if subject else reason) from exc


def describe(exc: Exception) -> str:
    """Return the reason of a format error as short ASCII text for a log line."""
    return quote(f"{type(exc).__name__}: {exc}")


def quote(text: str) -> str:
    """Return foreign text as short printable ASCII text."""
    text = text[:MAX_REASON_CHARS]
    if text.isascii() and text.isprintable():
        return text
    return text.encode("unicode_escape").decode("ascii")
