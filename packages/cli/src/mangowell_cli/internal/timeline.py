"""Timeline of the numbered events of several nodes."""

import sys
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec
from result import Err, Ok, Result

from mangowell_cli.internal.errors import ExitCode
from mangowell_cli.internal.nodes import NodeAddress, Timeouts, query_nodes
from mangowell_cli.internal.output import (
    escape_control_chars,
    format_time,
    print_json,
    print_table,
)


class NodeEvent(msgspec.Struct):
    """One element of the answer of ``/events``."""

    time: float
    code: int
    name: str
    fields: dict[str, Any] = {}


def parse_events(answer: Any) -> Result[list[NodeEvent], str]:
    """Decode and validate the answer of ``/events``."""
    try:
        return Ok(msgspec.convert(answer, list[NodeEvent]))
    except msgspec.ValidationError as exc:
        return Err(f"unexpected answer: {exc}")


def show_timeline(
    nodes: Sequence[NodeAddress],
    filters: Mapping[str, str],
    timeouts: Timeouts,
    as_json: bool,
) -> ExitCode:
    """Print the events of all nodes, ordered by time.

    Parameters
    ----------
    nodes : sequence of NodeAddress
        Nodes to query.
    filters : mapping
        Values that the fields of the events must have.
    timeouts : Timeouts
        Longest waits for the answers.
    as_json : bool
        Whether to print JSON instead of a table.

    Returns
    -------
    ExitCode
        3 if no node answered; 1 if there are no events or some node did not
        answer; else 0.
    """
    answers = query_nodes(nodes, "/events", filters, timeouts)
    located_events: list[tuple[NodeEvent, NodeAddress]] = []
    unreachable: list[tuple[NodeAddress, str]] = []
    for node, answer in zip(nodes, answers, strict=True):
        match answer.and_then(parse_events):
            case Ok(events):
                located_events.extend((event, node) for event in events)
            case Err(reason):
                unreachable.append((node, reason))
    located_events.sort(key=lambda located_event: located_event[0].time)
    if as_json:
        print_json(
            {
                "filters": dict(filters),
                "events": [
                    {"node": node.address, **msgspec.to_builtins(event)}
                    for event, node in located_events
                ],
                "unreachable": [
                    {"node": node.address, "reason": reason}
                    for node, reason in unreachable
                ],
            }
        )
    else:
        if located_events:
            print_table(
                ("TIME", "NODE", "EVENT", "FIELDS"), map(_format_row, located_events)
            )
        elif len(unreachable) < len(nodes):
            print("no events")
        for node, reason in unreachable:
            print(
                escape_control_chars(f"{node.address}: unreachable: {reason}"),
                file=sys.stderr,
            )
    if len(unreachable) == len(nodes):
        return ExitCode.UNREACHABLE
    return ExitCode.FINDING if unreachable or not located_events else ExitCode.SUCCESS


def _format_row(located_event: tuple[NodeEvent, NodeAddress]) -> tuple[str, ...]:
    event, node = located_event
    fields = " ".join(f"{name}={value}" for name, value in event.fields.items())
    return (
        format_time(event.time, milliseconds=True),
        node.instance or node.address,
        f"{event.code} {event.name}",
        fields,
    )
