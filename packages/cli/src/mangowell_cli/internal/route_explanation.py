"""Where a request would go now, and why, as nodes on a platform explain it."""

import sys
from collections.abc import Sequence
from functools import partial
from typing import Any

import msgspec
from result import Err, Ok, Result

from mangowell_cli.internal.errors import CommandError, ExitCode
from mangowell_cli.internal.nodes import NodeAddress, Timeouts, query_nodes
from mangowell_cli.internal.output import (
    escape_control_chars,
    print_json,
    print_table,
)

# Format of the answers that this version reads; see `EXPLAIN_PATH` at the nodes.
FORMAT = 1
# Largest size of a body that a node takes, far above any limit of a document.
MAX_BODY_BYTES = 10**12 - 1


class Request(msgspec.Struct):
    """Request that was explained.

    Nodes before the size of the body was added leave it out, and assume 0.
    """

    body_bytes: int = 0


class NodeName(msgspec.Struct):
    """Node that explains."""

    instance: str
    failure_domain: str
    service: str


class ExpectedAnswer(msgspec.Struct):
    """Answer of the node itself; Retry-After is the range of its random factor."""

    status: int
    cause: str
    reason: str
    retry_after_s: tuple[float, float]


class Route(msgspec.Struct):
    """Route that matches the request."""

    name: str
    prefix: str
    priority: int
    idempotent: bool
    objective_s: float
    timeout_s: float
    max_attempts: int


class Candidate(msgspec.Struct):
    """Worker of the service, as `CandidateView` has it."""

    worker: str
    failure_domain: str
    running: int
    slots: int
    speed: float
    warmup_left_s: float
    is_evacuated: bool
    failure_rate: float
    cost_s: float | None
    leaving_cost_s: float
    accepts: bool | None
    wait_s: float | None
    retry_after_s: float | None
    is_selected: bool
    decision: str
    cold_starts: int | None = None
    is_suspect: bool = False


class ServicePart(msgspec.Struct):
    """Share of the route's requests that goes to one service."""

    service: str
    share: float
    selected: str | None
    candidates: list[Candidate]
    answer: ExpectedAnswer | None
    ended_by: str | None = None
    counts_as_full: bool = False
    asks_every: int = 0


class Explanation(msgspec.Struct):
    """Answer of ``/explain``."""

    format: int
    node: NodeName
    unready: list[str]
    version: int
    route: Route | None
    services: list[ServicePart]
    answer: ExpectedAnswer | None
    request: Request = msgspec.field(default_factory=Request)

    @property
    def is_refused(self) -> bool:
        """Whether a request would be refused, at least in a part of all cases."""
        return bool(self.answer) or any(part.answer for part in self.services)


def parse_explanation(answer: Any, body_bytes: int) -> Result[Explanation, str]:
    """Decode and validate the answer of ``/explain``.

    Parameters
    ----------
    answer : object
        Decoded JSON.
    body_bytes : int
        Size of the body that the node was asked for.
    """
    found = answer.get("format") if isinstance(answer, dict) else None
    if found != FORMAT:
        return Err(f"another version: format {found!r}, expected {FORMAT}")
    try:
        explanation = msgspec.convert(answer, Explanation)
    except msgspec.ValidationError as exc:
        return Err(f"another version: unexpected answer: {exc}")
    if explanation.request.body_bytes != body_bytes:
        return Err("another version: does not take the size of the body")
    return Ok(explanation)


def show_route(
    nodes: Sequence[NodeAddress],
    request: dict[str, str],
    body_bytes: int,
    failure_domain: str,
    timeouts: Timeouts,
    as_json: bool,
) -> ExitCode:
    """Print where a request would go now, and why.

    Parameters
    ----------
    nodes : sequence of NodeAddress
        Metrics ports of the nodes to ask.
    request : dict
        Host, path and method of the request.
    body_bytes : int
        Size of its body.
    failure_domain : str
        Failure domain of the caller; only its nodes answer. Empty for any.
    timeouts : Timeouts
        Longest waits for the answers.
    as_json : bool
        Whether to print JSON instead of text.

    Returns
    -------
    ExitCode
        3 if no node gave a usable answer; 1 if some gave none, none is in the failure
        domain, or the request would be refused; else 0.
    """
    if not request["host"] or not request["path"].startswith("/"):
        raise CommandError("give --host, and --path that begins with /")
    if not 0 <= body_bytes <= MAX_BODY_BYTES:
        raise CommandError(
            f"--body-bytes must be from 0 to {MAX_BODY_BYTES}: {body_bytes}"
        )
    size = {"body_bytes": str(body_bytes)} if body_bytes else {}
    answers = query_nodes(nodes, "/explain", request | size, timeouts)
    explained: list[tuple[NodeAddress, Explanation, Any]] = []
    unreachable: list[tuple[NodeAddress, str]] = []
    others: list[tuple[NodeAddress, str]] = []
    for node, answer in zip(nodes, answers, strict=True):
        match answer.and_then(partial(parse_explanation, body_bytes=body_bytes)):
            case Ok(found):
                domain = found.node.failure_domain
                if failure_domain and domain != failure_domain:
                    others.append((node, f"is in failure domain {domain}"))
                else:
                    explained.append((node, found, answer.ok()))
            case Err("HTTP status 404"):
                reason = "another version: HTTP status 404 for /explain"
                unreachable.append((node, reason))
            case Err(reason):
                unreachable.append((node, reason))
    if as_json:
        print_json(
            {
                "explanations": [
                    {"address": node.address, **value} for node, _, value in explained
                ],
                "other_domains": [node.address for node, _ in others],
                "unreachable": [
                    {"node": node.address, "reason": reason}
                    for node, reason in unreachable
                ],
            }
        )
    else:
        for _, found, _ in explained:
            _print_explanation(found, request)
        for node, reason in [*others, *unreachable]:
            line = f"{node.address}: not used: {reason}"
            print(escape_control_chars(line), file=sys.stderr)
    if len(unreachable) == len(nodes):
        return ExitCode.UNREACHABLE
    is_whole = explained and not unreachable
    if not is_whole or any(found.is_refused for _, found, _ in explained):
        return ExitCode.FINDING
    return ExitCode.SUCCESS


def _print_explanation(found: Explanation, request: dict[str, str]) -> None:
    node, route = found.node, found.route
    _print(
        f"{request['method']} {request['host']}{request['path']} at {node.instance} "
        f"in {node.failure_domain}, document {found.version}"
    )
    if found.unready:
        _print(f"the node is not ready for callers: {', '.join(found.unready)}")
    if route is not None:
        kind = "may be repeated" if route.idempotent else "runs at most once"
        _print(
            f"route {route.name} (prefix {route.prefix}): priority {route.priority}, "
            f"{kind}, objective {_format_ms(route.objective_s)}, limit "
            f"{_format_ms(route.timeout_s)}, at most {route.max_attempts} attempts"
        )
    if found.answer is not None:
        _print(f"answer: {_format_answer(found.answer)}")
    for part in found.services:
        share = "" if part.share == 1 else f" ({part.share:.0%} of the requests)"
        _print(f"service {part.service}{share}:")
        if part.answer is None:
            _print(f"goes to {part.selected}")
        else:
            _print(f"answer: {_format_answer(part.answer)}")
        if part.counts_as_full:
            every = part.asks_every
            _print(f"counts as full: asks workers for one request in {every}")
        print_table(
            (
                "WORKER",
                "DOMAIN",
                "LOAD",
                "SPEED",
                "WARM-UP",
                "EVACUATED",
                "FAILS",
                "COST",
                "LEAVING",
                "WAIT",
                "DECISION",
            ),
            map(_format_candidate, part.candidates),
        )


def _print(line: str) -> None:
    print(escape_control_chars(line))


def _format_candidate(view: Candidate) -> tuple[str, ...]:
    wait = _format_ms(view.wait_s)
    if view.accepts is False:
        wait = f"retry {_format_ms(view.retry_after_s)}"
    return (
        view.worker,
        view.failure_domain,
        f"{view.running}/{view.slots}{'?' if view.is_suspect else ''}",
        f"{view.speed:.2f}",
        _format_warmup(view),
        "yes" if view.is_evacuated else "no",
        f"{view.failure_rate:.0%}",
        _format_ms(view.cost_s),
        _format_ms(view.leaving_cost_s),
        wait,
        view.decision,
    )


def _format_warmup(view: Candidate) -> str:
    """Return the cold time that is left, and the requests that may start now."""
    left = _format_ms(view.warmup_left_s or None)
    return left if view.cold_starts is None else f"{left} ({view.cold_starts} now)"


def _format_answer(answer: ExpectedAnswer) -> str:
    shortest, longest = answer.retry_after_s
    retry = f", Retry-After {shortest:.3f} to {longest:.3f} s" if longest > 0 else ""
    return f"{answer.status} ({answer.cause}: {answer.reason}){retry}"


def _format_ms(seconds: float | None) -> str:
    return "-" if seconds is None else f"{seconds * 1000:.0f}ms"
