"""Checks of what the callers and workers of a stop soak have recorded."""

from collections.abc import Iterator
from typing import NamedTuple

from bench.stop_soak_traffic import Journal, Run, Sent
from mangowell_core.mesh import StopSchedule

# Answers that promise that the request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})
GIVEN_UP = frozenset({0, 502, 504})
# Acts that end or delay the work of a node or its worker without a plan. Requests that
# are sent up to `KILL_SHADOW_S` seconds after one are excused.
FAULTS = ("SIGKILL", "SIGSTOP", "SIGCONT", "worker crashes")
KILL_SHADOW_S = 3.0
# In the last part of its grace period, a node may cut requests that were sent up to
# this time after its SIGTERM.
EARLY_REQUEST_S = 3.0
CUT_SHARE = 5 / 6
SIGNAL_S = 0.02  # until a process that gets a signal handles it
DOCUMENT_DELAY_S = 3.0
LIMIT_MARGIN_S = 0.05
TRACE_BEFORE_S, TRACE_AFTER_S = 8.0, 1.0


class Problem(NamedTuple):
    """Failed check of a request or of a process."""

    rule: str
    text: str
    request: Sent | None = None
    at: float = 0.0  # of the failure of a process
    node: int = 0

    @property
    def log_words(self) -> tuple[str, ...]:
        """Words that the lines of the node logs have that belong to the problem."""
        if self.request is not None:
            return (f'"{self.request.id}"',)
        return (f'"node-{self.node}"', '"stop_') if self.node else ()


def find_problems(journal: Journal, grace_s: float) -> list[Problem]:
    """Return all failed checks."""
    problems = [
        Problem("PROCESS", f"node {node}: {text}", None, at, node)
        for at, node, text in journal.failures
    ]
    for request in journal.requests:
        runs = journal.runs.get(request.id, [])
        found = _check_answer(request, runs) + _check_end(
            journal, request, runs, grace_s
        )
        problems += [Problem(rule, text, request) for rule, text in found]
    return problems + list(_check_versions(journal.requests))


def _check_answer(request: Sent, runs: list[Run]) -> list[tuple[str, str]]:
    is_refused = not request.is_workers and request.status in PROMISES
    checks = (
        ("TWICE", request.is_unsafe and len(runs) > 1, f"{len(runs)} runs"),
        ("REFUSED", is_refused and runs, f"{request.status}, {len(runs)} runs"),
        ("MIXED", request.mix_up, request.mix_up),
    )
    return [(rule, text) for rule, has_failed, text in checks if has_failed]


def _check_end(journal, request, runs, grace_s) -> list[tuple[str, str]]:
    """Check that a request was not given up once a worker had begun to run it."""
    has_run = any(run.started_at < request.ended_at for run in runs)
    is_given_up = not request.is_workers and request.status in GIVEN_UP
    is_late = request.ended_at - request.sent_at >= _find_limit(journal, request)
    if not has_run or not is_given_up or request.has_left or is_late:
        return []
    stops = _find_acts(journal, request, ("SIGTERM",), grace_s)
    stopped_at = stops.get(request.node, request.ended_at)
    is_early = request.sent_at <= stopped_at + EARLY_REQUEST_S
    if is_early and request.ended_at > stopped_at + CUT_SHARE * grace_s:
        return []
    if any(_is_cut_at_end(journal, request, run, grace_s) for run in runs):
        return []
    killed = _find_acts(journal, request, FAULTS, KILL_SHADOW_S)
    if not killed:
        reason = "" if stops else ", without a stop"
        return [("LOST", f"status {request.status} while a worker ran it{reason}")]
    if request.status == 0 and request.node not in killed:
        return [("KEPT", "connection closed without an answer")]
    return []


def _is_cut_at_end(journal: Journal, request: Sent, run: Run, grace_s: float) -> bool:
    """Return whether a run outlasts the node beside its worker.

    The node may have accepted it before its SIGTERM; no other reaches the worker. A run
    that has ended before its node is not excused: its answer was there to be passed on.
    """
    if run.node == request.node:
        return False
    for at, node, what in journal.acts:
        if node != run.node or what != "SIGTERM" or run.started_at > at + SIGNAL_S:
            continue
        lasts_s = CUT_SHARE * grace_s
        if not run.was_cut:
            lasts_s = StopSchedule.from_grace(grace_s, 0.0).deadline
        if at <= run.ended_at - lasts_s:
            return True
    return False


def _find_nodes(journal: Journal, request: Sent) -> set[int]:
    """Return the node that took a request and those beside its workers."""
    return {request.node} | {run.node for run in journal.runs.get(request.id, [])}


def _find_acts(journal, request, names, window_s) -> dict[int, float]:
    """Return the time of the last such act on each node concerned."""
    nodes = _find_nodes(journal, request)
    since = request.sent_at - window_s
    return {
        node: at
        for at, node, what in journal.acts
        if what in names and node in nodes and since <= at <= request.ended_at
    }


def _find_limit(journal: Journal, request: Sent) -> float:
    """Return the shortest time limit that may have been in force for a request."""
    ends = [at for at, _ in journal.documents[1:]] + [request.ended_at]
    limits = [
        timeout_s
        for (at, timeout_s), end in zip(journal.documents, ends, strict=True)
        if at <= request.ended_at and end >= request.sent_at - DOCUMENT_DELAY_S
    ]
    return min(request.timeout_s, *limits) - LIMIT_MARGIN_S


def _check_versions(requests: list[Sent]) -> Iterator[Problem]:
    """Compare each 404 with the routes that the same process has served before."""
    for request in (r for r in requests if r.status == 404):
        known = [
            other.version
            for other in requests
            if (other.node, other.start) == (request.node, request.start)
            and other.is_workers
            and other.ended_at < request.sent_at
            and other.version >= request.version
        ]
        if known:
            text = f"404 on a route of version {request.version} after {max(known)}"
            yield Problem("REGRESS", text, request)


def describe(problem: Problem, journal: Journal, start: float) -> list[str]:
    """Return a problem, its runs and what was done to the nodes concerned."""
    request, lines = problem.request, []
    since = until = problem.at
    nodes = {0, problem.node}
    if request is not None:
        since, until = request.sent_at, request.ended_at
        nodes |= _find_nodes(journal, request)
        kind = "unsafe" if request.is_unsafe else "safe"
        lines += [(since, request.node, f"takes {request.id}, {kind}")]
        lines += [(until, request.node, f"ends it: {request.status}")]
        for run in journal.runs.get(request.id, []):
            lines += [(run.started_at, run.node, "run begins")]
            lines += [(run.ended_at, run.node, f"run ends, cut: {run.was_cut}")]
    since, until = since - TRACE_BEFORE_S, until + TRACE_AFTER_S
    lines += [a for a in journal.acts if since <= a[0] <= until and a[1] in nodes]
    return [f"{problem.rule}: {problem.text}"] + [
        f"  {at - start:8.3f} s  node {node}: {act}" for at, node, act in sorted(lines)
    ]
