"""Checks of what the callers and workers of a stop soak have recorded."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from bench.stop_soak_traffic import Journal, Run, Sent

# Answers that promise that the request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})
GIVEN_UP = frozenset({0, 502, 504})
# A SIGKILL of a node excuses requests that are sent up to this time later.
KILL_SHADOW_S = 3.0
# A request that is sent later than this after the SIGTERM of its node is cut at no time.
LATE_REQUEST_S = 3.0
# Part of the grace period after which a stopping node may cut the others.
CUT_SHARE = 5 / 6
DOCUMENT_DELAY_S = 3.0
LIMIT_MARGIN_S = 0.05
TRACE_BEFORE_S, TRACE_AFTER_S = 8.0, 1.0


@dataclass(slots=True, frozen=True)
class Problem:
    """Failed check; `request` is None if it concerns a process."""

    rule: str
    text: str
    request: Sent | None = None
    nodes: frozenset[int] = frozenset()


def find_problems(journal: Journal, grace_s: float) -> list[Problem]:
    """Return all failed checks."""
    problems = [Problem("PROCESS", text) for text in journal.failures]
    for request in journal.requests:
        runs = journal.runs.get(request.id, [])
        nodes = frozenset({request.node} | {run.node for run in runs})
        problems += [
            Problem(rule, text, request, nodes)
            for rule, text in _check_request(journal, request, runs, nodes, grace_s)
        ]
    return problems + list(_check_versions(journal.requests))


def _check_request(journal, request, runs, nodes, grace_s) -> Iterator[tuple[str, str]]:
    if request.is_unsafe and len(runs) > 1:
        yield "TWICE", f"{len(runs)} runs"
    if not request.is_stamped and request.status in PROMISES and runs:
        yield "REFUSED", f"{request.status}, but {len(runs)} runs"
    if request.fault:
        yield "MIXED", request.fault
    runs = [run for run in runs if run.started_at < request.ended_at]
    is_given_up = not request.is_stamped and request.status in GIVEN_UP
    if not runs or not is_given_up or request.is_given_up:
        return
    if request.ended_at - request.sent_at >= _find_limit(journal, request):
        return
    terms = _find_signals(journal, request, "SIGTERM", nodes, grace_s)
    own_terms = [at for at, node in terms if node == request.node]
    if own_terms and _may_be_cut(request, max(own_terms), grace_s):
        return
    killed = {n for _, n in _find_signals(journal, request, "SIGKILL", nodes)}
    if not killed:
        reason = "" if terms else ", without a stop"
        yield "LOST", f"status {request.status} while a worker ran it{reason}"
    elif request.status == 0 and request.node not in killed:
        yield "KEPT", "connection closed without an answer"


def _may_be_cut(request: Sent, stopped_at: float, grace_s: float) -> bool:
    is_late = request.ended_at > stopped_at + CUT_SHARE * grace_s
    return is_late and request.sent_at <= stopped_at + LATE_REQUEST_S


def _find_signals(journal, request, name, nodes, window_s=KILL_SHADOW_S):
    """Return time and node of each signal shortly before or during a request."""
    return [
        (at, node)
        for at, node, what in journal.acts
        if what == name
        and node in nodes
        and request.sent_at - window_s <= at <= request.ended_at
    ]


def _find_limit(journal: Journal, request: Sent) -> float:
    """Return the shortest time limit that may have been in force for a request."""
    limits = [request.timeout_s]
    replaced_at = request.ended_at
    for published_at, limit_s in reversed(journal.documents):
        if replaced_at < request.sent_at - DOCUMENT_DELAY_S:
            break
        if published_at <= request.ended_at:
            limits.append(limit_s)
            replaced_at = published_at
    return min(limits) - LIMIT_MARGIN_S


def _check_versions(requests: list[Sent]) -> Iterator[Problem]:
    """Compare each 404 with the routes that the same process has served before."""
    served: dict[tuple[int, int], list[tuple[float, int]]] = {}
    for request in requests:
        if request.is_stamped:
            item = request.ended_at, request.version
            served.setdefault((request.node, request.start), []).append(item)
    for request in requests:
        if request.status != 404:
            continue
        known = [
            version
            for ended_at, version in served.get((request.node, request.start), ())
            if ended_at < request.sent_at and version >= request.version
        ]
        if known:
            text = f"404 on a route of version {request.version} after {max(known)}"
            yield Problem("REGRESS", text, request, frozenset({request.node}))


def summarize(journal: Journal) -> str:
    """Return the counts of a run on one line."""
    statuses = Counter(request.status for request in journal.requests)
    runs = [run for runs in journal.runs.values() for run in runs]
    acts = Counter(what.split(" ")[0] for _, _, what in journal.acts)
    return (
        f"requests {len(journal.requests)}, by status {dict(sorted(statuses.items()))},"
        f" runs {len(runs)}, cut {sum(run.was_cut for run in runs)},"
        f" versions {journal.version}, acts {dict(acts)}"
    )


def describe(problem: Problem, journal: Journal, start: float) -> list[str]:
    """Return a problem, its runs and what was done to the nodes concerned."""
    request = problem.request
    if request is None:
        return [f"{problem.rule}: {problem.text}"]
    kind = "unsafe" if request.is_unsafe else "safe"
    runs = journal.runs.get(request.id, [])
    since, until = request.sent_at - TRACE_BEFORE_S, request.ended_at + TRACE_AFTER_S
    lines = [(request.sent_at, f"sent to node {request.node}")]
    lines += [(request.ended_at, f"ended with status {request.status}")]
    lines += [(run.started_at, f"run begins beside node {run.node}") for run in runs]
    lines += [(run.ended_at, _describe_end(run)) for run in runs if run.ended_at]
    lines += [
        (at, f"node {node}: {what}" if node else what)
        for at, node, what in journal.acts
        if since <= at <= until and (node in problem.nodes or not node)
    ]
    return [f"{problem.rule} {request.id} ({kind}): {problem.text}"] + [
        f"  {at - start:8.3f} s  {text}" for at, text in sorted(lines)
    ]


def _describe_end(run: Run) -> str:
    return f"run beside node {run.node} {'is cut' if run.was_cut else 'ends'}"
