"""Request policy: one call for each decision on the path of a request."""

from collections import deque
from dataclasses import replace

from mangowell_core.events import Event, EventCode
from mangowell_core.messages import CrashReport, FenceQuery, FenceReply
from mangowell_core.model import Snapshot
from mangowell_core.policy.admission import AdmissionController
from mangowell_core.policy.board import TrafficBoard
from mangowell_core.policy.checks import PolicyChecker
from mangowell_core.policy.deadlines import compute_deadline
from mangowell_core.policy.drain import DrainController, DrainState
from mangowell_core.policy.fingerprints import FingerprintController
from mangowell_core.policy.idempotency import KeyLedger
from mangowell_core.policy.limiter import ConcurrencyLimiter
from mangowell_core.policy.outcome import refuse
from mangowell_core.policy.ownership import PINNED_PREFIX, Ownership
from mangowell_core.policy.retries import RetryBudget, compute_hedge_time
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

MAX_EVENTS = 2000  # kept until the driver calls `RequestPolicy.events`


class RequestPolicy:
    """Makes the decisions of one node on the project's own request path.

    Performs no I/O. Times are monotonic seconds and must not decrease from call
    to call.

    Parameters
    ----------
    settings : NodeSettings
    rng : random.Random
        Source of randomness. A node passes ``random.SystemRandom()``, because
        idempotency keys are generated from it.
    incarnation : int or str
        Identifies this process; differs after each start.
    quiet_s : float
        Seconds before the first `apply` for which it is certain that no
        earlier process of this service has run a plain key. 0 if that is not
        known; then plain keys are refused for `ownership.START_HOLD_S`.
    """

    __slots__ = (
        "_admission",
        "_checker",
        "_drain",
        "_events",
        "_fingerprints",
        "_ledger",
        "_limiter",
        "_local_instance",
        "_local_service",
        "_ownership",
        "_quiet_s",
        "_retries",
        "_routing",
        "board",
    )

    def __init__(self, settings: NodeSettings, rng, incarnation, quiet_s: float = 0.0):
        check_incarnation(incarnation)
        check_quiet_time(quiet_s)
        local_instance, domain = settings.instance, settings.failure_domain
        self._local_instance = local_instance
        self._local_service = settings.service
        self._quiet_s = quiet_s
        self._events: deque[Event] = deque(maxlen=MAX_EVENTS)
        emit = self._events.append
        self.board = board = TrafficBoard()
        self._checker = PolicyChecker(settings.invariants)
        self._drain = DrainController(board, local_instance)
        self._routing = RoutingController(board, local_instance, domain, rng, emit)
        self._retries = RetryBudget()
        self._ownership = Ownership(board, local_instance)
        self._ledger = KeyLedger(
            board, self._ownership, local_instance, str(incarnation), rng
        )
        self._fingerprints = FingerprintController(board, local_instance, domain, emit)
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
        """Create the policy of one node; parameters as for the class."""
        return cls(settings, rng, incarnation, quiet_s)

    # Ingress and egress

    def apply(self, snapshot: Snapshot, now: float) -> None:
        """Apply a new snapshot of the configuration and the instance list."""
        board = self.board
        if board.snapshot is None:
            board.started_at = now - self._quiet_s
        board.snapshot = snapshot
        for name in self._drain.apply(snapshot, now):
            self._emit_leaving(name, "instance list")
        self._routing.apply(snapshot, now)
        self._ownership.apply(snapshot, now)
        services = snapshot.document.services
        self._retries.apply(services)
        local_service = services.get(self._local_service)
        if local_service is not None:
            self._limiter.apply(local_service.slots, local_service.connections, now)
        self._admission.request_expire()
        self._drain.handle_event("applied", now)

    def check_quarantine(self, plan: Plan, now: float) -> Refusal | None:
        """Refuse a request in quarantine; return None if it may continue."""
        if plan.fingerprint not in self.board.suspects:
            return None
        return self._fingerprints.check_quarantine(plan.fingerprint, now)

    def record_backend_health(
        self, instance: str, healthy: bool, load: float, now: float
    ) -> None:
        """Record the result of a health or load endpoint of a backend server.

        Parameters
        ----------
        load : float
            Fraction of the capacity in use, 0 to 1; negative if unknown.
        """
        self._routing.report(instance, healthy, load, now)

    def handle_peer_leaving(self, instance: str, now: float) -> None:
        """Handle a peer's message that its instance takes no new work."""
        if self._drain.mark_leaving(instance, now):
            self._emit_leaving(instance, "peer")

    def handle_peer_returned(self, instance: str) -> None:
        """Handle a peer's message that a new process of its instance serves."""
        self._drain.unmark_leaving(instance)

    def start_drain(self, now: float) -> None:
        """Start the drain of the local instance: no new work starts after 3 s."""
        if self._drain.handle_event("drain", now):
            self._emit_leaving(self._local_instance, "shutdown")
            self._finish_drain_if_idle(now)

    def accepts_new(self, now: float) -> bool:
        """Return whether the local backend server may be given new work."""
        return self._drain.accepts_new(now)

    def in_flight(self) -> int:
        """Return the number of requests at the local backend server or queued."""
        return self.board.running + self.board.waiting

    def events(self) -> list[Event]:
        """Return the events since the last call, at most the last `MAX_EVENTS`."""
        events = list(self._events)
        self._events.clear()
        return events

    def _emit_leaving(self, instance: str, reason: str) -> None:
        self._events.append(
            Event(EventCode.BACKEND_LEAVING, {"backend": instance, "reason": reason})
        )

    # Ingress

    def match_route(
        self,
        request: str,
        method: str,
        path: str,
        tenant: str,
        remaining_ms: int | None,
        idempotency_key: str,
        now: float,
    ) -> Plan | Refusal:
        """Determine the route, traffic class and deadline of a call.

        A key on an idempotent route is omitted from the plan, because the
        request may run on any instance and any number of times.

        Parameters
        ----------
        remaining_ms : int or None
            Time that the caller still allows for the call, milliseconds; None
            if the caller sets no limit.
        idempotency_key : str
            Empty if the caller gave none.
        """
        snapshot = self.board.snapshot
        if snapshot is None:
            return refuse(Cause.NOT_READY, "the node has no configuration yet")
        route = self._routing.look_up_route(method, path)
        if route is None:
            return refuse(Cause.NO_ROUTE, f"no route for {method} {path}")
        deadline = compute_deadline(now, route.timeout_ms, remaining_ms)
        if deadline <= now:
            return refuse(Cause.DEADLINE, "the deadline has passed")
        document = snapshot.document
        service = document.services[route.service]
        self._retries.add_tokens(service, now)
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

    def select_instance(self, plan: Plan, excluded, now: float) -> Choice | Refusal:
        """Select the instance for the next attempt.

        Parameters
        ----------
        excluded : container of str
            Names of instances that were already tried.
        """
        if now >= plan.deadline:
            return refuse(Cause.DEADLINE, "the deadline has passed")
        if self.board.leaving:
            self._drain.remove_expired_marks(now)
        if plan.idempotency_key:
            target = self._select_owner(plan, excluded, now)
        elif plan.fingerprint and plan.fingerprint in self.board.suspects:
            target = self._select_for_suspect(plan, excluded, now)
        else:
            target = self._routing.select_instance(
                plan.service, excluded, plan.route.idempotent, now
            )
        if isinstance(target, Refusal):
            self._checker.check_refusal(target)
            return target
        self._checker.check_choice(target.name, self.board.leaving)
        return Choice(target, target.name == self._local_instance)

    def _select_owner(self, plan: Plan, excluded, now: float):
        key, service = plan.idempotency_key, plan.service.name
        if key.startswith(PINNED_PREFIX):
            owner = self._ownership.look_up_pinned_owner(service, key)
        else:
            owner = self._ownership.select_owner(service, key, now)
        if owner is not None and owner.name not in excluded:
            return owner
        # An earlier call with the same key may have run at the owner.
        name = owner.name if owner is not None else "the owner"
        return refuse(
            Cause.KEY_OWNER_LOST,
            f"{name} of the key cannot be reached",
            retry_after_s=1.0 if owner is not None else None,
        )

    def _select_for_suspect(self, plan: Plan, excluded, now: float):
        refusal = self._fingerprints.check_quarantine(plan.fingerprint, now)
        if refusal is not None:
            return refusal
        candidates = self._fingerprints.select_candidates(
            plan.service.name, plan.fingerprint, now
        )
        for item in candidates:
            if item.name not in excluded:
                return item
        return refuse(
            Cause.SUSPECTED,
            "no instance may run the request now, because it is suspected of a crash",
        )

    def record_attempt_start(self, plan: Plan, choice: Choice, now: float) -> None:
        """Record the start of an attempt, which is now in flight."""
        self._routing.record_start(choice.instance.name)

    def record_attempt_end(
        self, plan: Plan, choice: Choice, result: AttemptResult, now: float
    ) -> None:
        """Record the end of an attempt and what it shows of instance and request."""
        instance = choice.instance
        self._routing.record_end(plan.service.name, instance, result, now)
        cause = result.cause
        if cause is Cause.LEAVING:
            if self._drain.mark_leaving(instance.name, now):
                self._emit_leaving(instance.name, "refusal")
        elif not plan.fingerprint:
            return
        elif cause is Cause.BACKEND_CRASHED:
            if result.outcome is not Outcome.NOT_RUN:
                self._fingerprints.record_attempt_crash(
                    plan.fingerprint, instance.failure_domain, instance.name, now
                )
        elif cause is Cause.SUSPECTED:
            self._fingerprints.record_suspicion(plan.fingerprint, now)
        elif cause is Cause.NONE or cause is Cause.BACKEND_STATUS:
            self._fingerprints.clear(plan.fingerprint, now)

    def may_retry(
        self,
        plan: Plan,
        result: AttemptResult,
        attempts: int,
        now: float,
        first_was_silent: bool = False,
    ) -> bool:
        """Return whether another attempt may follow after `attempts` attempts.

        A retry that is allowed may spend a token of the retry budget.

        Parameters
        ----------
        attempts : int
            Number of attempts so far, at least 1.
        first_was_silent : bool
            Whether the first attempt ended because its connection was silent.
        """
        check_attempts(attempts)
        return self._retries.may_retry(plan, result, attempts, now, first_was_silent)

    def should_mark_retried(self, plan: Plan, attempts: int) -> bool:
        """Return whether to mark the response of a failed call as retried.

        Once the retry budget is spent, a call without a retry is marked too.
        Otherwise each upstream hop would spend its own budget on the same
        failure, which multiplies the load by 1.1^10 = 2.6 over 10 hops.
        """
        return attempts > 1 or self._retries.is_exhausted(plan.service)

    def hedge_deadline(self, plan: Plan, started_at: float) -> float | None:
        """Return the time at which a hedged attempt may start, or None."""
        return compute_hedge_time(plan, started_at)

    def may_hedge(self, plan: Plan, now: float) -> bool:
        """Return whether a hedged attempt may start; spend its token if so.

        The suspect of a crash is never hedged, because it must run alone.
        """
        if plan.fingerprint and plan.fingerprint in self.board.suspects:
            return False
        return self._retries.may_hedge(plan, now)

    # Egress: slots and queue

    def offer(self, work: Work, now: float) -> Admitted | Queued | Refusal:
        """Request a slot at the local backend server.

        For a request with a key, call `key_begin` first, so that the stored
        answer is replayed even under overload.
        """
        decision = self._admission.offer(work, now)
        if isinstance(decision, Admitted):
            self._check_start(decision.ticket, now)
        elif isinstance(decision, Refusal):
            self._checker.check_refusal(decision)
        return decision

    def release(
        self, ticket: int, result: AttemptResult, now: float
    ) -> list[Dispatch | Expired]:
        """Release a slot; return the requests that start or are refused now."""
        results = self._admission.release(ticket, result, now)
        self._checker.forget_ticket(ticket)
        return self._check_results(results, now)

    def cancel(self, ticket: int, now: float) -> None:
        """Remove a waiting request; a running request ends with `release`."""
        self._admission.cancel(ticket, now)

    def expire(self, now: float) -> list[Dispatch | Expired]:
        """Return the waiting requests that start or are refused at this time."""
        return self._check_results(self._admission.expire(now), now)

    def next_deadline(self) -> float:
        """Return the time at which `expire` is due: 0 if now, infinite if never."""
        return self._admission.next_deadline()

    def load(self) -> float:
        """Return the local load, 0 to 1, for `AttemptResult.backend_load`."""
        return self._admission.compute_load()

    def _check_results(self, results: list, now: float) -> list[Dispatch | Expired]:
        if results and self._checker.is_enabled:
            for item in results:
                if isinstance(item, Dispatch):
                    self._check_start(item.ticket, now)
                else:
                    self._checker.check_expired(item.ticket, item.refusal)
        self._finish_drain_if_idle(now)
        return results

    def _check_start(self, ticket: int, now: float) -> None:
        leaving_since = self.board.leaving.get(self._local_instance)
        if self.board.own_state is DrainState.SERVING:
            # The list may mark the local instance as leaving before the local
            # node starts its drain.
            leaving_since = None
        self._checker.check_start(ticket, leaving_since, now)

    def _finish_drain_if_idle(self, now: float) -> None:
        if self.in_flight() or self._drain.accepts_new(now):
            return
        self._drain.handle_event("empty", now)

    # Egress: idempotency keys

    def key_begin(
        self, service: str, key: str, now: float, fingerprint: str = ""
    ) -> KeyDecision:
        """Decide whether a key may run; see `KeyLedger`."""
        decision = self._ledger.begin(service, key, fingerprint, now)
        return self._check_key(service, key, decision, now)

    def handle_fence_reply(
        self, service: str, key: str, instance: str, promised: bool, now: float
    ) -> KeyDecision | None:
        """Handle the reply of an instance to a fence query.

        Parameters
        ----------
        instance : str
            Instance that was asked.
        promised : bool
            Whether the instance promised; False also if it did not reply.
        """
        decision = self._ledger.handle_fence_reply(
            service, key, instance, promised, now
        )
        return decision and self._check_key(service, key, decision, now)

    def key_finish(
        self, service: str, key: str, answer: StoredAnswer | None, now: float
    ) -> None:
        """Record the end of a run; an answer of None means an unknown outcome."""
        self._ledger.finish(service, key, answer, now)

    def key_withdraw(self, service: str, key: str, now: float) -> None:
        """Undo `RunKey` or `AskFences`.

        No byte of the request may have reached the backend server.
        """
        self._ledger.withdraw(service, key, now)
        self._checker.withdraw_run(service, key)

    def handle_fence_query(
        self, query: FenceQuery, now: float, sender: str = ""
    ) -> FenceReply:
        """Promise never to run a key if it certainly has not run here.

        Parameters
        ----------
        sender : str
            Instance that asks. A promise is bound to it: a different sender
            that asks for the same key is denied.
        """
        return self._ledger.handle_fence_query(query, sender, now)

    def issue_pinned_key(self, now: float) -> str:
        """Issue a pinned key, which only this process may run."""
        return self._ledger.issue_pinned_key(now)

    def _check_key(self, service: str, key: str, decision, now: float) -> KeyDecision:
        match decision:
            case RunKey():
                self._checker.check_run(service, key, now)
            case ReplayKey():
                self._emit_key_event(EventCode.KEY_REPLAYED, service, key, "done")
            case Refusal():
                self._checker.check_refusal(decision)
                self._emit_key_event(
                    EventCode.KEY_REFUSED, service, key, decision.reason
                )
        return decision

    def _emit_key_event(
        self, code: EventCode, service: str, key: str, reason: str
    ) -> None:
        self._events.append(
            Event(code, {"service": service, "key": key, "reason": reason})
        )

    # Egress: crashes

    def record_backend_crash(
        self, service: str, fingerprints, now: float
    ) -> list[CrashReport]:
        """Record a crash of the local backend server.

        Must be called before the tickets of the crashed requests are released.

        Parameters
        ----------
        fingerprints : iterable of str
            Requests in flight at the crash.

        Returns
        -------
        list of CrashReport
            Reports for the nodes of the service and of other failure domains.
        """
        self._limiter.record_crash(now)
        return self._fingerprints.record_crash(
            service,
            fingerprints,
            self._admission.get_start_time,
            self._admission.isolated_fingerprint,
            now,
        )

    def record_suspect_completion(
        self, fingerprint: str, now: float
    ) -> list[CrashReport]:
        """Clear a suspect that the local backend server has answered.

        Returns
        -------
        list of CrashReport
            Reports with 0 crashes, to be sent like those of `record_backend_crash`.
            A node that receives none clears the suspect later, when the suspect
            completes on a call of that node.
        """
        if not self._fingerprints.clear(fingerprint, now):
            return []
        return [self._fingerprints.build_clearance(self._local_service, fingerprint)]

    def handle_crash_report(self, report: CrashReport, now: float) -> None:
        """Merge the crash report of another node."""
        self._fingerprints.merge_report(report, now)


def with_fingerprint(plan: Plan, fingerprint: str) -> Plan:
    """Return a copy of the plan with the fingerprint of the complete request."""
    return replace(plan, fingerprint=fingerprint)


def check_incarnation(incarnation) -> None:
    """Check that pinned keys can contain the incarnation.

    Raises
    ------
    ValueError
        If the incarnation is empty or has a dot, which separates the parts of
        a pinned key.
    """
    text = str(incarnation)
    if not text or "." in text:
        raise ValueError(
            f"incarnation must not be empty or have a dot, got {incarnation!r}"
        )


def check_quiet_time(quiet_s: float) -> None:
    """Check the quiet time before the start.

    Raises
    ------
    ValueError
        If the time is negative or not a number.
    """
    if not quiet_s >= 0.0:
        raise ValueError(f"quiet_s must be at least 0, got {quiet_s!r}")


def check_attempts(attempts: int) -> None:
    """Check a number of attempts.

    Raises
    ------
    ValueError
        If there was no attempt.
    """
    if attempts < 1:
        raise ValueError(f"attempts must be at least 1, got {attempts!r}")
