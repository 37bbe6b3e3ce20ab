"""Sends a request to one worker after another until one has answered it."""

import asyncio
import copy
import random
from collections.abc import Callable
from http import HTTPStatus
from time import monotonic

from mangowell_core.events import Event, EventCode
from mangowell_core.mesh import (
    CrashCounter,
    Directory,
    Endpoint,
    MeshSettings,
    Placement,
    RetryBudget,
    WorkerStates,
)
from mangowell_core.mesh.body_flow import LARGE_BODY_BYTES
from mangowell_core.mesh.explanation import copy_decisions
from mangowell_core.mesh.offers import may_offer_again
from mangowell_core.mesh.placement import LoadReport
from mangowell_core.mesh.service_room import ServiceRoom
from mangowell_core.policy.outcome import is_failure, refuse
from mangowell_core.policy.types import Cause, Outcome, Refusal
from mangowell_node.exchange import (
    Answer,
    AttemptError,
    RequestHead,
    compute_fingerprint,
)
from mangowell_node.link import Contact, LinkPool
from mangowell_node.mesh.prober import Prober
from mangowell_node.mesh.request_state import (
    EndReason,
    RequestState,
    make_misdirected_refusal,
)
from mangowell_node.mesh.runner import WorkerRunner
from mangowell_node.mesh.tasks import start_loop
from mangowell_node.mesh.trial import TrialProber, ignore_event

# Retry-After value if no worker can be reached, in seconds.
NO_WORKER_RETRY_AFTER_S = 0.5
# Another attempt is made only if the time left before the deadline is at least
# this share of the mean execution time.
MIN_REMAINING_WORK_SHARE = 0.6
# Longest time that a request waits for a link to open, in seconds. The link goes
# on opening for later requests. As links are kept open, a request waits only
# after a network cut or a restart.
CONNECT_WAIT_S = 0.3
# Value of `AttemptLoop._is_suspect` by the state of the link to the host.
_SUSPECT_BY_CONTACT = {
    Contact.OPEN: False,
    Contact.DOUBTFUL: True,
    # A request waits up to `CONNECT_WAIT_S` for the first link.
    Contact.UNKNOWN: False,
    Contact.LOST: None,
}
# Causes that show that the node beside the worker cannot be reached.
_UNREACHABLE_CAUSES = frozenset({Cause.CONNECT_FAILED, Cause.CONNECTION_SILENT})
# Causes that count as failures of the worker itself. They do not mark it as
# unreachable: if it has crashed, it refuses the next connection.
_WORKER_FAILURE_CAUSES = frozenset(
    {Cause.BAD_ANSWER, Cause.DEADLINE, Cause.CONNECTION_LOST}
)
# Statuses after which a request that may run again is sent to another worker.
_RETRIED_STATUSES = frozenset(range(500, 600)) - {504}


class AttemptLoop:
    """Serves the platform: sends a request to workers until there is an answer.

    `CallPath` makes the attempts of a fleet without a platform.

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
        Receives what the workers state in their answers.
    emit : callable
        Takes an `Event`.
    rng : random.Random
        Source of random numbers for placement and the retry budget.
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
        rng: random.Random,
    ):
        self._settings = settings
        self._directory = directory
        self._runner = runner
        self._links = links
        self._crash_counter = crash_counter
        self._worker_states = worker_states
        self._emit = emit
        self._rng = rng
        # Whether attempts go on until their answer or deadline, whatever is silent.
        self.keeps_running_work = False
        self.placement = Placement(settings.worker.host, settings.failure_domain, rng)
        self.prober = Prober(
            settings,
            directory,
            runner,
            links,
            self.placement,
            worker_states,
            self._is_suspect,
            rng,
        )
        self.room = ServiceRoom(rng)
        self.budget = RetryBudget(
            settings.retry_ratio, settings.retry_floor, settings.retry_window_s, rng
        )

    def sync(self, now: float) -> None:
        """Apply a change of the directory.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        """
        self.placement.sync(self._directory.get_workers(), now)
        self.budget.set_nodes(len(self._directory.get_hosts()))

    def make_trial(self, rng: random.Random) -> "AttemptLoop":
        """Return a copy that decides on requests that are not sent.

        Its decisions change nothing here.

        Parameters
        ----------
        rng : random.Random
            Source of random numbers of the copy.
        """
        trial = copy.copy(self)
        trial._rng, trial._emit = rng, ignore_event
        trial.placement, trial.room, trial.budget, trial._crash_counter = (
            copy_decisions(
                (self.placement, self.room, self.budget, self._crash_counter),
                self._rng,
                rng,
            )
        )
        trial.prober = TrialProber(self.prober, trial.placement, rng)
        return trial

    async def run(self, state: RequestState) -> None:
        """Make attempts until there is an answer or no further attempt is allowed."""
        ended_by = None
        self.prober.record_request(state)
        while ended_by is None:
            ended_by = await self._make_next_attempt(state)
        state.ended_by = ended_by

    async def choose_worker(
        self, state: RequestState
    ) -> tuple[Endpoint | None, EndReason | None]:
        """Choose the worker of the next attempt.

        Returns
        -------
        Endpoint or None, EndReason or None
            Worker, or why there is no further attempt. Both are None if all workers may
            be tried once more.
        """
        if not _may_offer(state, monotonic()):
            return None, EndReason.OFFER_LIMIT
        if state.error and state.error.refusal.cause is Cause.QUARANTINED:
            # All other nodes would refuse the request as well.
            return None, EndReason.QUARANTINED
        if self._is_service_full(state):
            reason = f"{state.service} is full"
            state.error = AttemptError(refuse(Cause.OVERLOADED, reason))
            return None, EndReason.SERVICE_FULL
        try:
            endpoint = await self._select_worker(state)
        except AttemptError as exc:
            self._record_full(state, exc)
            state.error = _select_error(state.error, exc)
            return None, EndReason.ALL_REFUSE
        if endpoint is not None:
            if not state.head.is_call:
                self.room.record_accepted(state.service, state.route.priority)
            return endpoint, None
        if self._may_reset_exclusions(state):
            # If there is only one worker, it may have lost just a connection.
            state.excluded.clear()
            return None, None
        if state.error is None and state.answer is None:
            state.error = AttemptError(
                refuse(
                    Cause.NO_INSTANCE,
                    f"no worker of {state.service} can be reached",
                    retry_after_s=NO_WORKER_RETRY_AFTER_S,
                )
            )
        return None, EndReason.NO_WORKER

    async def _make_next_attempt(self, state: RequestState) -> EndReason | None:
        """Make one attempt; return why no further one follows, or None if one may."""
        endpoint, ended_by = await self.choose_worker(state)
        if endpoint is None:
            return ended_by
        if state.may_have_run or state.attempts or state.is_misdirected:
            obstacle = self._find_retry_obstacle(state, monotonic())
            if obstacle is not None:
                return obstacle
            self._emit(
                Event(
                    EventCode.CALL_RETRIED,
                    {
                        "request": state.head.request,
                        "backend": endpoint.id,
                        "reason": _describe_failure(state),
                        "attempt": state.attempts + 1,
                    },
                )
            )
        state.excluded.add(endpoint.id)
        is_final = await self._attempt(state, endpoint)
        return EndReason.ANSWERED if is_final else None

    def _is_service_full(self, state: RequestState) -> bool:
        """Return whether to refuse a new request without asking workers.

        Calls are always offered: a refusal would waste the work of their parents.
        """
        if state.head.is_call or state.excluded or state.may_have_run:
            return False
        route = state.route
        return not self._has_room_here(state.service) and self.room.is_full(
            state.service, route.priority, route.objective_s, monotonic()
        )

    def _has_room_here(self, service: str) -> bool:
        """Return whether the local worker has a free slot for a service."""
        worker = self._runner.local_worker
        admission = self._runner.admission
        if worker is None or worker.service != service:
            return False
        return admission.running < admission.limit

    def _record_full(self, state: RequestState, error: AttemptError) -> None:
        """Record that all workers that were asked would refuse a request.

        Those that an earlier attempt excluded may have room for others, and so may
        those of other failure domains that were not asked.
        """
        # A large body may be refused for the links of the workers.
        is_large = len(state.head.body) >= LARGE_BODY_BYTES
        is_own = state.head.is_call or is_large
        is_partial = is_own or state.excluded or state.has_skipped_remote
        if is_partial or error.refusal.cause is not Cause.OVERLOADED:
            return
        route = state.route
        wait_s = error.refusal.retry_after_s
        if self.room.record_full(
            state.service, route.priority, route.objective_s, wait_s, monotonic()
        ):
            fields = {
                "service": state.service,
                "priority": route.priority,
                "room_in_ms": round(wait_s * 1000),
            }
            self._emit(Event(EventCode.CLASS_FULL, fields))

    def compute_retry_after(
        self, state: RequestState, refusal: Refusal, remaining_s: float
    ) -> float:
        """Return when the caller of an overloaded service is to retry, in seconds.

        Parameters
        ----------
        state : RequestState
            Refused request, which is not a call.
        refusal : Refusal
            Its refusal.
        remaining_s : float
            Time that the caller has left, in seconds.
        """
        route = state.route
        is_unasked = state.ended_by is EndReason.SERVICE_FULL
        return self.room.schedule_retry(
            state.service,
            route.priority,
            route.objective_s,
            self.placement.estimate_work(route.name, state.service),
            0.0 if is_unasked else refusal.retry_after_s,
            remaining_s,
            monotonic(),
        )

    async def _select_worker(self, state: RequestState) -> Endpoint | None:
        selected, state.next_worker = state.next_worker, None
        return selected or await self.prober.select_worker(state)

    def _is_suspect(self, host: str) -> bool | None:
        """Return whether a host is suspected, or None if it cannot be reached."""
        if host == self._settings.worker.host:
            return False
        return _SUSPECT_BY_CONTACT[
            self._links.get_contact(host, self._settings.link.port)
        ]

    async def _prepare_repeat(
        self, state: RequestState, give_up: Callable[[], None]
    ) -> None:
        """Give up an attempt on a silent link if another one can be made.

        A silent link may only be full, and its worker about to answer. The attempt
        therefore goes on until there is a worker that would take the request and the
        retry budget has granted the repeat. That worker may refuse it all the same, so
        a node that stops does not give up work that runs.
        """
        now = monotonic()
        if self.keeps_running_work or not _may_offer(state, now):
            return
        if state.retry_granted is False:
            return
        if self._find_repeat_obstacle(state, now) is not None:
            return
        try:
            endpoint = await self.prober.select_worker(state)
        except AttemptError:
            return
        if endpoint is None or not self._is_in_contact(endpoint.host):
            return
        if self._find_retry_obstacle(state, monotonic()) is None:
            state.next_worker = endpoint
            give_up()

    def _is_in_contact(self, host: str) -> bool:
        if host == self._settings.worker.host:
            return True
        contact = self._links.get_contact(host, self._settings.link.port)
        return contact is Contact.OPEN

    def _may_reset_exclusions(self, state: RequestState) -> bool:
        """Return whether the workers that were tried may be tried once more."""
        if state.has_reset_exclusions or not state.may_have_run:
            return False
        state.has_reset_exclusions = True
        return state.route.idempotent and state.error is not None

    def _find_repeat_obstacle(
        self, state: RequestState, now: float
    ) -> EndReason | None:
        """Return what forbids another attempt, except for the retry budget."""
        if state.may_have_run and not state.route.idempotent:
            return EndReason.NOT_REPEATABLE
        if state.attempts >= max(1, state.route.max_attempts):
            return EndReason.ATTEMPT_LIMIT
        mean_work_s = self.placement.estimate_work(state.route.name, state.service)
        if state.deadline - now < mean_work_s * MIN_REMAINING_WORK_SHARE:
            return EndReason.NO_TIME
        return EndReason.QUARANTINED if self.is_quarantined(state, now) else None

    def _find_retry_obstacle(self, state: RequestState, now: float) -> EndReason | None:
        """Return what forbids another attempt of a request that reached a worker.

        The retry budget is asked once for each attempt that reaches a worker.
        """
        obstacle = self._find_repeat_obstacle(state, now)
        if obstacle is not None:
            return obstacle
        if state.retry_granted is None:
            state.retry_granted = self.budget.spend(
                state.service, now, state.head.is_call
            )
        return None if state.retry_granted else EndReason.RETRY_BUDGET

    def is_quarantined(self, state: RequestState, now: float) -> bool:
        """Return whether the request is refused because it has crashed workers."""
        crash_counter = self._crash_counter
        return bool(crash_counter) and crash_counter.is_refused(
            compute_fingerprint(state.head), now
        )

    async def _attempt(self, state: RequestState, endpoint: Endpoint) -> bool:
        """Make one attempt and return whether its result is final."""
        placement = self.placement
        head = state.head
        head.instance = endpoint.id
        head.rate_limit = self._worker_states.get(endpoint).rate_limit
        now = monotonic()
        placement.start(endpoint, now)
        # Until the attempt ends, the request counts as having reached the worker.
        state.attempts += 1
        may_have_run_before, state.may_have_run = state.may_have_run, True
        was_granted, state.retry_granted = state.retry_granted, None
        state.is_passed_on = state.is_misdirected = False
        try:
            answer = await self._send(state, endpoint)
            if answer.head.status == HTTPStatus.MISDIRECTED_REQUEST:
                # From a node of an earlier version; others report it as a refusal.
                _close(answer)
                raise AttemptError(make_misdirected_refusal())
        except AttemptError as exc:
            self._record_error(endpoint, exc)
            is_unsent = exc.refusal.outcome is Outcome.NOT_RUN
            state.refusals += exc.refusal.cause is Cause.OVERLOADED
            if is_unsent:
                state.attempts -= 1
                state.may_have_run = may_have_run_before
                status = exc.refusal.status
                state.is_misdirected = status == HTTPStatus.MISDIRECTED_REQUEST
                if not state.is_misdirected:
                    # The platform counts arrivals at workers, and this was none.
                    state.retry_granted = was_granted or state.retry_granted
            if not (is_unsent and state.error is not None and state.may_have_run):
                state.error = _select_error(state.error, exc)
            return False
        except asyncio.CancelledError:
            if not state.is_passed_on:
                # It waited for a link or in the queue of this node, and has left both.
                state.attempts -= 1
                state.may_have_run = may_have_run_before
            raise
        finally:
            placement.finish(endpoint)
        now = monotonic()
        self._worker_states.record(
            endpoint, answer.head.rate_limit, answer.head.is_leaving
        )
        if answer.head.pending >= 0:
            slots = answer.head.slots or endpoint.slots
            load = LoadReport(answer.head.pending, slots, answer.head.pace)
            placement.record_load(endpoint, load, now)
        if answer.head.is_not_run:
            placement.record_failure(endpoint, now)
            state.refusals += 1
            state.may_have_run = may_have_run_before
            state.set_answer(answer)
            return False
        state.set_answer(answer)
        if is_failure(answer.head.status):
            placement.record_failure(endpoint, now)
            # A worker answers 504 at the time limit, so no time is left for another.
            return answer.head.status not in _RETRIED_STATUSES
        route = state.route.name
        placement.record_answer(endpoint, route, answer.head.work_s, now)
        self.room.record_answer(state.service, now)
        placement.record_size(route, _compute_size(head, answer))
        return True

    async def _send(self, state: RequestState, endpoint: Endpoint) -> Answer:
        if endpoint.host == self._settings.worker.host:
            return await self._runner.run(
                state.head, None, state.deadline, state.pass_on
            )
        port = self._settings.link.port
        deadline = min(state.deadline, monotonic() + CONNECT_WAIT_S)
        await self._links.connect(endpoint.host, port, deadline)
        state.pass_on()
        preparation: asyncio.Task | None = None

        def on_silence(give_up: Callable[[], None]) -> None:
            nonlocal preparation
            if preparation is None or preparation.done():
                preparation = start_loop(self._prepare_repeat(state, give_up))

        try:
            return await self._links.call(
                endpoint.host, port, state.head, None, state.deadline, on_silence
            )
        finally:
            if preparation is not None:
                preparation.cancel()

    def _record_error(self, endpoint: Endpoint, exc: AttemptError) -> None:
        now = monotonic()
        cause = exc.refusal.cause
        if cause in _UNREACHABLE_CAUSES:
            self.placement.record_unreachable(endpoint, now)
        elif cause is Cause.OVERLOADED:
            load = LoadReport(int(exc.backend_load), exc.slots or endpoint.slots)
            self.placement.record_load(endpoint, load, now)
        elif cause in _WORKER_FAILURE_CAUSES or cause is Cause.NO_INSTANCE:
            self.placement.record_failure(endpoint, now)


def _may_offer(state: RequestState, now: float) -> bool:
    elapsed_s = now - state.call.arrived_at
    return may_offer_again(state.refusals, elapsed_s, state.route.objective_s)


def _close(answer: Answer) -> None:
    """Release an answer that is not passed on."""
    if answer.stream is not None:
        answer.stream.close()


def _compute_size(head: RequestHead, answer: Answer) -> int:
    """Return the bytes that a request and its answer take on a link."""
    body_bytes = max(len(answer.head.body), answer.head.length)
    return len(head.headers) + len(head.body) + len(answer.head.headers) + body_bytes


def _select_error(known: AttemptError | None, new: AttemptError) -> AttemptError:
    """Return the error that gives the caller more information."""
    if known is None:
        return new
    if new.refusal.outcome is not Outcome.NOT_RUN:
        return new
    if known.refusal.outcome is not Outcome.NOT_RUN:
        return known
    # Of two refusals, prefer the one with the shorter time to retry.
    if new.refusal.retry_after_s < known.refusal.retry_after_s:
        return new
    return known


def _describe_failure(state: RequestState) -> str:
    """Return the reason for a retry, for the event log."""
    if state.error is not None:
        return state.error.refusal.cause.value
    if state.answer is not None:
        return f"status {state.answer.head.status}"
    return ""
