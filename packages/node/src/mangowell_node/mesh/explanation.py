"""Explains where a request would go now, without sending it."""

from collections.abc import Callable
from http import HTTPStatus
from time import monotonic
from urllib.parse import parse_qs

import msgspec

from mangowell_core.mesh import Directory, MeshRoute, MeshSettings, WorkerStates
from mangowell_core.mesh.crossing import Transfer
from mangowell_core.mesh.explanation import (
    CandidateView,
    RecordedProbes,
    describe_exclusion,
    view_candidates,
)
from mangowell_core.policy.outcome import refuse
from mangowell_core.policy.types import Cause, Refusal
from mangowell_node.exchange import AttemptError, RequestHead
from mangowell_node.ingress import IncomingCall, Reply
from mangowell_node.mesh.attempts import NO_WORKER_RETRY_AFTER_S
from mangowell_node.mesh.gateway import (
    DEFAULT_TIMEOUT_S,
    RETRY_AFTER_JITTER,
    Gateway,
)
from mangowell_node.mesh.request_state import RequestState

EXPLAIN_PATH = "/explain"
# Version of the answer; raised by changes that an older command cannot read.
FORMAT = 1
_JSON = b"Content-Type: application/json\r\n"


class RouteExplainer:
    """Serves operators: tells where a request would go now, and why.

    It runs the decisions of the request path on a request that is not sent. The only
    traffic are probes, as for any request.

    Parameters
    ----------
    settings : MeshSettings
        Settings of the local node.
    directory : Directory
        Listed workers and the document.
    gateway : Gateway
        Matches routes and selects workers.
    worker_states : WorkerStates
        What the workers have stated in their answers.
    get_unready_reasons : callable
        Returns why callers should not use the node; empty if they should.
    """

    def __init__(
        self,
        settings: MeshSettings,
        directory: Directory,
        gateway: Gateway,
        worker_states: WorkerStates,
        get_unready_reasons: Callable[[], list[str]],
    ):
        self._get_unready_reasons = get_unready_reasons
        self._settings = settings
        self._directory = directory
        self._gateway = gateway
        self._worker_states = worker_states

    async def serve(self, call: IncomingCall) -> Reply:
        """Answer ``GET /explain?host=..&path=..&method=..``."""
        query = parse_qs(call.target.partition("?")[2])
        host, path, method = (
            query.get(name, [default])[0]
            for name, default in (("host", ""), ("path", ""), ("method", "GET"))
        )
        status = HTTPStatus.OK
        if call.method != "GET":
            status, value = HTTPStatus.METHOD_NOT_ALLOWED, {"error": "use GET"}
        elif not host or not path.startswith("/"):
            status = HTTPStatus.BAD_REQUEST
            value = {"error": "host or path is missing"}
        else:
            value = await self.explain(call, host, path, method)
        body = msgspec.json.encode(value) + b"\n"
        return Reply(status.value, status.phrase, _JSON, body)

    async def explain(
        self, call: IncomingCall, host: str, path: str, method: str
    ) -> dict:
        """Return where a request would go now; docs/command.md has the fields."""
        settings, directory = self._settings, self._directory
        document = directory.document
        result = {
            "format": FORMAT,
            "node": {
                "instance": settings.instance,
                "failure_domain": settings.failure_domain,
                "service": settings.service,
            },
            "request": {"host": host, "path": path, "method": method},
            "unready": self._get_unready_reasons(),
            "version": document.version if document is not None else 0,
            "route": None,
            "services": [],
            "answer": None,
        }
        routes = self._gateway.route_table
        if routes is None:
            refusal = refuse(Cause.NOT_READY, "no document yet", retry_after_s=0.5)
            return result | {"answer": _describe_refusal(refusal)}
        route = routes.match(host, path.partition("?")[0])
        if route is None:
            refusal = refuse(Cause.NO_ROUTE, "no route matches")
            return result | {"answer": _describe_refusal(refusal)}
        result["route"] = {
            "name": route.name,
            "prefix": route.prefix,
            "priority": route.priority,
            "idempotent": route.idempotent,
            "objective_s": route.objective_s,
            "timeout_s": route.timeout_s or DEFAULT_TIMEOUT_S,
            "max_attempts": route.max_attempts,
        }
        total = sum(weight for _, weight in route.parts)
        for service, weight in route.parts:
            state = self._make_state(call, route, service, path, method)
            part = await self._explain_service(state)
            share = weight / total if total else 1.0
            result["services"].append({"service": service, "share": share, **part})
        return result

    def _make_state(
        self,
        call: IncomingCall,
        route: MeshRoute,
        service: str,
        path: str,
        method: str,
    ) -> RequestState:
        """Return the state of a request that has just arrived."""
        state = RequestState(call, route, service)
        state.deadline = monotonic() + (route.timeout_s or DEFAULT_TIMEOUT_S)
        state.head = RequestHead(
            "", service, method, path, b"", "", "", route.priority, False, 0.0, True
        )
        return state

    async def _explain_service(self, state: RequestState) -> dict:
        attempts, directory = self._gateway.attempts, self._directory
        route = state.route
        now = monotonic()
        probes = RecordedProbes()
        costs, get_suspicion = await attempts.prober.explain(state, probes)
        selected, refusal = None, None
        if attempts.is_quarantined(state, now):
            reason = "the same request has crashed workers"
            refusal = refuse(Cause.QUARANTINED, reason)
        else:
            try:
                selected = await attempts.prober.select_worker(state)
            except AttemptError as exc:
                refusal = exc.refusal
            else:
                if selected is None:
                    refusal = refuse(
                        Cause.NO_INSTANCE,
                        f"no worker of {state.service} can be reached",
                        retry_after_s=NO_WORKER_RETRY_AFTER_S,
                    )
        workers = directory.look_up_service(state.service)
        views = view_candidates(
            attempts.placement,
            workers,
            costs,
            probes,
            route.name,
            route.objective_s,
            Transfer(route.priority, state.head.is_call),
            now,
        )
        by_id = {worker.id: worker for worker in workers}
        evacuated = directory.evacuated
        for view in views:
            worker = by_id[view.worker]
            view.is_local = worker.host == self._settings.worker.host
            view.is_evacuated = worker.failure_domain in evacuated
            if view.cost_s is None:
                view.excluded_by = describe_exclusion(
                    worker, self._worker_states, evacuated, get_suspicion
                )
            view.is_selected = selected is not None and worker.id == selected.id
            view.decision = _describe_decision(view)
        return {
            "selected": None if selected is None else selected.id,
            "candidates": views,
            "answer": None if refusal is None else _describe_refusal(refusal),
        }


def _describe_decision(view: CandidateView) -> str:
    """Return which decision takes a worker or leaves it."""
    if view.excluded_by:
        return f"excluded: {view.excluded_by}"
    if view.is_selected and view.is_local and view.wait_s == 0:
        return "selected: beside this node and starts at once"
    if view.is_selected:
        return "selected: lowest predicted cost of the workers asked"
    if view.accepts is None:
        return "left: its node has not replied to the probe"
    if not view.accepts:
        return "left: the admission of its node refuses"
    if view.wait_s:
        return "left: accepted, but waits there"
    return "left: accepted, but of higher cost or not asked"


def _describe_refusal(refusal: Refusal) -> dict:
    """Return the answer that a caller would get."""
    retry_after_s = refusal.retry_after_s if refusal.status == 503 else 0.0
    return {
        "status": refusal.status,
        "cause": refusal.cause.value,
        "reason": refusal.reason,
        "retry_after_s": [retry_after_s * factor for factor in RETRY_AFTER_JITTER],
    }
