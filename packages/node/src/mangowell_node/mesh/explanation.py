"""Explains where a request would go now, without sending it."""

from collections.abc import Callable
from http import HTTPStatus
from time import monotonic
from urllib.parse import parse_qs

import msgspec

from mangowell_core.mesh import (
    Directory,
    Endpoint,
    MeshRoute,
    MeshSettings,
    WorkerStates,
)
from mangowell_core.mesh.explanation import CandidateView, describe_exclusion
from mangowell_core.mesh.service_room import ASK_EVERY
from mangowell_core.policy.types import Refusal
from mangowell_node.ingress import IncomingCall, Reply
from mangowell_node.mesh.gateway import DEFAULT_TIMEOUT_S, Gateway
from mangowell_node.mesh.request_state import EndReason, RequestState
from mangowell_node.mesh.trial import TrialCall

EXPLAIN_PATH = "/explain"
# Version of the answer; raised by changes that an older command cannot read.
FORMAT = 1
_JSON = b"Content-Type: application/json\r\n"
# Digits of the largest body that can be asked for, far above any limit of a document.
MAX_SIZE_DIGITS = 12


class RouteExplainer:
    """Serves operators: tells where a request would go now, and why.

    It runs the decisions of the request path on a request that is not sent and on
    copies of their state, so that an explanation changes no later decision. The only
    traffic are probes, which the other nodes do not count as demand either.

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
        """Answer ``GET /explain?host=..&path=..&method=..&body_bytes=..``."""
        query = parse_qs(call.target.partition("?")[2], keep_blank_values=True)
        host, path, method, size = (
            query.get(name, [default])[0]
            for name, default in (
                ("host", ""),
                ("path", ""),
                ("method", "GET"),
                ("body_bytes", "0"),
            )
        )
        status = HTTPStatus.OK
        if call.method != "GET":
            status, value = HTTPStatus.METHOD_NOT_ALLOWED, {"error": "use GET"}
        elif not host or not path.startswith("/"):
            status = HTTPStatus.BAD_REQUEST
            value = {"error": "host or path is missing"}
        elif not _is_size(size):
            status = HTTPStatus.BAD_REQUEST
            value = {"error": "body_bytes is not a number of bytes"}
        else:
            value = await self.explain(TrialCall(method, path, host, int(size)))
        body = msgspec.json.encode(value) + b"\n"
        return Reply(status.value, status.phrase, _JSON, body)

    async def explain(self, call: TrialCall) -> dict:
        """Return where a request would go now; docs/command.md has the fields."""
        settings, document = self._settings, self._directory.document
        route, refusal = self._gateway.try_route(call)
        result = {
            "format": FORMAT,
            "node": {
                "instance": settings.instance,
                "failure_domain": settings.failure_domain,
                "service": settings.service,
            },
            "request": {
                "host": call.host,
                "path": call.target,
                "method": call.method,
                "body_bytes": call.body_bytes,
            },
            "unready": self._get_unready_reasons(),
            "version": document.version if document is not None else 0,
            "route": None if route is None else _describe_route(route),
            "services": [],
            "answer": None,
        }
        if route is None:
            answer = _describe_refusal(self._gateway, None, refusal)
            return result | {"answer": answer}
        total = sum(weight for _, weight in route.parts)
        for service, weight in route.parts:
            part = await self._explain_service(call, route, service)
            share = weight / total if total else 1.0
            result["services"].append({"service": service, "share": share, **part})
        return result

    async def _explain_service(
        self, call: TrialCall, route: MeshRoute, service: str
    ) -> dict:
        trial = self._gateway.make_trial()
        attempts = trial.attempts
        call.arrived_at = monotonic()
        state = trial.make_trial_state(call, route, service)
        selected, refusal = None, await trial.try_prepare(state)
        workers = self._directory.look_up_service(service)
        unused = self._directory.find_unused(service)
        is_full = attempts.room.counts_as_full(
            service, route.priority, route.objective_s, monotonic()
        )
        views: list[CandidateView] = []
        answer = None
        if state.head is not None:
            costs = attempts.prober.estimate_costs(state)
            views = [
                self._view_worker(trial, state, worker, costs)
                for worker in [*workers, *(worker for worker, _ in unused)]
            ]
            reasons = {worker.id: reason for worker, reason in unused}
            if refusal is None:
                selected, refusal = await trial.try_workers(state)
        if refusal is not None:
            answer = _describe_refusal(trial, state, refusal)
        if state.head is not None:
            probes = await attempts.prober.ask_all(state, costs)
            for view in views:
                if view.worker in reasons:
                    view.cost_s, view.excluded_by = None, reasons[view.worker]
                if view.worker in probes.replies:
                    view.add_reply(probes.replies[view.worker])
                view.was_asked = view.worker in attempts.prober.asked
                view.was_spared = view.worker in attempts.prober.spared
                view.is_selected = selected is not None and view.worker == selected.id
                view.decision = view.describe_decision(
                    state.ended_by is EndReason.SERVICE_FULL
                )
        views.sort(key=lambda v: (v.cost_s is None, v.cost_s or 0.0, v.worker))
        return {
            "selected": None if selected is None else selected.id,
            "candidates": views,
            "answer": answer,
            "ended_by": None if refusal is None else state.ended_by.value,
            "counts_as_full": is_full,
            "asks_every": ASK_EVERY,
        }

    def _view_worker(
        self,
        trial: Gateway,
        state: RequestState,
        worker: Endpoint,
        costs: list[tuple[float, Endpoint]],
    ) -> CandidateView:
        attempts, evacuated = trial.attempts, self._directory.evacuated
        prober = attempts.prober
        suspicion = prober.is_suspect(state, worker.host)
        view = CandidateView(
            worker=worker.id,
            failure_domain=worker.failure_domain,
            address=f"{worker.host}:{worker.port}",
            is_local=worker.host == self._settings.worker.host,
            is_evacuated=worker.failure_domain in evacuated,
            is_suspect=bool(suspicion),
            cost_s={e.id: cost_s for cost_s, e in costs}.get(worker.id),
            leaving_cost_s=prober.estimate_leaving_cost(state, worker),
            **attempts.placement.explain(worker, monotonic()),
        )
        if view.cost_s is None:
            view.excluded_by = describe_exclusion(
                worker,
                self._worker_states,
                evacuated,
                suspicion is not None,
                prober.stops_too_soon(state, worker.host),
            )
        return view


def _is_size(text: str) -> bool:
    is_number = text.isascii() and text.isdigit()
    return is_number and len(text) <= MAX_SIZE_DIGITS


def _describe_route(route: MeshRoute) -> dict:
    return {
        "name": route.name,
        "prefix": route.prefix,
        "priority": route.priority,
        "idempotent": route.idempotent,
        "objective_s": route.objective_s,
        "timeout_s": route.timeout_s or DEFAULT_TIMEOUT_S,
        "max_attempts": route.max_attempts,
    }


def _describe_refusal(
    gateway: Gateway, state: RequestState | None, refusal: Refusal
) -> dict:
    """Return the answer that a caller would get."""
    return {
        "status": refusal.status,
        "cause": refusal.cause.value,
        "reason": refusal.reason,
        "retry_after_s": gateway.compute_retry_range(state, refusal),
    }
