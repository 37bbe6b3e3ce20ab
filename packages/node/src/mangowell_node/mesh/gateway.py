"""Takes requests from callers, and from the own worker, to a worker."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from time import monotonic

from multidict import istr

from mangowell_core.events import Event, EventCode
from mangowell_core.mesh import (
    CrashLedger,
    Directory,
    MeshDocument,
    MeshSettings,
    RouteTable,
)
from mangowell_core.mesh.routes import PartChooser
from mangowell_core.policy.outcome import Stage, refuse
from mangowell_core.policy.types import Cause, Outcome, Refusal
from mangowell_node.exchange import (
    AttemptError,
    MessageFormatError,
    RequestHead,
    join_headers,
)
from mangowell_node.ingress import REASONS, IncomingCall, Reply
from mangowell_node.link import LinkPool
from mangowell_node.mesh.attempts import Attempts, RequestState
from mangowell_node.mesh.runner import WorkerRunner
from mangowell_node.platform import (
    PlatformDialect,
    read_caller_fields,
    write_refusal_fields,
)

_HOST = istr("Host")
_CONNECTION = istr("Connection")
_LENGTH = istr("Content-Length")

# Time limit of a request whose caller and route state none, seconds.
DEFAULT_TIMEOUT_S = 10.0
# Callers are told to return within this range around the predicted time, so
# that those refused together do not come back together.
RETRY_SPREAD = (0.8, 1.6)
# A worker puts the id of the request that it runs before the id of each call
# that it makes for it.
CALL_SEPARATOR = "."
# Time that a request waits for the first document, seconds.
DOCUMENT_WAIT_S = 0.25
# Time by which an answer made here comes before the time limit, seconds.
EXPIRY_MARGIN_S = 0.003


class Gateway:
    """Request path from the caller's connection to the answer.

    The service is chosen here and nowhere else: a second choice by a node with
    another version of the document could break the rule of both.

    Parameters
    ----------
    settings : MeshSettings
    directory : Directory
    runner : WorkerRunner
    links : LinkPool
    ledger : CrashLedger
    emit : callable
        Takes an `Event`.
    observe : callable
        Takes route, service, outcome and seconds of each request.
    rng : random.Random
    """

    def __init__(
        self,
        settings: MeshSettings,
        directory: Directory,
        runner: WorkerRunner,
        links: LinkPool,
        ledger: CrashLedger,
        emit: Callable[[Event], None],
        observe: Callable[[str, str, str, float], None],
        rng: random.Random,
    ):
        self._settings = settings
        self._directory = directory
        self._runner = runner
        self._links = links
        self._ledger = ledger
        self._emit = emit
        self._observe = observe
        self._rng = rng
        self._document: MeshDocument | None = None
        self._table: RouteTable | None = None
        self._has_document = asyncio.Event()
        self._parts = PartChooser()
        self.attempts = Attempts(settings, directory, runner, links, ledger, emit, rng)
        self.in_flight = 0

    def reload(self, settings: MeshSettings) -> None:
        """Take changed settings."""
        self._settings = settings

    def sync(self) -> None:
        """Take a change of the directory."""
        directory = self._directory
        document = directory.document
        if document is not None and document is not self._document:
            self._document = document
            self._table = RouteTable(document)
            self._has_document.set()
            self._parts.keep({route.name for route in document.routes})
        self.attempts.sync(monotonic())

    async def serve(self, call: IncomingCall) -> Reply:
        """Answer one request."""
        self.in_flight += 1
        try:
            return await self._serve(call)
        finally:
            self.in_flight -= 1

    async def _serve(self, call: IncomingCall) -> Reply:
        fields = read_caller_fields(call.headers)
        request = fields.request
        if self._table is None:
            await self._wait_for_document()
        if self._table is None:
            refusal = refuse(Cause.NOT_READY, "no document yet", retry_after_s=0.5)
            return self._refuse(request, None, refusal, call.arrived)
        path = call.target.partition("?")[0]
        route = self._table.match(call.headers.get(_HOST, ""), path)
        if route is None:
            refusal = refuse(Cause.NO_ROUTE, "no route matches")
            return self._refuse(request, None, refusal, call.arrived)
        timeout_s = route.timeout_s or DEFAULT_TIMEOUT_S
        if fields.remaining_ms is not None:
            timeout_s = min(timeout_s, fields.remaining_ms / 1000)
        state = RequestState(call, route, self._parts.choose(route))
        state.deadline = call.arrived + timeout_s
        refusal = await self._read(state, request)
        if refusal is not None:
            return self._refuse(request, state, refusal, call.arrived)
        if self.attempts.is_poisonous(state, monotonic()):
            reason = "the same request has crashed workers"
            refusal = refuse(Cause.QUARANTINED, reason)
            return self._refuse(request, state, refusal, call.arrived)
        if not state.head.is_call:
            self.attempts.budget.count_request(state.service, monotonic())
        try:
            async with asyncio.timeout(state.deadline - monotonic() - EXPIRY_MARGIN_S):
                await self.attempts.run(state)
        except TimeoutError:
            stage = Stage.SENT if state.attempts else Stage.UNSENT
            reason = "time limit of the route or the caller reached"
            state.answer = None
            state.error = AttemptError.at(Cause.DEADLINE, stage, reason)
        return self._reply(state, request)

    async def _wait_for_document(self) -> None:
        """Wait a moment after the start, as the store answers in milliseconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DOCUMENT_WAIT_S):
                await self._has_document.wait()

    async def _read(self, state: RequestState, request: str) -> Refusal | None:
        """Read the body and prepare the head that goes to the worker."""
        call = state.call
        limits = self._directory.document.limits
        route = state.route
        try:
            block = join_headers(
                call.raw_headers,
                PlatformDialect.dropped,
                call.headers.get(_CONNECTION),
            )
            body = await self._read_body(state, limits.max_body_bytes)
        except (MessageFormatError, AttemptError) as exc:
            # Malformed, or cut off by the caller.
            return Refusal(Outcome.NOT_RUN, Cause.NO_ROUTE, 400, 0.0, str(exc))
        except TimeoutError:
            return refuse(Cause.DEADLINE, "request body arrives too slowly")
        if body is None:
            reason = f"body of more than {limits.max_body_bytes} bytes"
            return Refusal(Outcome.NOT_RUN, Cause.NO_ROUTE, 413, 0.0, reason)
        is_call = self._runner.is_running(request.partition(CALL_SEPARATOR)[0])
        objective_s = route.objective_s
        state.head = RequestHead(
            request,
            state.service,
            call.method,
            call.target,
            block,
            "",
            "",
            route.priority,
            False,
            0.0,
            route.idempotent,
            body=body,
            caller_service=self._settings.service,
            route=route.name,
            objective_s=objective_s,
            is_call=is_call,
        )
        return None

    async def _read_body(self, state: RequestState, limit: int) -> bytes | None:
        call = state.call
        if call.has_arrived:
            body = call.take_body()
            return body if len(body) <= limit else None
        if int(call.headers.get(_LENGTH, 0)) > limit:
            return None
        async with asyncio.timeout(state.deadline - monotonic()):
            body = await call.read_body()
            if type(body) is bytes:
                return body if len(body) <= limit else None
            chunks = []
            size = 0
            while chunk := await body.read():
                chunks.append(chunk)
                size += len(chunk)
                if size > limit:
                    return None
            return b"".join(chunks)

    # Replies

    def _reply(self, state: RequestState, request: str) -> Reply:
        answer = state.answer
        if answer is not None and answer.head.is_not_run and state.may_have_run:
            # The worker speaks for itself, not for another that was tried.
            answer = None
        if answer is None:
            refusal = state.find_refusal()
            return self._refuse(request, state, refusal, state.call.arrived)
        head = answer.head
        outcome = "failed" if head.status >= 500 else "done"
        seconds = monotonic() - state.call.arrived
        self._observe(state.route.name, state.service, outcome, seconds)
        if seconds > state.route.objective_s and not state.head.is_call:
            self._report_late(state, seconds)
        return Reply(
            head.status,
            head.reason,
            head.headers,
            head.body,
            answer.stream,
            head.length,
        )

    def _report_late(self, state: RequestState, seconds: float) -> None:
        fields = {
            "request": state.head.request,
            "route": state.route.name,
            "service": state.service,
            "backend": state.head.instance,
            "attempts": state.attempts,
            "total_ms": round(seconds * 1000),
            "work_ms": round(state.answer.head.work_s * 1000),
            "objective_ms": round(state.route.objective_s * 1000),
            "status": state.answer.head.status,
            "version": self._directory.document.version,
        }
        self._emit(Event(EventCode.CALL_LATE, fields))

    def _refuse(
        self, request: str, state: RequestState | None, refusal: Refusal, started: float
    ) -> Reply:
        retry_after_s = 0.0
        if refusal.status == 503 and refusal.retry_after_s:
            retry_after_s = refusal.retry_after_s * self._rng.uniform(*RETRY_SPREAD)
        fields = {
            "request": request,
            "cause": refusal.cause.value,
            "reason": refusal.reason,
            "status": refusal.status,
            "retry_after_s": round(retry_after_s, 3),
            "held_ms": round((monotonic() - started) * 1000),
        }
        route = service = ""
        if state is not None:
            route, service = state.route.name, state.service
            fields |= {
                "route": route,
                "service": service,
                "call": state.head is not None and state.head.is_call,
                "attempts": state.attempts,
                "tried": ",".join(sorted(state.excluded)),
                "version": self._directory.document.version,
            }
        code = EventCode.CALL_UNKNOWN
        if refusal.outcome is Outcome.NOT_RUN:
            code = EventCode.CALL_REFUSED
        self._emit(Event(code, fields))
        self._observe(route, service, refusal.cause.value, monotonic() - started)
        return Reply(
            refusal.status,
            REASONS.get(refusal.status, "Error"),
            write_refusal_fields(request, retry_after_s),
            refusal.reason.encode() + b"\n",
        )
