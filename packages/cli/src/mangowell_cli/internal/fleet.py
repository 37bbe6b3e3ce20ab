"""States of nodes relative to the version that they should run."""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec
from result import Err, Ok, Result

from mangowell_cli.internal.errors import ExitCode
from mangowell_cli.internal.nodes import NodeAddress, Timeouts, query_nodes
from mangowell_cli.internal.output import (
    DIGEST_CHARS,
    format_time,
    print_json,
    print_table,
)
from mangowell_core.model import Document


class RefusedVersion(msgspec.Struct):
    """Version that a node refused, with the reason."""

    version: int
    digest: str
    reason: str


class NodeStatus(msgspec.Struct):
    """Answer of ``/status``; section 10 of ``docs/design.md``."""

    instance: str
    failure_domain: str
    environment: str
    ready: bool
    version: int | None = None
    digest: str | None = None
    since: float | None = None
    learned_from: str | None = None
    delay_ms: float | None = None
    refused: list[RefusedVersion] = []
    instances_revision: int | None = None
    reader: bool = False
    source: str | None = None
    control_bytes: Any = None
    source_reads: int | None = None
    in_flight: int = 0
    draining: bool = False


class State(Enum):
    """State of a node relative to the target version."""

    CURRENT = "current"
    AHEAD = "ahead"
    BEHIND = "behind"
    REFUSED = "refused"
    CONFLICT = "conflict"
    NOT_READY = "not-ready"
    DRAINING = "draining"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"


# States that are no finding, which includes nodes that stop as planned.
EXPECTED_STATES = {State.CURRENT, State.DRAINING, State.LEAVING}


@dataclass(slots=True, frozen=True)
class Target:
    """Version that the nodes of an environment should run."""

    version: int
    digest: str


@dataclass(slots=True, frozen=True)
class NodeReport:
    """State of one node and the reason for it."""

    node: NodeAddress
    status: NodeStatus | None
    state: State
    reason: str


def parse_status(answer: Any) -> Result[NodeStatus, str]:
    """Decode and validate the answer of ``/status``."""
    try:
        return Ok(msgspec.convert(answer, NodeStatus))
    except msgspec.ValidationError as exc:
        return Err(f"unexpected answer: {exc}")


def query_statuses(
    nodes: Sequence[NodeAddress], timeouts: Timeouts
) -> list[Result[NodeStatus, str]]:
    """Query the status of each node."""
    answers = query_nodes(nodes, "/status", timeouts=timeouts)
    return [answer.and_then(parse_status) for answer in answers]


def select_targets(statuses: Iterable[NodeStatus]) -> dict[str, Target]:
    """Return for each environment the highest version that nodes run or refuse.

    If nodes run this version with different digests, the digest that most nodes
    run is the target. Refused versions count, because otherwise a fleet that
    refuses a newly published version would be shown as current.
    """
    counts_by_environment: dict[str, Counter[tuple[int, str]]] = {}
    for status in statuses:
        counts = counts_by_environment.setdefault(status.environment, Counter())
        if status.version and status.digest:
            counts[status.version, status.digest] += 1
        for entry in status.refused:
            counts.setdefault((entry.version, entry.digest), 0)
    targets = {}
    for environment, counts in counts_by_environment.items():
        if not counts:
            continue
        version, digest = max(counts, key=lambda item: (item[0], counts[item], item[1]))
        targets[environment] = Target(version, digest)
    return targets


def classify_node(
    node: NodeAddress, answer: Result[NodeStatus, str], targets: dict[str, Target]
) -> NodeReport:
    """Return the state of one node."""
    match answer:
        case Err(reason):
            state = State.LEAVING if node.leaving else State.UNREACHABLE
            return NodeReport(node, None, state, reason)
        case Ok(status):
            pass
    target = targets.get(status.environment)
    version = status.version or 0
    if status.draining:
        state, reason = State.DRAINING, "stops after its requests in flight"
    elif not status.ready:
        state, reason = State.NOT_READY, f"accepts no calls; source {status.source}"
    elif target is None:
        state = State.BEHIND
        reason = f"no target for environment {status.environment}"
    elif version > target.version:
        state, reason = State.AHEAD, f"target is version {target.version}"
    elif version == target.version and status.digest == target.digest:
        state, reason = State.CURRENT, ""
    elif version == target.version:
        state, reason = State.CONFLICT, "same version with another digest"
    else:
        state = State.BEHIND
        reason = f"has not learned version {target.version}; source {status.source}"
        for refused in status.refused:
            if (refused.version, refused.digest) == (target.version, target.digest):
                state, reason = State.REFUSED, refused.reason
    return NodeReport(node, status, state, reason)


def query_fleet(
    nodes: Sequence[NodeAddress], timeouts: Timeouts, document: Document | None
) -> tuple[list[NodeReport], dict[str, Target]]:
    """Query all nodes and classify them.

    Parameters
    ----------
    nodes : sequence of NodeAddress
        Nodes to query.
    timeouts : Timeouts
        Longest waits for the answers.
    document : Document, optional
        Target of its environment, in place of the highest version.

    Returns
    -------
    list of NodeReport, dict of str to Target
    """
    answers = query_statuses(nodes, timeouts)
    targets = select_targets(a.ok_value for a in answers if isinstance(a, Ok))
    if document is not None:
        target = Target(document.version, document.digest)
        targets[document.environment] = target
    reports = [
        classify_node(n, a, targets) for n, a in zip(nodes, answers, strict=True)
    ]
    return reports, targets


def compute_exit_code(reports: Sequence[NodeReport]) -> ExitCode:
    """Return 3 if no node answered, 1 if any is in an unexpected state, else 0."""
    if all(report.status is None for report in reports):
        return ExitCode.UNREACHABLE
    if any(report.state not in EXPECTED_STATES for report in reports):
        return ExitCode.FINDING
    return ExitCode.SUCCESS


def describe_report(report: NodeReport) -> dict[str, Any]:
    """Return the JSON form of a report; see ``docs/command.md``."""
    status = msgspec.to_builtins(report.status) if report.status else {}
    return {
        "node": report.node.address,
        "instance": report.node.instance or None,
        **status,
        "state": report.state.value,
        "reason": report.reason,
    }


def print_fleet(
    reports: Sequence[NodeReport],
    targets: dict[str, Target],
    as_json: bool,
    only_findings: bool = False,
) -> None:
    """Print the targets, the number of nodes in each state, and the nodes."""
    counts = Counter(report.state.value for report in reports)
    shown = [r for r in reports if not only_findings or r.state not in EXPECTED_STATES]
    if as_json:
        print_json(
            {
                "targets": {
                    name: {"version": target.version, "digest": target.digest}
                    for name, target in sorted(targets.items())
                },
                "counts": dict(sorted(counts.items())),
                "nodes": [describe_report(report) for report in shown],
            }
        )
        return
    for name, target in sorted(targets.items()):
        print(f"{name}: version {target.version}, digest {target.digest}")
    print(", ".join(f"{number} {state}" for state, number in sorted(counts.items())))
    if shown:
        header = ("NODE", "INSTANCE", "DOMAIN", "STATE", "VERSION", "DIGEST", "SINCE")
        print_table((*header, "REASON"), map(_format_row, shown))


def _format_row(report: NodeReport) -> tuple[object, ...]:
    status, node = report.status, report.node
    if status is None:
        name = node.instance or "-"
        return node.address, name, "-", report.state.value, "-", "-", "-", report.reason
    return (
        node.address,
        status.instance,
        status.failure_domain,
        report.state.value,
        status.version or "-",
        (status.digest or "-")[:DIGEST_CHARS],
        format_time(status.since),
        report.reason,
    )
