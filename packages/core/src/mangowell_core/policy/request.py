"""The request policy: one call for each decision on the path of a request."""

from collections import deque
from dataclasses import replace

from mangowell_core.events import Event, EventCode
from mangowell_core.messages import CrashReport, FenceQuery, FenceReply
from mangowell_core.model import Snapshot
from mangowell_core.policy.admission import AdmissionController
from mangowell_core.policy.board import TrafficBoard
from mangowell_core.policy.checks import PolicyChecker
from mangowell_core.policy.deadlines import find_deadline
from mangowell_core.policy.drain import DrainController, DrainState
from mangowell_core.policy.fingerprints import FingerprintController
from mangowell_core.policy.idempotency import KeyLedger
from mangowell_core.policy.limiter import ConcurrencyLimiter
from mangowell_core.policy.outcome import refuse
from mangowell_core.policy.ownership import PINNED_PREFIX, Ownership
from mangowell_core.policy.retries import RetryBudget, find_hedge_deadline
from mangowell_core.policy.routing import RoutingController
from mangowell_core.policy.types import (
    Admitted,
    AttemptResult,
    Cause,
    Choice,
    Dispatch,
    Expired,
    KeyDecision,
    Outcome,
    Plan,
    Queued,
    Refusal,
    ReplayKey,
    RunKey,
    StoredAnswer,
    Work,
)
from mangowell_core.settings import NodeSettings

MAX_EVENTS = 2000  # kept for a driver that does not ask for them


class RequestPolicy:
    """Decisions of one node on the path of a request, free of I/O.

    Times are monotonic seconds and must not fall from call to call.

    Parameters
    ----------
    settings : NodeSettings
    rng : random.Random
        Source of chance; a node passes ``random.SystemRandom()``, because
        idempotency keys are drawn from it.
    incarnation : int or str
        Identifies this process; differs after each start.
    quiet_s : float
        Seconds before the first `apply` for which it is certain that no
        earlier process of this service has run a plain key. 0 if that is not
        known; then plain keys are refused for `ownership.START_HOLD_S`.
    """

    __slots__ = (
        "_admission",
        "_checks",
        "_drain",
        "_events",
        "_fingerprints",
        "_ledger",
        "_limiter",
        "_own",
        "_own_service",
        "_ownership",
        "_quiet_s",
        "_retries",
        "_routing",
        "board",
    )

    def __init__(self, settings: NodeSettings, rng, incarnation, quiet_s: float = 0.0):
        check_incarnation(incarnation)
        check_quiet(quiet_s)
        own, domain = settings.instance, settings.failure_domain
        self._own = own
        self._own_service = settings.service
        self._quiet_s = quiet_s
        self._events: deque[Event] = deque(maxlen=MAX_EVENTS)
        emit = self._events.append
        self.board = board = TrafficBoard()
        self._checks = PolicyChecker(settings.invariants)
        self._drain = DrainController(board, own)
        self._routing = RoutingController(board, own, domain, rng, emit)
        self._retries = RetryBudget()
        self._ownership = Ownership(board, own)
        self._ledger = KeyLedger(board, self._ownership, own, str(incarnation), rng)
        self._fingerprints = FingerprintController(board, own, domain, emit)
        self._limiter = ConcurrencyLimiter(board)
        self._admission = AdmissionController(
            board,
            self._limiter,
            self._fingerprints,
            self._drain,
            settings.service,
            rng,
            emit,
        )

    @classmethod
    def from_settings(
        cls, settings: NodeSettings, rng, incarnation, quiet_s: float = 0.0
    ) -> "RequestPolicy":
        """Build the policy of one node; parameters as for the class."""
        return cls(settings, rng, incarnation, quiet_s)

    # Both sides

    def apply(self, snapshot: Snapshot, now: float) -> None:
        """Take a new snapshot."""
        board = self.board
        if board.snapshot is None:
            board.started_at = now - self._quiet_s
        board.snapshot = snapshot
        for name in self._drain.apply(snapshot, now):
            self._tell_leaving(name, "instance list")
        self._routing.apply(snapshot, now)
        self._ownership.apply(snapshot, now)
        services = snapshot.document.services
        self._retries.apply(services)
        own = services.get(self._own_service)
        if own is not None:
            self._limiter.apply(own.slots, own.connections, now)
        self._admission.wake()
        self._drain.step("applied", now)

    def suspect(self, plan: Plan, now: float) -> Refusal | None:
        """Refuse a request in quarantine; None if it may go on."""
        if plan.fingerprint not in self.board.suspects:
            return None
        return self._fingerprints.check(plan.fingerprint, now)

    def backend_seen(
        self, instance: str, healthy: bool, load: float, now: float
    ) -> None:
        """Take what a health or load endpoint said.

        Parameters
        ----------
        load : float
            0 to 1; negative if unknown.
        """
        self._routing.report(instance, healthy, load, now)

    def peer_leaving(self, instance: str, now: float) -> None:
        """Take a peer's word that its instance gets no new work."""
        if self._drain.mark(instance, now):
            self._tell_leaving(instance, "peer")

    def peer_returned(self, instance: str) -> None:
        """Take a peer's word that a new process of its instance serves."""
        self._drain.unmark(instance)

    def start_drain(self, now: float) -> None:
        """Begin to leave: no new work starts after 3 s."""
        if self._drain.step("drain", now):
            self._tell_leaving(self._own, "shutdown")
            self._finish_drain(now)

    def accepts_new(self, now: float) -> bool:
        """Tell whether the own backend server may be given new work."""
        return self._drain.accepts_new(now)

    def in_flight(self) -> int:
        """Return the requests at the own backend server and in its queue."""
        return self.board.running + self.board.waiting

    def events(self) -> list[Event]:
        """Return the events since the last call, at most `MAX_EVENTS`."""
        found = list(self._events)
        self._events.clear()
        return found

    def _tell_leaving(self, instance: str, reason: str) -> None:
        self._events.append(
            Event(EventCode.BACKEND_LEAVING, {"backend": instance, "reason": reason})
        )

    # Ingress

    def match(
        self,
        request: str,
        method: str,
        path: str,
        tenant: str,
        remaining_ms: int | None,
        idempotency_key: str,
        now: float,
    ) -> Plan | Refusal:
        """Find route, class and deadline of a call.

        A key on an idempotent route is dropped from the plan: its request may
        run on any instance and any number of times.
        """
        snapshot = self.board.snapshot
        if snapshot is None:
            return refuse(Cause.NOT_READY, "the node has no configuration yet")
        route = self._routing.find_route(method, path)
        if route is None:
            return refuse(Cause.NO_ROUTE, f"no route for {method} {path}")
        deadline = find_deadline(now, route.timeout_ms, remaining_ms)
        if deadline <= now:
            return refuse(Cause.DEADLINE, "the deadline has passed")
        document = snapshot.document
        service = document.services[route.service]
        self._retries.earn(service, now)
        key = "" if route.idempotent else idempotency_key or ""
        return Plan(
            request,
            method,
            path,
            route,
            service,
            document.classes[route.traffic_class],
            tenant,
            deadline,
            key,
        )

    def pick(self, plan: Plan, excluded, now: float) -> Choice | Refusal:
        """Choose the instance for the next attempt.

        Parameters
        ----------
        excluded : container of str
            Instances that were tried already.
        """
        if now >= plan.deadline:
            return refuse(Cause.DEADLINE, "the deadline has passed")
        if self.board.leaving:
            self._drain.release_marks(now)
        if plan.idempotency_key:
            found = self._pick_owner(plan, excluded, now)
        elif plan.fingerprint and plan.fingerprint in self.board.suspects:
            found = self._pick_place(plan, excluded, now)
        else:
            found = self._routing.pick(
                plan.service, excluded, plan.route.idempotent, now
            )
        if isinstance(found, Refusal):
            self._checks.check_refusal(found)
            return found
        self._checks.check_choice(found.name, self.board.leaving)
        return Choice(found, found.name == self._own)

    def _pick_owner(self, plan: Plan, excluded, now: float):
        key, service = plan.idempotency_key, plan.service.name
        if key.startswith(PINNED_PREFIX):
            owner = self._ownership.find_pinned(service, key)
        else:
            owner = self._ownership.find_owner(service, key, now)
        if owner is not None and owner.name not in excluded:
            return owner
        # An earlier call with the key may have run at the owner.
        name = owner.name if owner is not None else "the owner"
        return refuse(
            Cause.KEY_OWNER_LOST,
            f"{name} of the key cannot be reached",
            retry_after_s=1.0 if owner is not None else None,
        )

    def _pick_place(self, plan: Plan, excluded, now: float):
        refusal = self._fingerprints.check(plan.fingerprint, now)
        if refusal is not None:
            return refusal
        places = self._fingerprints.find_places(
            plan.service.name, plan.fingerprint, now
        )
        for item in places:
            if item.name not in excluded:
                return item
        return refuse(Cause.SUSPECTED, "no instance takes the suspect of a crash now")

    def attempt_started(self, plan: Plan, choice: Choice, now: float) -> None:
        """Count an attempt in flight."""
        self._routing.start(choice.instance.name)

    def attempt_finished(
        self, plan: Plan, choice: Choice, result: AttemptResult, now: float
    ) -> None:
        """Take the end of an attempt as evidence on instance and request."""
        instance = choice.instance
        self._routing.finish(plan.service.name, instance, result, now)
        cause = result.cause
        if cause is Cause.LEAVING:
            if self._drain.mark(instance.name, now):
                self._tell_leaving(instance.name, "refusal")
        elif not plan.fingerprint:
            return
        elif cause is Cause.BACKEND_CRASHED:
            if result.outcome is not Outcome.NOT_RUN:
                self._fingerprints.note_crash(
                    plan.fingerprint, instance.failure_domain, instance.name, now
                )
        elif cause is Cause.SUSPECTED:
            self._fingerprints.hear(plan.fingerprint, now)
        elif cause is Cause.NONE or cause is Cause.BACKEND_STATUS:
            self._fingerprints.clear(plan.fingerprint, now)

    def may_retry(
        self,
        plan: Plan,
        result: AttemptResult,
        attempts: int,
        now: float,
        has_moved: bool = False,
    ) -> bool:
        """Decide on another attempt after `attempts` attempts.

        Parameters
        ----------
        has_moved : bool
            Whether the first of them ended in a silent connection.
        """
        check_attempts(attempts)
        return self._retries.may_retry(plan, result, attempts, now, has_moved)

    def is_retried(self, plan: Plan, attempts: int) -> bool:
        """Tell whether to mark the response of a failed call as retried.

        Also without a retry of its own, once the budget is spent: the hops
        above would otherwise each spend theirs on the same failure, which
        multiplies to 1.1^10 = 2.6 over 10 hops.
        """
        return attempts > 1 or self._retries.is_spent(plan.service)

    def hedge_deadline(self, plan: Plan, started_at: float) -> float | None:
        """Return when a second attempt may start, or None."""
        return find_hedge_deadline(plan, started_at)

    def may_hedge(self, plan: Plan, now: float) -> bool:
        """Decide on a second attempt; never for the suspect of a crash."""
        if plan.fingerprint and plan.fingerprint in self.board.suspects:
            return False
        return self._retries.may_hedge(plan, now)

    # Egress: slots and queue

    def offer(self, work: Work, now: float) -> Admitted | Queued | Refusal:
        """Ask for a slot at the own backend server.

        For a keyed request call `key_begin` first, so that a key that has
        run is answered even under overload.
        """
        found = self._admission.offer(work, now)
        if isinstance(found, Admitted):
            self._check_start(found.ticket, now)
        elif isinstance(found, Refusal):
            self._checks.check_refusal(found)
        return found

    def release(
        self, ticket: int, result: AttemptResult, now: float
    ) -> list[Dispatch | Expired]:
        """Give a slot back; return what starts and what is refused."""
        found = self._admission.release(ticket, result, now)
        self._checks.forget_ticket(ticket)
        return self._check_results(found, now)

    def cancel(self, ticket: int, now: float) -> None:
        """Forget a waiting request; a running one ends with `release`."""
        self._admission.cancel(ticket, now)

    def expire(self, now: float) -> list[Dispatch | Expired]:
        """Return what starts and what is refused at this time."""
        return self._check_results(self._admission.expire(now), now)

    def next_deadline(self) -> float:
        """Return when `expire` is due: 0 for at once, infinite for never."""
        return self._admission.next_deadline()

    def load(self) -> float:
        """Return the own load, 0 to 1, for `AttemptResult.backend_load`."""
        return self._admission.find_load()

    def _check_results(self, found: list, now: float) -> list[Dispatch | Expired]:
        if found and self._checks.is_on:
            for item in found:
                if isinstance(item, Dispatch):
                    self._check_start(item.ticket, now)
                else:
                    self._checks.check_expired(item.ticket, item.refusal)
        self._finish_drain(now)
        return found

    def _check_start(self, ticket: int, now: float) -> None:
        leaving_since = self.board.leaving.get(self._own)
        if self.board.own_state is DrainState.SERVING:
            # The list may call the own instance leaving before its node does.
            leaving_since = None
        self._checks.check_start(ticket, leaving_since, now)

    def _finish_drain(self, now: float) -> None:
        if self.in_flight() or self._drain.accepts_new(now):
            return
        self._drain.step("empty", now)

    # Egress: idempotency keys

    def key_begin(
        self, service: str, key: str, now: float, fingerprint: str = ""
    ) -> KeyDecision:
        """Decide whether a key may run; see `KeyLedger`."""
        found = self._ledger.begin(service, key, fingerprint, now)
        return self._check_key(service, key, found, now)

    def key_fenced(
        self, service: str, key: str, instance: str, promised: bool, now: float
    ) -> KeyDecision | None:
        """Take an instance's reply, or its silence as `promised` False."""
        found = self._ledger.take_promise(service, key, instance, promised, now)
        return found and self._check_key(service, key, found, now)

    def key_finish(
        self, service: str, key: str, answer: StoredAnswer | None, now: float
    ) -> None:
        """Record the end of a run; None means that its outcome is unknown."""
        self._ledger.finish(service, key, answer, now)

    def key_withdraw(self, service: str, key: str, now: float) -> None:
        """Undo `RunKey` or `AskFences`: no byte reached the backend server."""
        self._ledger.withdraw(service, key, now)
        self._checks.withdraw_run(service, key)

    def fence(self, query: FenceQuery, now: float, sender: str = "") -> FenceReply:
        """Promise never to run a key, if it certainly has not run here.

        Parameters
        ----------
        sender : str
            Instance that asks. With it, a second instance that asks for the
            same key is denied.
        """
        return self._ledger.promise(query, sender, now)

    def mint_key(self, now: float) -> str:
        """Issue a pinned key, which only this process will run."""
        return self._ledger.mint(now)

    def _check_key(self, service: str, key: str, found, now: float) -> KeyDecision:
        match found:
            case RunKey():
                self._checks.check_run(service, key, now)
            case ReplayKey():
                self._tell_key(EventCode.KEY_REPLAYED, service, key, "done")
            case Refusal():
                self._checks.check_refusal(found)
                self._tell_key(EventCode.KEY_REFUSED, service, key, found.reason)
        return found

    def _tell_key(self, code: EventCode, service: str, key: str, reason: str) -> None:
        self._events.append(
            Event(code, {"service": service, "key": key, "reason": reason})
        )

    # Egress: crashes

    def backend_crashed(
        self, service: str, fingerprints, now: float
    ) -> list[CrashReport]:
        """Record a crash of the own backend server.

        Call it before the crashed requests' tickets are released.

        Returns
        -------
        list of CrashReport
            To be sent to the nodes of the service and of other domains.
        """
        self._limiter.note_crash(now)
        return self._fingerprints.crash(
            service,
            fingerprints,
            self._admission.find_started,
            self._admission.alone,
            now,
        )

    def backend_completed(self, fingerprint: str, now: float) -> list[CrashReport]:
        """Clear a suspect that the own backend server has answered.

        Returns
        -------
        list of CrashReport
            Reports without crashes, to be sent like those of
            `backend_crashed`. Without them other nodes clear it later, when
            it completes with them.
        """
        if not self._fingerprints.clear(fingerprint, now):
            return []
        return [self._fingerprints.make_clearance(self._own_service, fingerprint)]

    def crash_reported(self, report: CrashReport, now: float) -> None:
        """Merge another node's report."""
        self._fingerprints.merge(report, now)


def with_fingerprint(plan: Plan, fingerprint: str) -> Plan:
    """Return the plan with the fingerprint of the body that was read."""
    return replace(plan, fingerprint=fingerprint)


def check_incarnation(incarnation) -> None:
    """Check that pinned keys can carry the incarnation.

    Raises
    ------
    ValueError
    """
    text = str(incarnation)
    if not text or "." in text:
        raise ValueError(f"incarnation must have no dot, got {incarnation!r}")


def check_quiet(quiet_s: float) -> None:
    """Check a time before the start.

    Raises
    ------
    ValueError
    """
    if not quiet_s >= 0.0:
        raise ValueError(f"quiet_s must be at least 0, got {quiet_s!r}")


def check_attempts(attempts: int) -> None:
    """Check a number of attempts.

    Raises
    ------
    ValueError
    """
    if attempts < 1:
        raise ValueError(f"attempts must be at least 1, got {attempts!r}")
