"""Timeline of events from the logs that nodes write."""

import sys
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any

import msgspec

from mangowell_cli.internal.errors import CommandError, ExitCode
from mangowell_cli.internal.output import clean, format_time, print_json, print_table

STDIN = "-"
_HEAD_FIELDS = frozenset({"time", "code", "event", "instance"})


class LogLine(msgspec.Struct):
    """Head of one line of a log.

    Parameters
    ----------
    time : float
        Unix seconds.
    code : int
    event, instance : str
    """

    time: float
    code: int
    event: str
    instance: str


_heads = msgspec.json.Decoder(LogLine)
_lines = msgspec.json.Decoder(dict[str, Any])


def show_logs(paths: Iterable[str], filters: Mapping[str, str], as_json: bool):
    """Print the events of all logs in the order of time.

    A request's calls carry its id before a dot, so that asking for the request
    shows what was called for it as well.

    Parameters
    ----------
    paths : iterable of str
        Files, or ``-`` for standard input.
    filters : mapping
        Values that the fields of the events must have.
    as_json : bool

    Returns
    -------
    ExitCode
        1 if there are no events.
    """
    found = [
        (head, fields)
        for path in paths
        for head, fields in read_log(read_lines(path))
        if _matches(fields, filters)
    ]
    found.sort(key=lambda item: item[0].time)
    if as_json:
        events = [{**msgspec.to_builtins(h), "fields": f} for h, f in found]
        print_json({"filters": dict(filters), "events": events})
    elif found:
        print_table(("TIME", "NODE", "EVENT", "FIELDS"), map(_make_row, found))
    else:
        print("no events")
    return ExitCode.SUCCESS if found else ExitCode.FINDING


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


def read_log(lines: Iterable[bytes]) -> Iterator[tuple[LogLine, dict[str, Any]]]:
    """Decode the lines that are events; others are passed over.

    What collects logs may write something of its own before each line.
    """
    for line in lines:
        start = line.find(b"{")
        if start < 0:
            continue
        text = line[start:]
        try:
            head, fields = _heads.decode(text), _lines.decode(text)
        except msgspec.DecodeError:
            continue
        yield head, {k: v for k, v in fields.items() if k not in _HEAD_FIELDS}


def _matches(fields: Mapping[str, Any], filters: Mapping[str, str]) -> bool:
    for name, wanted in filters.items():
        value = str(fields.get(name, ""))
        is_call = name == "request" and value.startswith(f"{wanted}.")
        if value != wanted and not is_call:
            return False
    return True


def _make_row(item: tuple[LogLine, dict[str, Any]]) -> tuple[str, ...]:
    head, fields = item
    text = " ".join(f"{name}={value}" for name, value in fields.items())
    return (
        format_time(head.time, decimals=True),
        clean(head.instance),
        f"{head.code} {clean(head.event)}",
        clean(text),
    )
