"""Request path of a node on the platform.

Callers and the local worker send requests to the node, which sends each to a
worker.
"""

import asyncio
import contextlib
import copy
import math
import random
from collections.abc import Callable
from time import monotonic

from multidict import istr

from mangowell_core.events import Event, EventCode
from mangowell_core.mesh import (
    CrashCounter,
    Directory,
    Endpoint,
    MeshDocument,
    MeshRoute,
    MeshSettings,
    RouteTable,
    WorkerStates,
)
from mangowell_core.mesh.caller_memory import CallerMemory
from mangowell_core.mesh.routes import TrafficSplitter
from mangowell_core.mesh.service_room import MAX_REMAINING_SHARE
from mangowell_core.policy.outcome import Stage, refuse
from mangowell_core.policy.types import Cause, Outcome, Refusal
from mangowell_node.exchange import (
    AttemptError,
    MessageFormatError,
    RequestHead,
    check_text,
    join_headers,
)
from mangowell_node.ingress import REASON_PHRASES, IncomingCall, Reply
from mangowell_node.link import LinkPool
from mangowell_node.mesh.attempts import AttemptLoop
from mangowell_node.mesh.body_budget import BodyBudget, BodyBudgetError
from mangowell_node.mesh.request_state import (
    EndReason,
    RequestState,
    make_unsent_refusal,
)
from mangowell_node.mesh.runner import WorkerRunner
from mangowell_node.mesh.trial import BoundRandom, TrialCall, ignore_event
from mangowell_node.platform import (
    PlatformDialect,
    read_caller_fields,
    write_refusal_fields,
)

_HOST = istr("Host")
_CONNECTION = istr("Connection")
_CONTENT_LENGTH = istr("Content-Length")

# Time limit of a request if neither its caller nor its route sets one, in seconds.
DEFAULT_TIMEOUT_S = 10.0
# Range of the random factor on the Retry-After value, so that callers that are
# refused together do not retry together.
RETRY_AFTER_JITTER = (0.8, 1.6)
# Shortest Retry-After value, of a caller without time left, in seconds.
MIN_REMAINING_RETRY_S = 0.01
# Causes that last longer than a caller waits.
_FIXED_RETRY_CAUSES = frozenset({Cause.QUARANTINED, Cause.LEAVING})
# Longest time that a request waits for the first document, in seconds.
DOCUMENT_WAIT_S = 0.25
# Retry-After value of a node that stops and is usually started again, in seconds.
RESTART_RETRY_AFTER_S = 2.0
# Margin before the time limit of a request, in seconds. At that point, the node itself
# answers a request that is still open.
EXPIRY_MARGIN_S = 0.003
# A request whose time is cut by a stop is accepted if this multiple of the mean work
# of its route is left.
LATE_WORK_RATIO = 2.0


class Gateway:
    """Serves the platform: carries a request from the caller to the answer.

    `CallPath` does the same for a fleet without a platform.

    Only the node that receives a request selects its service. Otherwise a node
    with another version of the document could select again, and the result might
    follow neither version.

    Parameters
    ----------
    settings : MeshSettings
        Settings of the local node.
    directory : Directory
        Listed workers and the document.
    runner : WorkerRunner
        Runs requests at the local worker.
    links : LinkPool
        Links to the other nodes.
    crash_counter : CrashCounter
        Crashes by the fingerprint of the request.
    worker_states : WorkerStates
        What the workers have stated in their answers.
    emit : callable
        Takes an `Event`.
    observe : callable
        Takes the route, the service, the outcome and the duration in seconds of
        each request.
    rng : random.Random
        Source of random numbers for retry times, placement and the retry budget.
    caller_memory : CallerMemory, optional
        Account of what the node holds for callers.
    """

    def __init__(
        self,
        settings: MeshSettings,
        directory: Directory,
        runner: WorkerRunner,
        links: LinkPool,
        crash_counter: CrashCounter,
        worker_states: WorkerStates,
        emit: Callable[[Event], None],
        observe: Callable[[str, str, str, float], None],
        rng: random.Random,
        caller_memory: CallerMemory | None = None,
    ):
        self._settings = settings
        # Reads the settings again if they have changed; replaced by the program.
        self.refresh_settings: Callable[[], None] = _keep_settings
        self._directory = directory
        self._runner = runner
        self._links = links
        self._crash_counter = crash_counter
        self._emit = emit
        self._observe = observe
        self._rng = rng
        self._document: MeshDocument | None = None
        self._route_table: RouteTable | None = None
        self._document_arrived = asyncio.Event()
        self._traffic_splitter = TrafficSplitter(rng)
        # Names of the routes that have had answers too long to be read whole.
        self._streaming_routes: set[str] = set()
        self.attempts = AttemptLoop(
            settings,
            directory,
            runner,
            links,
            crash_counter,
            worker_states,
            emit,
            rng,
        )
        self.in_flight = 0
        self._body_budget = BodyBudget(caller_memory)
        # Latest deadline of a request, in monotonic seconds.
        self._end_deadline = math.inf
        self._refuses_callers = False
        # Requests whose body arrives, that wait for a worker or are at one, each with
        # its time limit.
        self._open: dict[RequestState, asyncio.Timeout] = {}

    def limit_deadlines(self, deadline: float) -> None:
        """Answer all requests, also open ones, before the node ends.

        Parameters
        ----------
        deadline : float
            Latest deadline of a request, in monotonic seconds.
        """
        self._end_deadline = deadline
        self.attempts.keeps_running_work = True
        expires_in_s = deadline - EXPIRY_MARGIN_S - monotonic()
        expires_at = asyncio.get_running_loop().time() + expires_in_s
        for state, timeout in self._open.items():
            if state.deadline > deadline:
                state.deadline = deadline
                timeout.reschedule(expires_at)

    def refuse_callers(self) -> None:
        """Serve only calls of requests that the local worker runs."""
        self._refuses_callers = True

    def reload(self, settings: MeshSettings) -> None:
        """Apply changed settings."""
        self._settings = settings

    def sync(self) -> None:
        """Apply a change of the directory."""
        directory = self._directory
        document = directory.document
        if document is not None and document is not self._document:
            # The document is only recorded with its routes, so that a failure is
            # followed by another attempt.
            self._route_table = RouteTable(document)
            self._document = document
            self._document_arrived.set()
            names = {route.name for route in document.routes}
            self._traffic_splitter.keep(names)
            self._streaming_routes &= names
        self.attempts.sync(monotonic())

    @property
    def route_table(self) -> RouteTable | None:
        """Routes that requests are matched to; None before the first document."""
        return self._route_table

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
        refusal = self._check_stop(request)
        if refusal is not None:
            return self._make_refusal_reply(request, None, refusal, call.arrived_at)
        if self._route_table is None:
            await self._wait_for_document()
        route, refusal = self._match_route(call)
        if route is None:
            return self._make_refusal_reply(request, None, refusal, call.arrived_at)
        service = self._traffic_splitter.select_service(route)
        state = self._make_state(call, route, service, fields.remaining_ms)
        try:
            return await self._serve_on_route(state, request)
        finally:
            self._body_budget.release(state.held_body_bytes)
            # The traceback of the error refers to the state, so that the request and
            # its connection would stay until a full collection.
            state.error = None

    def expects_stream(self, call: IncomingCall) -> bool:
        """Return whether the answer to a request is probably too long to come whole."""
        if not self._streaming_routes:
            return False
        route, _ = self._match_route(call)
        return route is not None and route.name in self._streaming_routes

    def _check_stop(self, request: str) -> Refusal | None:
        if self._refuses_callers and not self.is_call(request):
            return _make_stopping_refusal()
        return None

    def _match_route(
        self, call: IncomingCall
    ) -> tuple[MeshRoute | None, Refusal | None]:
        """Return the route of a request, or the refusal of one without a route."""
        if self._route_table is None:
            reason = "no document yet"
            return None, refuse(Cause.NOT_READY, reason, retry_after_s=0.5)
        path = call.target.partition("?")[0]
        route = self._route_table.match(call.headers.get(_HOST, ""), path)
        if route is None:
            return None, refuse(Cause.NO_ROUTE, "no route matches")
        return route, None

    def _make_state(
        self,
        call: IncomingCall,
        route: MeshRoute,
        service: str,
        remaining_ms: float | None,
    ) -> RequestState:
        """Return the state of a request, whose caller may state its time limit."""
        timeout_s = route.timeout_s or DEFAULT_TIMEOUT_S
        caller_s = timeout_s
        if remaining_ms is not None:
            caller_s = remaining_ms / 1000
            timeout_s = min(timeout_s, caller_s)
        state = RequestState(call, route, service)
        state.caller_deadline = call.arrived_at + caller_s
        state.deadline = min(call.arrived_at + timeout_s, self._end_deadline)
        return state

    def _check_head(self, state: RequestState) -> Refusal | None:
        """Return the refusal of a request that no worker is asked for."""
        if self.attempts.is_quarantined(state, monotonic()):
            reason = "the same request has crashed workers"
            return refuse(Cause.QUARANTINED, reason)
        if self._is_cut_by_stop(state) and not self._may_finish(state):
            return _make_stopping_refusal()
        return None

    async def _serve_on_route(self, state: RequestState, request: str) -> Reply:
        call = state.call
        refusal = await self._prepare_head(state, request) or self._check_head(state)
        if refusal is not None:
            return self._make_refusal_reply(request, state, refusal, call.arrived_at)
        if not state.head.is_call:
            self.attempts.budget.count_request(state.service, monotonic())
        try:
            async with self._limit_time(state):
                await self.attempts.run(state)
        except TimeoutError:
            stage = Stage.SENT if state.may_have_run else Stage.UNSENT
            reason = "time limit of the route or the caller reached"
            if self._is_cut_by_stop(state):
                reason = "time for stopping has passed"
            state.set_answer(None)
            state.ended_by = EndReason.DEADLINE
            state.error = AttemptError.at(Cause.DEADLINE, stage, reason)
        except BaseException:
            state.set_answer(None)
            raise
        return self._make_reply(state, request)

    # Trials: decisions on requests that are not sent

    def make_trial(self, rng: random.Random | None = None) -> "Gateway":
        """Return a copy that decides on requests that are not sent.

        Its decisions change nothing here. It decides as the next request here would be
        decided on, as its random numbers are the same.

        Parameters
        ----------
        rng : random.Random, optional
            Other source of random numbers of the copy.
        """
        trial = copy.copy(self)
        trial._rng = rng or copy.deepcopy(self._rng)
        trial._emit = ignore_event
        trial.attempts = self.attempts.make_trial(trial._rng)
        return trial

    def try_route(self, call: TrialCall) -> tuple[MeshRoute | None, Refusal | None]:
        """Return the route of a request that is not sent, or its refusal."""
        refusal = self._check_stop("")
        return (None, refusal) if refusal else self._match_route(call)

    def make_trial_state(
        self, call: TrialCall, route: MeshRoute, service: str
    ) -> RequestState:
        """Return the state of a request whose caller states no time limit."""
        return self._make_state(call, route, service, None)

    async def try_prepare(self, state: RequestState) -> Refusal | None:
        """Build the head of a request that is not sent; return its refusal if any."""
        try:
            refusal = await self._prepare_head(state, "")
        finally:
            self._body_budget.release(state.held_body_bytes)
            state.held_body_bytes = 0
        return refusal or self._check_head(state)

    async def try_workers(
        self, state: RequestState
    ) -> tuple[Endpoint | None, Refusal | None]:
        """Choose the worker of a request that is not sent.

        Returns
        -------
        Endpoint or None, Refusal or None
            One of both is None.
        """
        self.attempts.prober.record_request(state)
        worker, ended_by = await self.attempts.choose_worker(state)
        if worker is not None:
            return worker, None
        state.ended_by = ended_by
        return None, state.make_refusal()

    def compute_retry_range(
        self, state: RequestState | None, refusal: Refusal
    ) -> tuple[float, float]:
        """Return the shortest and the longest Retry-After of a refusal, in seconds."""
        shortest, longest = (
            self.make_trial(BoundRandom(bound))._compute_retry_after(state, refusal)
            for bound in (min, max)
        )
        return shortest, longest

    def _is_cut_by_stop(self, state: RequestState) -> bool:
        """Return whether the node ends before the time limit of a request."""
        return state.deadline >= self._end_deadline

    def _may_finish(self, state: RequestState) -> bool:
        """Return whether a worker probably finishes a request before its deadline.

        Otherwise, its work would be broken off.
        """
        placement = self.attempts.placement
        work_s = placement.estimate_work(state.route.name, state.service)
        return state.deadline - monotonic() >= LATE_WORK_RATIO * work_s

    @contextlib.asynccontextmanager
    async def _limit_time(self, state: RequestState):
        """Raise `TimeoutError` at the deadline of a request, also one set meanwhile."""
        expires_in_s = state.deadline - monotonic() - EXPIRY_MARGIN_S
        try:
            async with asyncio.timeout(expires_in_s) as self._open[state]:
                yield
        finally:
            self._open.pop(state, None)

    def is_call(self, request: str) -> bool:
        """Return whether the local worker made a request while running another."""
        return self._runner.find_parent_priority(request) is not None

    async def _wait_for_document(self) -> None:
        """Wait for the first document, which the store sends within milliseconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DOCUMENT_WAIT_S):
                await self._document_arrived.wait()

    async def _prepare_head(self, state: RequestState, request: str) -> Refusal | None:
        """Read the body and build the head for the worker.

        Returns
        -------
        Refusal or None
            None if the request can be sent.
        """
        call = state.call
        limits = self._directory.document.limits
        route = state.route
        try:
            check_text(request, call.method, call.target)
            header_block = join_headers(
                call.raw_headers,
                PlatformDialect.dropped_fields,
                call.headers.get(_CONNECTION),
            )
            body = await self._read_body(state, limits.max_body_bytes)
        except (MessageFormatError, AttemptError) as exc:
            # The request is malformed, or the caller has closed the connection.
            return Refusal(Outcome.NOT_RUN, Cause.NO_ROUTE, 400, 0.0, str(exc))
        except TimeoutError:
            if self._is_cut_by_stop(state):
                return _make_stopping_refusal()
            return make_unsent_refusal("request body arrives too slowly")
        except BodyBudgetError as exc:
            return refuse(Cause.OVERLOADED, str(exc))
        if body is None:
            reason = f"body of more than {limits.max_body_bytes} bytes"
            return Refusal(Outcome.NOT_RUN, Cause.NO_ROUTE, 413, 0.0, reason)
        parent_priority = self._runner.find_parent_priority(request)
        is_call = parent_priority is not None
        # The file may have changed without a signal, and names the caller's service.
        self.refresh_settings()
        state.head = RequestHead(
            request,
            state.service,
            call.method,
            call.target,
            header_block,
            "",
            "",
            parent_priority if is_call else route.priority,
            False,
            0.0,
            route.idempotent,
            body=body,
            caller_service=self._settings.service,
            route=route.name,
            objective_s=route.objective_s,
            is_call=is_call,
        )
        return None

    async def _read_body(self, state: RequestState, limit: int) -> bytes | None:
        """Return the body, or None if it has more than `limit` bytes.

        Raises
        ------
        BodyBudgetError
            If the bodies of other requests leave too little memory.
        """
        call = state.call
        if call.is_body_complete:
            body = call.get_complete_body()
            self._hold_body(state, len(body))
            return body if len(body) <= limit else None
        length = int(call.headers.get(_CONTENT_LENGTH, 0))
        if length > limit:
            return None
        self._hold_body(state, length)
        async with self._limit_time(state):
            body = await call.read_body(lambda size: self._hold_body(state, size))
            if type(body) is bytes:
                return body if len(body) <= limit else None
            chunks = []
            size = 0
            while chunk := await body.read():
                chunks.append(chunk)
                size += len(chunk)
                if size > limit:
                    return None
                self._hold_body(state, size)
            return b"".join(chunks)

    def _hold_body(self, state: RequestState, size: int) -> None:
        state.held_body_bytes = self._body_budget.hold(state.held_body_bytes, size)

    # Replies

    def _make_reply(self, state: RequestState, request: str) -> Reply:
        answer = state.caller_answer
        if answer is None:
            refusal = state.make_refusal()
            state.set_answer(None)
            return self._make_refusal_reply(
                request, state, refusal, state.call.arrived_at
            )
        head = answer.head
        if answer.stream is not None:
            self._streaming_routes.add(state.route.name)
        outcome = "failed" if head.status >= 500 else "done"
        seconds = monotonic() - state.call.arrived_at
        self._observe(state.route.name, state.service, outcome, seconds)
        if seconds > state.route.objective_s and not state.head.is_call:
            self._emit_late_call(state, seconds)
        return Reply(
            head.status,
            head.reason,
            head.headers,
            head.body,
            answer.stream,
            head.length,
        )

    def _emit_late_call(self, state: RequestState, seconds: float) -> None:
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

    def _compute_retry_after(
        self, state: RequestState | None, refusal: Refusal
    ) -> float:
        """Return the Retry-After value of a refusal, in seconds; 0 for none."""
        if refusal.status != 503 or not refusal.retry_after_s:
            return 0.0
        jitter = self._rng.uniform(*RETRY_AFTER_JITTER)
        if state is None or refusal.cause in _FIXED_RETRY_CAUSES:
            return refusal.retry_after_s * jitter
        remaining_s = state.caller_deadline - monotonic()
        is_call = state.head is None or state.head.is_call
        if refusal.cause is Cause.OVERLOADED and not is_call:
            retry_s = self.attempts.compute_retry_after(state, refusal, remaining_s)
        else:
            # Jitter also below the longest time, so that callers do not come together.
            limit_s = remaining_s * MAX_REMAINING_SHARE / RETRY_AFTER_JITTER[1]
            retry_s = min(refusal.retry_after_s, limit_s) * jitter
        return max(MIN_REMAINING_RETRY_S, retry_s)

    def _make_refusal_reply(
        self,
        request: str,
        state: RequestState | None,
        refusal: Refusal,
        arrived_at: float,
    ) -> Reply:
        retry_after_s = self._compute_retry_after(state, refusal)
        fields = {
            "request": request,
            "cause": refusal.cause.value,
            "reason": refusal.reason,
            "status": refusal.status,
            "retry_after_s": round(retry_after_s, 3),
            "held_ms": round((monotonic() - arrived_at) * 1000),
        }
        route = service = ""
        if state is not None:
            route, service = state.route.name, state.service
            fields |= {
                "route": route,
                "service": service,
                "call": state.head is not None and state.head.is_call,
                "attempts": state.attempts,
                "ended_by": state.ended_by.value,
                "tried": ",".join(sorted(state.excluded)),
                "version": self._directory.document.version,
            }
        code = EventCode.CALL_UNKNOWN
        if refusal.outcome is Outcome.NOT_RUN:
            code = EventCode.CALL_REFUSED
        self._emit(Event(code, fields))
        self._observe(route, service, refusal.cause.value, monotonic() - arrived_at)
        return Reply(
            refusal.status,
            REASON_PHRASES.get(refusal.status, "Error"),
            write_refusal_fields(request, retry_after_s),
            refusal.reason.encode() + b"\n",
        )


def _make_stopping_refusal() -> Refusal:
    return refuse(
        Cause.LEAVING, "node is stopping", retry_after_s=RESTART_RETRY_AFTER_S
    )


def _keep_settings() -> None:
    """Do nothing; settings that are not read from a file do not change."""
