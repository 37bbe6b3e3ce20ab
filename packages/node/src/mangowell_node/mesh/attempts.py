"""Attempts of one request at one worker after another."""

import random
from collections.abc import Callable
from http import HTTPStatus
from time import monotonic

from mangowell_core.events import Event, EventCode
from mangowell_core.mesh import (
    CrashLedger,
    Directory,
    Endpoint,
    MeshRoute,
    MeshSettings,
    Placement,
    RetryBudget,
)
from mangowell_core.mesh.offers import may_offer
from mangowell_core.mesh.placement import LoadReport
from mangowell_core.policy.outcome import Stage, refuse
from mangowell_core.policy.types import Cause, Outcome, Refusal
from mangowell_node.exchange import (
    Answer,
    AttemptError,
    RequestHead,
    find_fingerprint,
)
from mangowell_node.ingress import IncomingCall
from mangowell_node.link import Contact, LinkPool
from mangowell_node.mesh.runner import WorkerRunner

# Retry-After if no worker is known, seconds.
NO_WORKER_RETRY_S = 0.5
# The rest of the time limit that makes another attempt worth its while, as a
# share of the mean work.
MIN_WORK_SHARE = 0.6
# Time that a request waits for a link to open, seconds; the opening goes on
# for others. Links are kept open, so this is met behind a cut or a restart.
CONNECT_WAIT_S = 0.3
_DOUBTS = {
    Contact.OPEN: False,
    Contact.DOUBTFUL: True,
    # The request waits a moment for the first link.
    Contact.UNKNOWN: False,
    Contact.LOST: None,
}
# Failures that say that the node beside the worker cannot be reached.
_UNREACHABLE = frozenset({Cause.CONNECT_FAILED, Cause.CONNECTION_SILENT})
# Failures of the worker itself; one that has crashed refuses the next connection.
_FAILED = frozenset({Cause.BAD_ANSWER, Cause.DEADLINE, Cause.CONNECTION_LOST})


class RequestState:
    """State of one request over its attempts.

    Parameters
    ----------
    call : IncomingCall
    route : MeshRoute
    service : str
        Service chosen for it.
    """

    __slots__ = (
        "answer",
        "attempts",
        "call",
        "deadline",
        "error",
        "excluded",
        "has_cleared",
        "head",
        "may_have_run",
        "refusals",
        "route",
        "service",
    )

    def __init__(self, call: IncomingCall, route: MeshRoute, service: str):
        self.call = call
        self.route = route
        self.service = service
        self.head: RequestHead | None = None
        self.deadline = 0.0
        self.excluded: set[str] = set()
        # Attempts that may have reached a worker.
        self.attempts = 0
        # Workers that were too busy.
        self.refusals = 0
        self.has_cleared = False
        self.may_have_run = False
        self.answer: Answer | None = None
        self.error: AttemptError | None = None

    def find_refusal(self) -> Refusal:
        """Return what the caller is told without an answer of a worker."""
        if self.error is None:
            return refuse(Cause.CONNECTION_LOST, "outcome unknown", stage=Stage.SENT)
        refusal = self.error.refusal
        if self.may_have_run and refusal.outcome is Outcome.NOT_RUN:
            # An earlier attempt may have run, so no promise can be made.
            return refuse(Cause.CONNECTION_LOST, refusal.reason, stage=Stage.SENT)
        return refusal


class Attempts:
    """Chooses workers for a request until there is an answer.

    Parameters
    ----------
    settings : MeshSettings
    directory : Directory
    runner : WorkerRunner
    links : LinkPool
    ledger : CrashLedger
    emit : callable
        Takes an `Event`.
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
        rng: random.Random,
    ):
        self._settings = settings
        self._directory = directory
        self._runner = runner
        self._links = links
        self._ledger = ledger
        self._emit = emit
        self.placement = Placement(settings.worker.host, settings.failure_domain, rng)
        self.budget = RetryBudget(
            settings.retry_ratio, settings.retry_floor, settings.retry_window_s, rng
        )

    def sync(self, now: float) -> None:
        """Take a change of the directory."""
        self.placement.sync(self._directory.find_all(), now)
        self.budget.set_nodes(len(self._directory.find_hosts()))

    async def run(self, state: RequestState) -> None:
        """Make attempts until there is an answer or no use in another one."""
        route = state.route
        while True:
            now = monotonic()
            endpoint = self.placement.choose(
                self._directory.find_service(state.service),
                route.name,
                route.objective_s,
                state.excluded,
                now,
                self._is_doubted,
            )
            if endpoint is None and self._may_return(state):
                # The only worker may have lost a connection and nothing else.
                state.excluded.clear()
                continue
            if endpoint is None:
                if state.error is None and state.answer is None:
                    state.error = AttemptError(
                        refuse(
                            Cause.NO_INSTANCE,
                            f"no worker of {state.service} can be reached",
                            retry_after_s=NO_WORKER_RETRY_S,
                        )
                    )
                return
            elapsed_s = now - state.call.arrived
            if not may_offer(state.refusals, elapsed_s, state.route.objective_s):
                return
            if state.may_have_run or state.attempts:
                if not self._may_repeat(state, now):
                    return
                self._emit(
                    Event(
                        EventCode.CALL_RETRIED,
                        {
                            "request": state.head.request,
                            "backend": endpoint.id,
                            "reason": _describe(state),
                            "attempt": state.attempts + 1,
                        },
                    )
                )
            state.excluded.add(endpoint.id)
            if await self._attempt(state, endpoint):
                return

    def _is_doubted(self, host: str) -> bool | None:
        """See `Placement.choose`."""
        if host == self._settings.worker.host:
            return False
        return _DOUBTS[self._links.find_contact(host, self._settings.link.port)]

    def _may_return(self, state: RequestState) -> bool:
        """Tell whether the workers that were tried may be tried once more."""
        if state.has_cleared or not state.may_have_run:
            return False
        state.has_cleared = True
        return state.route.idempotent and state.error is not None

    def _may_repeat(self, state: RequestState, now: float) -> bool:
        """Tell whether a request that reached a worker may go to another."""
        if state.may_have_run and not state.route.idempotent:
            return False
        if state.attempts >= max(1, state.route.max_attempts):
            return False
        work = self.placement.find_work(state.route.name, state.service)
        if state.deadline - now < work * MIN_WORK_SHARE:
            return False
        if self.is_poisonous(state, now):
            return False
        return self.budget.spend(state.service, now, state.head.is_call)

    def is_poisonous(self, state: RequestState, now: float) -> bool:
        """Tell whether the request has crashed the workers that ran it."""
        ledger = self._ledger
        return bool(ledger) and ledger.is_refused(find_fingerprint(state.head), now)

    async def _attempt(self, state: RequestState, endpoint: Endpoint) -> bool:
        """Make one attempt; tell whether its result is final."""
        placement = self.placement
        head = state.head
        head.instance = endpoint.id
        now = monotonic()
        placement.start(endpoint, now)
        # Until it ends otherwise, the request may be at the worker.
        state.attempts += 1
        ran_before, state.may_have_run = state.may_have_run, True
        try:
            answer = await self._send(state, endpoint)
        except AttemptError as exc:
            self._learn_error(endpoint, exc)
            is_unsent = exc.refusal.outcome is Outcome.NOT_RUN
            state.refusals += exc.refusal.cause is Cause.OVERLOADED
            if is_unsent:
                state.attempts -= 1
                state.may_have_run = ran_before
            if not (is_unsent and state.error is not None and state.may_have_run):
                state.error = _prefer(state.error, exc)
            return False
        finally:
            placement.finish(endpoint)
        now = monotonic()
        if answer.head.pending >= 0:
            load = LoadReport(answer.head.pending, endpoint.slots)
            placement.note_load(endpoint, load, now)
        if answer.head.is_not_run:
            placement.note_failure(endpoint, now)
            state.refusals += answer.head.status != HTTPStatus.MISDIRECTED_REQUEST
            state.may_have_run = ran_before
            state.answer = answer
            return False
        state.answer = answer
        if answer.head.status >= 500:
            placement.note_failure(endpoint, now)
            # At its time limit a worker has no time left for another one.
            return answer.head.status == 504
        placement.note_answer(endpoint, state.route.name, answer.head.work_s, now)
        return True

    async def _send(self, state: RequestState, endpoint: Endpoint) -> Answer:
        if endpoint.host == self._settings.worker.host:
            return await self._runner.run(state.head, None, state.deadline)
        port = self._settings.link.port
        deadline = min(state.deadline, monotonic() + CONNECT_WAIT_S)
        await self._links.connect(endpoint.host, port, deadline)
        return await self._links.call(
            endpoint.host, port, state.head, None, state.deadline
        )

    def _learn_error(self, endpoint: Endpoint, exc: AttemptError) -> None:
        now = monotonic()
        cause = exc.refusal.cause
        if cause in _UNREACHABLE:
            self.placement.note_down(endpoint, now)
        elif cause is Cause.OVERLOADED:
            load = LoadReport(int(exc.backend_load), endpoint.slots)
            self.placement.note_load(endpoint, load, now)
        elif cause in _FAILED:
            self.placement.note_failure(endpoint, now)


def _prefer(known: AttemptError | None, new: AttemptError) -> AttemptError:
    """Return the error that tells the caller more."""
    if known is None:
        return new
    if new.refusal.outcome is not Outcome.NOT_RUN:
        return new
    if known.refusal.outcome is not Outcome.NOT_RUN:
        return known
    # Of two refusals, the one that lets the caller return sooner.
    if new.refusal.retry_after_s < known.refusal.retry_after_s:
        return new
    return known


def _describe(state: RequestState) -> str:
    if state.error is not None:
        return state.error.refusal.cause.value
    if state.answer is not None:
        return f"status {state.answer.head.status}"
    return ""
