"""Timeline of numbered events over several nodes."""

import sys
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec
from result import Err, Ok, Result

from mangowell_cli.internal.errors import ExitCode
from mangowell_cli.internal.nodes import Limits, NodeAddress, ask_nodes
from mangowell_cli.internal.output import clean, format_time, print_json, print_table


class NodeEvent(msgspec.Struct):
    """One element of the answer of ``/events``."""

    time: float
    code: int
    name: str
    fields: dict[str, Any] = {}


def read_events(answer: Any) -> Result[list[NodeEvent], str]:
    """Check the answer of ``/events``."""
    try:
        return Ok(msgspec.convert(answer, list[NodeEvent]))
    except msgspec.ValidationError as exc:
        return Err(f"unexpected answer: {exc}")


def show_timeline(
    nodes: Sequence[NodeAddress],
    filters: Mapping[str, str],
    limits: Limits,
    as_json: bool,
) -> ExitCode:
    """Print the events of all nodes in the order of time.

    Parameters
    ----------
    nodes : sequence of NodeAddress
    filters : mapping
        Values that the fields of the events must have.
    limits : Limits
    as_json : bool

    Returns
    -------
    ExitCode
        1 if there are no events, or not every node answered.
    """
    answers = ask_nodes(nodes, "/events", filters, limits)
    found: list[tuple[NodeEvent, NodeAddress]] = []
    silent: list[tuple[NodeAddress, str]] = []
    for node, answer in zip(nodes, answers, strict=True):
        match answer.and_then(read_events):
            case Ok(events):
                found.extend((event, node) for event in events)
            case Err(reason):
                silent.append((node, reason))
    found.sort(key=lambda item: item[0].time)
    if as_json:
        print_json(
            {
                "filters": dict(filters),
                "events": [
                    {"node": node.address, **msgspec.to_builtins(event)}
                    for event, node in found
                ],
                "unreachable": [
                    {"node": node.address, "reason": reason} for node, reason in silent
                ],
            }
        )
    else:
        if found:
            print_table(("TIME", "NODE", "EVENT", "FIELDS"), map(_make_row, found))
        elif len(silent) < len(nodes):
            print("no events")
        for node, reason in silent:
            print(clean(f"{node.address}: unreachable: {reason}"), file=sys.stderr)
    if len(silent) == len(nodes):
        return ExitCode.UNREACHABLE
    return ExitCode.FINDING if silent or not found else ExitCode.SUCCESS


def _make_row(item: tuple[NodeEvent, NodeAddress]) -> tuple[str, ...]:
    event, node = item
    fields = " ".join(f"{name}={value}" for name, value in event.fields.items())
    return (
        format_time(event.time, decimals=True),
        node.instance or node.address,
        f"{event.code} {event.name}",
        fields,
    )
