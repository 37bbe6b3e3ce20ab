"""Text and JSON on standard output, and a progress counter on standard error."""

import json
import sys
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from typing import Any, TextIO

DIGEST_CHARS = 12


def escape_control_chars(text: object) -> str:
    """Replace control characters by their escapes.

    Without this a file or a node's answer could send escape sequences to the
    terminal.
    """
    return "".join(
        char if char.isprintable() else char.encode("unicode_escape").decode()
        for char in str(text)
    )


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    print(json.dumps(value, indent=2))


def print_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print a header and rows in aligned columns."""
    table = [
        list(header),
        *([escape_control_chars(cell) for cell in row] for row in rows),
    ]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    for row in table:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(cells).rstrip())


def format_time(seconds: float | None, milliseconds: bool = False) -> str:
    """Format a Unix time as UTC; return a dash for None, 0 or a time out of range."""
    if not seconds:
        return "-"
    try:
        timestamp = datetime.fromtimestamp(seconds, UTC)
    except (OverflowError, ValueError, OSError):
        return "-"
    precision = "milliseconds" if milliseconds else "seconds"
    return timestamp.replace(tzinfo=None).isoformat(" ", precision) + "Z"


class Progress:
    """Shows a progress counter if the stream is a terminal.

    Parameters
    ----------
    label : str
        Text before the counter.
    total : int
        Number of items.
    stream : file, optional
        Standard error by default.
    """

    __slots__ = ("_done", "_is_shown", "_label", "_stream", "_total")

    def __init__(self, label: str, total: int, stream: TextIO | None = None):
        self._label = label
        self._total = total
        self._stream = stream or sys.stderr
        self._is_shown = self._stream.isatty()
        self._done = 0

    def advance(self) -> None:
        """Count one finished item."""
        self._done += 1
        if self._is_shown:
            self._stream.write(f"\r{self._label}: {self._done} of {self._total}")
            self._stream.flush()

    def close(self) -> None:
        """Erase the counter."""
        if self._is_shown and self._done:
            self._stream.write("\r\x1b[K")
            self._stream.flush()
