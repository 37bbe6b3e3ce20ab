"""Text and JSON on standard output, progress on standard error."""

import json
import sys
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from typing import Any, TextIO

DIGEST_CHARS = 12


def clean(text: object) -> str:
    """Escape control characters.

    Files and answers of nodes must not send escape sequences to the terminal.
    """
    return "".join(
        char if char.isprintable() else char.encode("unicode_escape").decode()
        for char in str(text)
    )


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    print(json.dumps(value, indent=2))


def print_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print rows in aligned columns."""
    table = [list(header), *([clean(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    for row in table:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(cells).rstrip())


def format_time(seconds: float | None, decimals: bool = False) -> str:
    """Format Unix seconds as UTC; a dash for None, 0 or a time out of range."""
    if not seconds:
        return "-"
    try:
        moment = datetime.fromtimestamp(seconds, UTC)
    except (OverflowError, ValueError, OSError):
        return "-"
    precision = "milliseconds" if decimals else "seconds"
    return moment.replace(tzinfo=None).isoformat(" ", precision) + "Z"


class Progress:
    """Counter on standard error while a terminal is attached.

    Parameters
    ----------
    label : str
    total : int
    stream : file, optional
        Standard error by default.
    """

    __slots__ = ("_done", "_label", "_shown", "_stream", "_total")

    def __init__(self, label: str, total: int, stream: TextIO | None = None):
        self._label = label
        self._total = total
        self._stream = stream or sys.stderr
        self._shown = self._stream.isatty()
        self._done = 0

    def advance(self) -> None:
        """Count one finished item."""
        self._done += 1
        if self._shown:
            self._stream.write(f"\r{self._label}: {self._done} of {self._total}")
            self._stream.flush()

    def close(self) -> None:
        """Clear the line."""
        if self._shown and self._done:
            self._stream.write("\r\x1b[K")
            self._stream.flush()
