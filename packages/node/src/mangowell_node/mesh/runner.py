"""Runs requests at the local worker."""

import asyncio
import copy
import math
from collections.abc import Callable
from http import HTTPStatus
from time import monotonic

import msgspec

from mangowell_core.events import Event, EventCode
from mangowell_core.mesh import (
    Admission,
    AdmissionDecision,
    CompletedRequests,
    CrashCounter,
    Directory,
    MeshSettings,
)
from mangowell_core.mesh.admission import Ticket
from mangowell_core.mesh.body_flow import BodyFlow
from mangowell_core.mesh.failure_rate import FailureRate
from mangowell_core.mesh.model import Endpoint, MeshService, ProbeNotice, ProbeReply
from mangowell_core.mesh.placement import LoadReport
from mangowell_core.mesh.worker_states import (
    NO_RATE_LIMIT,
    UNKNOWN_RATE_LIMIT,
    ArrivalCounter,
    WorkerStates,
)
from mangowell_core.policy.outcome import Stage, is_failure, refuse
from mangowell_core.policy.types import Cause, Refusal
from mangowell_node.backend import BackendConnection, BackendPool, RefusalIds
from mangowell_node.exchange import (
    Answer,
    AnswerHead,
    AttemptError,
    Body,
    RequestHead,
    compute_fingerprint,
)
from mangowell_node.mesh.body_budget import BodyBudget, BodyBudgetError
from mangowell_node.mesh.request_state import make_misdirected_refusal
from mangowell_node.mesh.slow_start import SlowStart, is_same_start
from mangowell_node.mesh.tasks import start_loop
from mangowell_node.platform import PlatformDialect
from mangowell_node.reach import AddressFilter

# Longest idle time of a connection for a request that is not idempotent, in
# seconds. If the worker closes an idle connection just when the request is sent,
# it is unknown whether the request has run.
MAX_UNSAFE_IDLE_S = 0.5
# Interval at which waiting requests are checked, in seconds.
SWEEP_INTERVAL_S = 0.02
# Time before its deadline at which a waiting request is refused, in seconds. Its caller
# then learns that it was not run: the refusal has to arrive before the node at which
# the request entered gives it up, over a link of up to 10 ms and a busy event loop.
QUEUE_MARGIN_S = 0.03
# While a worker runs a request, it prefixes the id of each call that it makes with
# the id of that request and this separator.
CALL_SEPARATOR = "."
# Retry-After value of a request that has waited until its deadline, in seconds.
QUEUE_RETRY_AFTER_S = 0.2
# Limit of concurrent requests until the worker is listed: that of a small worker.
DEFAULT_SLOTS = 6
# Connections of the worker that are reserved for others, such as health checks.
RESERVED_CONNECTIONS = 10
DEFAULT_CONNECTIONS = 60
# Time within which all connections of a crashed worker are lost, in seconds.
CRASH_WINDOW_S = 0.05
# Retry-After value if another worker is listed here, in seconds.
NO_INSTANCE_RETRY_AFTER_S = 0.2
# Time for which requests for a worker are refused after another worker has answered at
# its address, in seconds. A kept connection may lead to a worker that is ending while
# the listed one starts, so a request checks again after this time.
MISPLACED_RECHECK_S = 1.0
# A change of a worker's rate limit by this factor is logged.
LOGGED_LIMIT_RATIO = 1.25
# Rank of a new request, as a multiple of its priority, and the ranks by which a call
# precedes new requests of its parent's priority. A refused call wastes the work of its
# parent, so calls come first. Only new requests that are two priorities more urgent
# than the parent precede a call: otherwise calls of the least urgent class take slots
# from a service whose own requests are the most urgent.
RANKS_PER_PRIORITY = 2
CALL_PRECEDENCE = 3


def _ignore_admission() -> None:
    """Ignore the admission of a request from another node."""


class _Waiter:
    """Request that waits for a slot."""

    __slots__ = ("deadline", "fut")

    def __init__(self, fut: asyncio.Future, deadline: float):
        self.fut = fut
        self.deadline = deadline


class WorkerRunner:
    """Serves the platform: admits requests to the local worker and runs them.

    Parameters
    ----------
    settings : MeshSettings
        Settings of the local node.
    directory : Directory
        Listed workers and the document.
    crash_counter : CrashCounter
        Crashes by the fingerprint of the request.
    worker_states : WorkerStates
        Receives what the local worker states in its answers.
    emit : callable
        Takes an `Event`.
    """

    def __init__(
        self,
        settings: MeshSettings,
        directory: Directory,
        crash_counter: CrashCounter,
        worker_states: WorkerStates,
        emit: Callable[[Event], None],
    ):
        self._worker_states = worker_states
        self._emit = emit
        # Requests that the local worker has got from all nodes.
        self.arrivals = ArrivalCounter()
        # Rate limit in the latest event, requests per second.
        self._logged_limit = NO_RATE_LIMIT
        self._crash_counter = crash_counter
        self._completed = CompletedRequests()
        self._lost_fingerprints: list[str] = []
        # Number of requests lost together, and whether the worker was cold then.
        self._lost_count = 0
        self._was_cold_at_loss = False
        self._crash_check_task: asyncio.Task | None = None
        # Takes the id of a crash, the fingerprints of the requests that ran, and
        # whether the load of a cold worker may have caused it.
        self.on_crash: Callable[[str, tuple[str, ...], bool], None] = _ignore_crash
        # Takes the fingerprint of a request that has run at a crash and was completed.
        self.on_completion: Callable[[str], None] = _ignore_completion
        # Called once the local worker has stated that it leaves.
        self.on_worker_leaving: Callable[[], None] = _ignore_leaving
        self._settings = settings
        self._directory = directory
        self._local_worker: Endpoint | None = None
        # Time until which the listed worker counts as gone, in monotonic seconds.
        self._misplaced_until = -math.inf
        # Priority of each request that the worker runs now.
        self._running_priorities: dict[str, int] = {}
        # Time at which the node ends, in monotonic seconds. A request with a later
        # deadline might be cut, so it is left to the worker of another node.
        self._end_deadline = math.inf
        self._waiters: dict[Ticket, _Waiter] = {}
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self._body_flow = BodyFlow(settings.link_mbps)
        # Returns the bytes that other nodes are about to send; replaced by `MeshNode`.
        self.count_incoming_bytes: Callable[[], int] = _count_no_bytes
        # Budget of bodies; replaced by that of the node by `MeshNode`.
        self.body_budget = BodyBudget()
        # Large bodies refused because the link or the memory for bodies was full.
        self.bodies_refused = 0
        self.admission = Admission(DEFAULT_SLOTS, keeps_late=True)
        self._warmup = self.admission.warmup
        self._service: MeshService | None = None
        self._failure_rate = FailureRate()
        self.pool = BackendPool(
            settings.worker.host,
            settings.worker.port,
            AddressFilter(),
            DEFAULT_CONNECTIONS,
            PlatformDialect(),
        )
        self.slow_start = SlowStart(self._warmup, self.pool, emit, self._start_waiting)

    def sync(self) -> None:
        """Apply a change of the directory."""
        worker = self._settings.worker
        local_worker = self._directory.look_up_address(worker.host, worker.port)
        previous, self._local_worker = self._local_worker, local_worker
        if previous is not None and not is_same_start(previous, local_worker):
            self._misplaced_until = -math.inf
            self._clear_queue(_make_unlisted_refusal())
            self.pool.forget_refusals()
            self._completed.clear()
        if local_worker is None:
            self.slow_start.forget_worker()
            return
        self._apply_rate_limit()
        self.admission.limit = max(1, local_worker.slots)
        document = self._directory.document
        for service in document.services if document else ():
            if service.name == local_worker.service:
                limit = service.max_connections - RESERVED_CONNECTIONS
                self.pool.limit = max(local_worker.slots, limit)
                self._service = service
        self.slow_start.sync(
            local_worker, self._service, self._settings, self._is_evacuated
        )
        if self._is_leaving(local_worker):
            self._clear_queue(_make_leaving_refusal())
        elif self._is_evacuated:
            self._clear_queue(_make_evacuated_refusal())

    def limit_deadlines(self, deadline: float) -> None:
        """Refuse requests, also waiting ones, that may outlast the node.

        Parameters
        ----------
        deadline : float
            Monotonic time at which the node ends, in seconds.
        """
        self._end_deadline = deadline
        for ticket, waiter in list(self._waiters.items()):
            if waiter.deadline > deadline and not ticket.is_running:
                self.admission.cancel(ticket)
                self._fail_waiter(ticket, AttemptError(_make_stopping_refusal()))

    def _clear_queue(self, refusal: Refusal) -> None:
        for ticket in self.admission.clear():
            self._fail_waiter(ticket, AttemptError(refusal))

    @property
    def local_worker(self) -> Endpoint | None:
        """Entry of the worker beside this node, or None if it is not listed."""
        return self._local_worker

    def _is_leaving(self, worker: Endpoint) -> bool:
        """Return whether the list or the worker itself tells that it will stop."""
        return worker.draining or self._worker_states.get(worker).is_leaving

    @property
    def _is_evacuated(self) -> bool:
        """Whether the workers of this failure domain get no new requests.

        Nodes that have not heard of the order yet may still send some.
        """
        return self._directory.is_evacuated(self._settings.failure_domain)

    @property
    def leaving_worker(self) -> tuple[str, int] | None:
        """Id and start time (Unix ms) of the local worker if it says that it leaves."""
        worker = self._local_worker
        if worker is None or not self._worker_states.get(worker).is_leaving:
            return None
        return worker.id, worker.born_ms

    @property
    def rate_limit(self) -> float:
        """Requests per second that the worker states that it takes.

        Infinity if it states no limit, negative if it has not stated anything.
        """
        worker = self._local_worker
        if worker is None:
            return UNKNOWN_RATE_LIMIT
        return self._worker_states.get(worker).rate_limit

    @property
    def pending(self) -> int:
        """Number of requests that run or wait."""
        return self.admission.running + self.admission.waiting

    def compute_load(self) -> LoadReport:
        """Return the load of the worker for the placement at other nodes."""
        return self.admission.compute_load(monotonic())

    def find_parent_priority(self, request: str) -> int | None:
        """Return the priority of the running request whose worker made this call.

        The parent may be a call itself, whose id contains the separator. None if the
        request is no call.
        """
        if CALL_SEPARATOR not in request:
            return None
        # There are as many running requests as the worker has slots. Separators are as
        # many as the caller likes.
        parents = [
            parent
            for parent in self._running_priorities
            if request.startswith(CALL_SEPARATOR, len(parent))
            and request.startswith(parent)
        ]
        if not parents:
            return None
        return self._running_priorities[min(parents, key=len)]

    async def run(
        self,
        head: RequestHead,
        body: Body | None,
        deadline: float,
        on_admitted: Callable[[], None] = _ignore_admission,
    ) -> Answer:
        """Run a request at the worker.

        Parameters
        ----------
        head : RequestHead
            Request, with its body.
        body : Body or None
            Unused: the body is part of the head.
        deadline : float
            Monotonic time, in seconds.
        on_admitted : callable, optional
            Called before the request may reach the worker. If `run` is cancelled
            before that, the request never runs.

        Returns
        -------
        Answer

        Raises
        ------
        AttemptError
            If there is no complete answer.
        """
        local_worker = self._local_worker
        if local_worker is None or local_worker.id != head.instance:
            raise AttemptError(_make_unlisted_refusal())
        if self._is_misplaced:
            raise AttemptError(_make_misplaced_refusal())
        if self._is_leaving(local_worker):
            raise AttemptError(_make_leaving_refusal())
        if self._is_evacuated:
            raise AttemptError(_make_evacuated_refusal())
        if deadline > self._end_deadline:
            raise AttemptError(_make_stopping_refusal())
        self._check_crashes(head)
        self._adopt_rate_limit(local_worker, head.rate_limit)
        ticket = await self._admit(head, deadline)
        has_run = is_served = False
        try:
            on_admitted()
            started = monotonic()
            self._running_priorities[head.request] = head.priority
            answer = await self._exchange(head, deadline)
            if answer.head.status == HTTPStatus.MISDIRECTED_REQUEST:
                raise self._make_misdirected_error(local_worker, answer)
            self._record_statements(local_worker, answer.head)
            has_run = not answer.head.is_not_run
            is_served = has_run and not is_failure(answer.head.status)
            self._failure_rate.record(not is_served, monotonic())
            answer.head.work_s = monotonic() - started
            return answer
        except AttemptError as exc:
            if exc.refusal.cause is not Cause.NO_INSTANCE:
                self._failure_rate.record(True, monotonic())
            raise
        finally:
            self._running_priorities.pop(head.request, None)
            self._release(ticket, is_served)
            if has_run:
                load = self.compute_load()
                answer.head.pending = load.pending
                answer.head.slots = load.limit

    async def run_remote(
        self, head: RequestHead, body: Body | None, deadline: float
    ) -> Answer:
        """Run a request of another node; its body counts until it is answered.

        Parameters, result and errors are those of `run`.
        """
        try:
            held = self.body_budget.hold_for_peer(len(head.body))
        except BodyBudgetError as exc:
            self.bodies_refused += 1
            refusal = refuse(
                Cause.OVERLOADED, str(exc), retry_after_s=QUEUE_RETRY_AFTER_S
            )
            load = self.compute_load()
            error = AttemptError(refusal, float(load.pending), load.limit)
            raise error from None
        try:
            return await self.run(head, body, deadline)
        finally:
            self.body_budget.release_for_peer(held)

    def _check_crashes(self, head: RequestHead) -> None:
        """Refuse a request that has crashed workers.

        The node at which it entered may have started since the crashes.
        """
        crash_counter = self._crash_counter
        if not crash_counter:
            return
        now = monotonic()
        fingerprint = compute_fingerprint(head)
        if crash_counter.is_refused(fingerprint, now):
            raise AttemptError(
                refuse(Cause.QUARANTINED, "the same request has crashed workers")
            )
        if self._warmup.is_cold(now) and crash_counter.is_refused_by_cold(
            fingerprint, now
        ):
            reason = "the same request has run at crashes, and the worker is cold"
            raise AttemptError(
                refuse(
                    Cause.OVERLOADED,
                    reason,
                    retry_after_s=self._warmup.cold_until - now,
                )
            )

    # Slow start

    @property
    def is_cold(self) -> bool:
        """Whether the worker has a bound on its requests now."""
        return self._warmup.is_cold(monotonic())

    @property
    def cold_rate(self) -> float:
        """Requests per second that a cold worker of the service gets; 0 if any."""
        return self._warmup.per_s

    # Admission

    def predict_remote(self, probe: ProbeNotice) -> ProbeReply:
        """Predict for a request of another node, whose body has to arrive first."""
        reply = self.predict(probe)
        if not (probe.body_bytes and reply.accepted):
            return reply
        if not self.body_budget.has_room_for_peer(probe.body_bytes):
            reason = "its node has no memory for the body"
            return self._refuse_body(probe, reply, QUEUE_RETRY_AFTER_S, reason)
        body_flow = self._body_flow
        if probe.is_trial:
            body_flow = copy.deepcopy(body_flow)
        is_admitted, delay_s = body_flow.admit(
            probe.body_bytes, self.count_incoming_bytes(), monotonic()
        )
        if not is_admitted:
            reason = "link is too full for the body"
            return self._refuse_body(probe, reply, delay_s, reason)
        return msgspec.structs.replace(reply, delay_s=max(reply.delay_s, delay_s))

    def _refuse_body(
        self, probe: ProbeNotice, reply: ProbeReply, delay_s: float, reason: str
    ) -> ProbeReply:
        """Return the reply that refuses the body of a request."""
        self.bodies_refused += not probe.is_trial
        refused_by = reason if probe.is_trial else ""
        return msgspec.structs.replace(
            reply, accepted=False, delay_s=delay_s, refused_by=refused_by
        )

    def predict(self, probe: ProbeNotice) -> ProbeReply:
        """Predict what the admission of a request would decide."""
        now = monotonic()
        admission = self.admission
        if probe.is_trial:
            # A prediction counts as demand, and a trial must not.
            admission = copy.deepcopy(admission)
        deadline = now + probe.remaining_s
        refused_by = self._find_obstacle(probe.instance, deadline)
        if refused_by:
            accepted, delay_s = False, NO_INSTANCE_RETRY_AFTER_S
        else:
            if not probe.is_trial:
                self._adopt_rate_limit(self._local_worker, probe.rate_limit)
            elif self._may_adopt_rate_limit(probe.rate_limit):
                admission.rate_limit.set_rate(probe.rate_limit, now)
            rank, objective_s = _get_rank_and_objective(
                probe.is_call, probe.priority, probe.objective_s
            )
            decision, delay_s = admission.predict(
                probe.route, rank, objective_s, deadline, now, probe.is_call
            )
            accepted = decision is not AdmissionDecision.REFUSED
        cold_starts = -1
        if probe.is_trial:
            cold_starts = admission.warmup.count_allowed(now)
            if not accepted and not refused_by:
                refused_by = "admission, worker is " + (
                    "full" if cold_starts < 0 else "cold"
                )
        load = admission.compute_load(now)
        return ProbeReply(
            probe.probe,
            accepted,
            delay_s,
            admission.estimate_work(probe.route, now),
            self._failure_rate.estimate(now),
            load.pending,
            load.limit,
            refused_by if probe.is_trial else "",
            cold_starts,
        )

    def _find_obstacle(self, instance: str, deadline: float) -> str:
        """Return why a request cannot be run here whatever the load; else empty."""
        worker = self._local_worker
        if worker is None or worker.id != instance:
            return "worker is not listed beside its node"
        if self._is_misplaced:
            return "another worker has answered at its address"
        if self._is_leaving(worker):
            return "worker leaves"
        if self._is_evacuated:
            return "failure domain is evacuated"
        if deadline > self._end_deadline:
            return "its node stops too soon"
        return ""

    async def _admit(self, head: RequestHead, deadline: float) -> Ticket:
        rank, objective_s = _get_rank_and_objective(
            head.is_call, head.priority, head.objective_s
        )
        decision, ticket, retry_after_s = self.admission.offer(
            head.request,
            head.route,
            rank,
            objective_s,
            deadline,
            monotonic(),
            head.is_call,
        )
        match decision:
            case AdmissionDecision.RUN:
                return ticket
            case AdmissionDecision.REFUSED:
                raise self._make_overload_error(retry_after_s)
        self._schedule_sweep()
        waiter = self._waiters[ticket] = _Waiter(self._loop.create_future(), deadline)
        # A more urgent request may delay others past their latest start.
        self._refuse_expired()
        timer = self._loop.call_later(
            deadline - QUEUE_MARGIN_S - monotonic(), self._refuse_late, ticket
        )
        try:
            await waiter.fut
        except asyncio.CancelledError:
            if ticket.is_running:
                self._release(ticket, False)
            else:
                self.admission.cancel(ticket)
            raise
        finally:
            timer.cancel()
            self._waiters.pop(ticket, None)
        return ticket

    def _refuse_late(self, ticket: Ticket) -> None:
        """Refuse a request that waits until shortly before its deadline."""
        if not ticket.is_running:
            self.admission.cancel(ticket)
            self._fail_waiter(ticket, self._make_overload_error(QUEUE_RETRY_AFTER_S))

    def _make_overload_error(self, retry_after_s: float) -> AttemptError:
        reason = f"{self.admission.waiting} requests wait for the worker"
        refusal = refuse(Cause.OVERLOADED, reason, retry_after_s=retry_after_s)
        load = self.compute_load()
        return AttemptError(refusal, float(load.pending), load.limit)

    def _release(self, ticket: Ticket, is_served: bool) -> None:
        self._resume(self.admission.finish(ticket, is_served, monotonic()))

    def _resume(self, tickets: list[Ticket]) -> None:
        """Let waiting requests go on, as their tickets have started."""
        for started in tickets:
            waiter = self._waiters.get(started)
            if waiter is None or waiter.fut.done():
                self._release(started, False)
            else:
                waiter.fut.set_result(None)

    def _start_waiting(self) -> None:
        self._resume(self.admission.start_waiting(monotonic()))

    def _refuse_expired(self) -> None:
        for ticket, retry_after_s in self.admission.expire(monotonic()):
            self._fail_waiter(ticket, self._make_overload_error(retry_after_s))

    def _fail_waiter(self, ticket: Ticket, error: AttemptError) -> None:
        waiter = self._waiters.get(ticket)
        if waiter is not None and not waiter.fut.done():
            waiter.fut.set_exception(error)

    def _schedule_sweep(self) -> None:
        if self._sweep_timer is None:
            delay_s = self.admission.estimate_rate_delay(monotonic())
            interval_s = min(SWEEP_INTERVAL_S, delay_s or SWEEP_INTERVAL_S)
            self._sweep_timer = self._loop.call_later(interval_s, self._sweep)

    def _sweep(self) -> None:
        self._sweep_timer = None
        try:
            self._start_waiting()
            self._refuse_expired()
        finally:
            # Waiting requests depend on the next sweep, also if this one has failed.
            if self.admission.waiting:
                self._schedule_sweep()

    # Statements of the worker

    @property
    def _is_misplaced(self) -> bool:
        """Whether another worker than the listed one has answered here recently."""
        return monotonic() < self._misplaced_until

    def _make_misdirected_error(self, worker: Endpoint, answer: Answer) -> AttemptError:
        """Return the error for a request that another worker did not run.

        Only a stated id proves that the listed worker is gone. Its requests are then
        refused, including those that wait, until the entry changes.
        """
        if answer.stream is not None:
            answer.stream.close()
        # Another worker has answered, so one has started.
        self.slow_start.suspect_restart()
        found = answer.head.instance
        if found and found != worker.id and is_same_start(worker, self._local_worker):
            if not self._is_misplaced:
                fields = {"backend": worker.id, "found": found}
                self._emit(Event(EventCode.CALL_MISDIRECTED, fields))
            self._misplaced_until = monotonic() + MISPLACED_RECHECK_S
            self._clear_queue(_make_misplaced_refusal())
        return AttemptError(make_misdirected_refusal(NO_INSTANCE_RETRY_AFTER_S))

    def _record_statements(self, worker: Endpoint, head: AnswerHead) -> None:
        """Record what the worker states about itself in an answer."""
        # The entry may have changed since the request was sent.
        is_local = is_same_start(worker, self._local_worker)
        was_leaving = self._worker_states.get(worker).is_leaving
        self._worker_states.record(worker, head.rate_limit, head.is_leaving)
        state = self._worker_states.get(worker)
        if state.is_leaving and not was_leaving:
            fields = {"backend": worker.id, "reason": "stated in an answer"}
            self._emit(Event(EventCode.BACKEND_LEAVING, fields))
            if is_local:
                self._clear_queue(_make_leaving_refusal())
                self.on_worker_leaving()
        if is_local:
            self._log_rate_limit(worker, state.rate_limit)
            self._apply_rate_limit()

    def _apply_rate_limit(self) -> None:
        """Apply the limit of the local worker to the requests that wait for it."""
        now = monotonic()
        limit = self.rate_limit
        if limit == self.admission.rate_limit.per_s:
            return
        self.admission.rate_limit.set_rate(NO_RATE_LIMIT if limit < 0 else limit, now)
        self._resume(self.admission.start_waiting(now))
        self._refuse_expired()

    def _adopt_rate_limit(self, worker: Endpoint, limit: float) -> None:
        """Apply the limit that a sender knows until the worker has answered here.

        After a restart, this node would otherwise learn it only with the first
        answer, when all slots are already in use.
        """
        if self._may_adopt_rate_limit(limit):
            self._worker_states.record(worker, limit, False)
            self._log_rate_limit(worker, limit)
            self._apply_rate_limit()

    def _may_adopt_rate_limit(self, limit: float) -> bool:
        return 0 <= limit < NO_RATE_LIMIT and self.rate_limit < 0

    def _log_rate_limit(self, worker: Endpoint, limit: float) -> None:
        """Emit an event if a limit appears, ends or changes clearly."""
        logged = self._logged_limit
        low, high = min(limit, logged), max(limit, logged)
        if limit < 0 or high <= low * LOGGED_LIMIT_RATIO:
            return
        self._logged_limit = limit
        rate = round(self.arrivals.compute_rate(monotonic()), 1)
        fields = {"backend": worker.id, "requests_per_s": rate}
        if limit == NO_RATE_LIMIT:
            self._emit(Event(EventCode.BACKEND_UNLIMITED, fields))
        else:
            fields["limit_per_s"] = round(limit, 2)
            self._emit(Event(EventCode.BACKEND_LIMITED, fields))

    # Exchange

    async def _exchange(self, head: RequestHead, deadline: float) -> Answer:
        conn = self._take_idle_connection(head)
        if conn is None:
            conn = await self.pool.open(deadline)
            self.slow_start.note_connection(conn)
        if not conn.is_open:
            raise AttemptError.at(Cause.CONNECT_FAILED, Stage.UNSENT, "worker closed")
        if not self._warmup.may_send(monotonic()):
            # Only the connection has shown that the worker has restarted.
            conn.release()
            raise self._make_overload_error(1.0 / self._warmup.per_s)
        return await self._send(conn, head, deadline)

    def _take_idle_connection(self, head: RequestHead) -> BackendConnection | None:
        """Return a kept connection for a request, or None if it needs a new one.

        A refusal without a request id belongs for certain to the current request
        only on a new connection. An uncertain refusal costs a request that may not
        be repeated.
        """
        if not head.request:
            return None
        if head.idempotent:
            return self.pool.take_idle()
        if self.pool.refusal_ids is RefusalIds.OMITTED:
            return None
        return self.pool.take_idle(MAX_UNSAFE_IDLE_S)

    async def _send(
        self, conn: BackendConnection, head: RequestHead, deadline: float
    ) -> Answer:
        self.arrivals.record(monotonic())
        self._warmup.record_sent(monotonic())
        try:
            await conn.start(head, deadline)
            answer = await self.pool.read_answer(conn, head, _ignore_end)
        except BaseException as exc:
            # The worker stops running a request when its connection is closed.
            conn.abort()
            if isinstance(exc, AttemptError):
                self._record_lost_connection(head, exc)
            raise
        if answer.head.is_not_run:
            return answer
        self._completed.record(head.method, head.target, head.body)
        if self._crash_counter:
            fingerprint = compute_fingerprint(head)
            if self._crash_counter.record_completion(fingerprint, monotonic()):
                self.on_completion(fingerprint)
        return answer

    # Crashes

    def _record_lost_connection(self, head: RequestHead, exc: AttemptError) -> None:
        if exc.refusal.cause is not Cause.CONNECTION_LOST:
            return
        if not self._lost_count:
            self._was_cold_at_loss = self._warmup.is_cold(monotonic())
        self._lost_count += 1
        if not self._completed.has(head.method, head.target, head.body):
            self._lost_fingerprints.append(compute_fingerprint(head))
        if self._crash_check_task is None:
            self._crash_check_task = start_loop(self._detect_crash())

    async def _detect_crash(self) -> None:
        """Report a crash if the worker accepts no connection.

        A worker that lost only a connection accepts the next one.
        """
        try:
            await asyncio.sleep(CRASH_WINDOW_S)
            conn = await self.pool.open(monotonic() + CRASH_WINDOW_S * 4)
            self.slow_start.note_connection(conn)
            conn.release()
        except AttemptError as exc:
            # All connections may be in use, which shows nothing about the worker.
            has_ended = exc.refusal.cause is Cause.CONNECT_FAILED
            local_worker = self._local_worker
            # A worker that leaves ends by itself.
            is_expected = local_worker is None or self._is_leaving(local_worker)
            if has_ended:
                self._completed.clear()
            if has_ended and not is_expected:
                self.on_crash(
                    f"{local_worker.id}/{local_worker.born_ms}",
                    tuple(self._lost_fingerprints),
                    self._was_cold_at_loss and self._lost_count > 1,
                )
        finally:
            self._lost_fingerprints.clear()
            self._lost_count = 0
            self._crash_check_task = None

    def stop(self) -> None:
        """Close the connections to the worker."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        self.slow_start.stop()
        self.pool.close()


def _get_rank_and_objective(
    is_call: bool, priority: int, objective_s: float
) -> tuple[int, float]:
    """Return rank and objective of a request for the admission.

    The priority of a call is that of its parent. A late call still lets its parent
    complete, so it has no objective of its own.
    """
    rank = RANKS_PER_PRIORITY * priority
    return (rank - CALL_PRECEDENCE, 0.0) if is_call else (rank, objective_s)


def _make_unlisted_refusal() -> Refusal:
    return refuse(
        Cause.NO_INSTANCE,
        "another worker is listed here",
        retry_after_s=NO_INSTANCE_RETRY_AFTER_S,
    )


def _make_misplaced_refusal() -> Refusal:
    return refuse(
        Cause.NO_INSTANCE,
        "another worker has answered here",
        retry_after_s=NO_INSTANCE_RETRY_AFTER_S,
    )


def _make_leaving_refusal() -> Refusal:
    return refuse(Cause.LEAVING, "worker is leaving")


def _make_evacuated_refusal() -> Refusal:
    return refuse(Cause.LEAVING, "failure domain is evacuated")


def _make_stopping_refusal() -> Refusal:
    return refuse(Cause.LEAVING, "node is stopping")


def _ignore_crash(crash: str, fingerprints: tuple[str, ...], is_cold: bool) -> None:
    """Ignore a crash; replaced by `Gossip`."""


def _ignore_completion(fingerprint: str) -> None:
    """Ignore a completed request; replaced by `Gossip`."""


def _count_no_bytes() -> int:
    """Return that nothing arrives; replaced by `MeshNode`."""
    return 0


def _ignore_leaving() -> None:
    """Ignore a leaving worker; replaced by `Gossip`."""


def _ignore_end(error: AttemptError | None) -> None:
    """Ignore the end of a streamed answer, whose slot is already released."""
