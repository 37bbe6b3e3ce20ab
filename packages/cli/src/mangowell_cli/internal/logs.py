"""Timeline of events from the logs that nodes write."""

import sys
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any

import msgspec

from mangowell_cli.internal.errors import CommandError, ExitCode
from mangowell_cli.internal.output import (
    escape_control_chars,
    format_time,
    print_json,
    print_table,
)

STDIN = "-"
_HEAD_FIELDS = frozenset({"time", "code", "event", "instance"})


class LogLine(msgspec.Struct):
    """Fields that every line of a log has.

    Parameters
    ----------
    time : float
        Time of the event in Unix seconds.
    code : int
        Number of the event.
    event : str
        Name of the event.
    instance : str
        Instance that wrote the line.
    """

    time: float
    code: int
    event: str
    instance: str


_head_decoder = msgspec.json.Decoder(LogLine)
_line_decoder = msgspec.json.Decoder(dict[str, Any])


def show_logs(paths: Iterable[str], filters: Mapping[str, str], as_json: bool):
    """Print the events of all logs, ordered by time.

    The identifier of a call made for a request is the identifier of the request,
    a dot and a suffix. A filter for the request therefore matches its calls too.

    Parameters
    ----------
    paths : iterable of str
        Files, or ``-`` for standard input.
    filters : mapping
        Values that the fields of the events must have.
    as_json : bool
        Whether to print JSON instead of a table.

    Returns
    -------
    ExitCode
        1 if there are no events, else 0.
    """
    entries = [
        (head, fields)
        for path in paths
        for head, fields in decode_lines(read_lines(path))
        if _has_values(fields, filters)
    ]
    entries.sort(key=lambda item: item[0].time)
    if as_json:
        events = [{**msgspec.to_builtins(h), "fields": f} for h, f in entries]
        print_json({"filters": dict(filters), "events": events})
    elif entries:
        print_table(("TIME", "NODE", "EVENT", "FIELDS"), map(_format_row, entries))
    else:
        print("no events")
    return ExitCode.SUCCESS if entries else ExitCode.FINDING


def read_lines(path: str) -> Iterator[bytes]:
    """Yield the lines of a file or of standard input."""
    if path == STDIN:
        yield from sys.stdin.buffer
        return
    try:
        with Path(path).open("rb") as file:
            yield from file
    except OSError as exc:
        raise CommandError(f"cannot read {path}: {exc}") from exc


def decode_lines(lines: Iterable[bytes]) -> Iterator[tuple[LogLine, dict[str, Any]]]:
    """Decode the lines that are events and skip all others.

    Text before the JSON object is ignored, because a log collector may add a
    prefix to each line.
    """
    for line in lines:
        start = line.find(b"{")
        if start < 0:
            continue
        text = line[start:]
        try:
            head, fields = _head_decoder.decode(text), _line_decoder.decode(text)
        except msgspec.DecodeError:
            continue
        yield head, {k: v for k, v in fields.items() if k not in _HEAD_FIELDS}


def _has_values(fields: Mapping[str, Any], filters: Mapping[str, str]) -> bool:
    for name, expected in filters.items():
        value = str(fields.get(name, ""))
        is_call = name == "request" and value.startswith(f"{expected}.")
        if value != expected and not is_call:
            return False
    return True


def _format_row(item: tuple[LogLine, dict[str, Any]]) -> tuple[str, ...]:
    head, fields = item
    text = " ".join(f"{name}={value}" for name, value in fields.items())
    return (
        format_time(head.time, milliseconds=True),
        escape_control_chars(head.instance),
        f"{head.code} {escape_control_chars(head.event)}",
        escape_control_chars(text),
    )
