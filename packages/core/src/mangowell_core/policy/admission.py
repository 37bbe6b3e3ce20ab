"""Admission control for the project's own request path.

Under overload, a request that cannot end before its deadline is refused early,
and requests of the least urgent class are shed first. A request whose deadline
has passed is never started, so that the slots go to requests whose callers
still wait.
"""

from collections import deque

from mangowell_core.events import Event, EventCode
from mangowell_core.policy.drain import DrainState
from mangowell_core.policy.fingerprints import FingerprintState
from mangowell_core.policy.outcome import refuse
from mangowell_core.policy.queues import RequestQueue, WaitingRequest, compute_rank
from mangowell_core.policy.types import (
    Admitted,
    AttemptResult,
    Cause,
    Dispatch,
    Expired,
    Outcome,
    Queued,
    Refusal,
    Work,
)

DEFERRABLE_SLOT_SHARE = 0.7  # of the concurrency limit
DEFERRABLE_QUEUE_SHARE = 0.25  # of the queue limit
DEFERRABLE_RETRY_AFTER_S = 900.0  # plus jitter of up to as much, to spread retries
DEFERRABLE_MIN_TIME_S = 60.0  # a shorter deadline cannot outlast an overload
MAX_WAITING_SUSPECTS = 8  # each runs alone, for one service time
# A suspect keeps other requests from starting for at most `ISOLATION_WAIT_S` before
# its start and `ISOLATION_RUN_S` after it. Without these bounds, one long request
# would leave all other slots of the instance idle.
ISOLATION_WAIT_S = 1.0
ISOLATION_RUN_S = 2.0
MIN_RETRY_AFTER_S = 1.0
OVERLOAD_STATUSES = frozenset({429, 503})  # sent by a backend server that sheds load


class _RunningRequest:
    """A request that occupies a slot."""

    __slots__ = ("started_at", "work")

    def __init__(self, work: Work, started_at: float):
        self.work = work
        self.started_at = started_at


class AdmissionController:
    """Admission controller of the project's own request path.

    It assigns the slots of the local backend server and queues the requests
    that wait for one.

    Parameters
    ----------
    board : TrafficBoard
        Shared state; this class writes `running` and `waiting`.
    limiter : ConcurrencyLimiter
        Sets the concurrency limit and estimates service times.
    fingerprints : FingerprintController
        Decides whether a request suspected of crashing servers may run.
    drain : DrainController
        Decides whether new requests are accepted.
    local_service : str
        Name of the service that the local backend server runs.
    rng : random.Random
        Source of the jitter in retry times.
    emit : callable
        Called with each `Event`.
    """

    __slots__ = (
        "_board",
        "_drain",
        "_emit",
        "_fingerprints",
        "_is_expire_due",
        "_isolated_ticket",
        "_isolated_until",
        "_limiter",
        "_local_service",
        "_next_ticket",
        "_queue",
        "_rng",
        "_running",
        "_suspect_ticket",
        "_suspects",
        "_undelivered",
    )

    def __init__(self, board, limiter, fingerprints, drain, local_service, rng, emit):
        self._board = board
        self._limiter = limiter
        self._fingerprints = fingerprints
        self._drain = drain
        self._local_service = local_service
        self._rng = rng
        self._emit = emit
        self._queue = RequestQueue()
        self._suspects: deque[WaitingRequest] = deque()
        self._running: dict[int, _RunningRequest] = {}
        self._suspect_ticket = 0  # ticket of the running suspect; 0 for none
        self._isolated_ticket = 0  # its ticket until another request runs beside it
        self._isolated_until = 0.0
        self._undelivered: list[Dispatch | Expired] = []  # for the next `expire`
        self._is_expire_due = False
        self._next_ticket = 0

    def get_start_time(self, fingerprint: str) -> float | None:
        """Return the earliest start of a running request with this fingerprint.

        While a node knows of no suspects, it may offer requests without a
        fingerprint. Any of them may have the given one, so if no fingerprint
        matches, the earliest start among these requests is returned. None if
        there is no such request either.
        """
        for candidate in (fingerprint, ""):
            start_times = [
                running.started_at
                for running in self._running.values()
                if running.work.fingerprint == candidate
            ]
            if start_times:
                return min(start_times)
        return None

    @property
    def isolated_fingerprint(self) -> str:
        """Fingerprint of the suspect that runs alone; empty if there is none."""
        running = self._running.get(self._isolated_ticket)
        return running.work.fingerprint if running is not None else ""

    def compute_load(self) -> float:
        """Return the load of the instance, from 0 to 1.

        Busy slots contribute up to 0.8. Waiting requests contribute up to 0.2,
        which is reached with one waiting request per slot.
        """
        limit = self._board.limit
        busy = min(1.0, self._board.running / limit)
        queued = min(1.0, self._board.waiting / limit)
        return 0.8 * busy + 0.2 * queued

    def offer(self, work: Work, now: float) -> Admitted | Queued | Refusal:
        """Start, queue or refuse a request."""
        refusal = self._check_admissible(work, now)
        if refusal is not None:
            return refusal
        if work.fingerprint in self._board.suspects:
            return self._admit_suspect(work, now)
        if self._may_start_before_queue(work, now):
            return Admitted(self._start(self._issue_ticket(), work, now))
        return self._enqueue(work, now)

    def _check_admissible(self, work: Work, now: float) -> Refusal | None:
        """Return the reason to refuse a request regardless of load, or None."""
        if not self._drain.accepts_new(now):
            if self._board.own_state is DrainState.STARTING:
                return refuse(Cause.NOT_READY, "the node has not started yet")
            return refuse(Cause.LEAVING, "the backend server is leaving")
        if work.service != self._local_service:
            return refuse(Cause.NO_INSTANCE, f"this node does not run {work.service}")
        if work.deadline <= now:
            return refuse(Cause.DEADLINE, "the deadline has passed")
        if work.fingerprint in self._board.suspects:
            refusal = self._fingerprints.check_quarantine(work.fingerprint, now)
            if refusal is None and not work.idempotency_key:
                # A request with an idempotency key can run only at the key's owner.
                refusal = self._fingerprints.check_placement(
                    work.service, work.fingerprint, now
                )
            return refusal
        return None

    def _admit_suspect(self, work: Work, now: float) -> Admitted | Queued | Refusal:
        """Start a suspect on an idle instance; queue or refuse it otherwise."""
        if not self._running and not self._suspects:
            return Admitted(self._start_isolated(self._issue_ticket(), work, now))
        if len(self._suspects) >= MAX_WAITING_SUSPECTS:
            return refuse(
                Cause.SUSPECTED, "too many requests suspected of a crash are waiting"
            )
        item = WaitingRequest(self._issue_ticket(), work, "", work.deadline, now)
        self._suspects.append(item)
        self._update_counts()
        return Queued(item.ticket)

    def _may_start_before_queue(self, work: Work, now: float) -> bool:
        """Return whether a new request may start ahead of all waiting ones."""
        if self._suspects or self._is_isolation_active(now):
            return False
        running, limit = len(self._running), self._board.limit
        if work.traffic_class.deferrable:
            return not len(self._queue) and running < self._compute_deferrable_slots()
        if running >= limit:
            return False
        if not len(self._queue):
            return True
        head = self._queue.peek()
        return compute_rank(head.work) > compute_rank(work)

    def _is_isolation_active(self, now: float) -> bool:
        """Return whether a suspect runs alone and keeps others from starting."""
        return self._isolated_ticket != 0 and now < self._isolated_until

    def _compute_deferrable_slots(self) -> int:
        return max(1, int(self._board.limit * DEFERRABLE_SLOT_SHARE))

    def _enqueue(self, work: Work, now: float) -> Queued | Refusal:
        service = self._board.snapshot.document.services[work.service]
        tenant, weight = self._get_tenant_queue(work.tenant)
        if work.traffic_class.deferrable:
            refusal = self._check_deferrable(work, service, now)
            if refusal is not None:
                return refusal
        wait_s = self._estimate_wait_s(work, tenant, weight)
        time_s = self._limiter.estimate_service_time(work.traffic_class.name)
        if now + wait_s + time_s > work.deadline:
            return self._shed(
                work, f"expected wait of {wait_s:.3f} s exceeds the deadline", wait_s
            )
        if len(self._queue) >= service.queue_limit:
            victim = self._queue.select_victim(work, tenant, weight)
            if victim is None:
                return self._shed(work, "the queue is full", wait_s)
            self._queue.remove(victim.ticket)
            refusal = self._shed(
                victim.work, "shed in favour of more urgent requests", wait_s
            )
            self._undelivered.append(Expired(victim.ticket, refusal))
        expires_at = max(now, work.deadline - time_s)
        item = WaitingRequest(self._issue_ticket(), work, tenant, expires_at, now)
        self._queue.push(item, weight)
        self._update_counts()
        return Queued(item.ticket)

    def _check_deferrable(self, work: Work, service, now: float) -> Refusal | None:
        """Refuse a deferrable request that is unlikely to find spare capacity."""
        count, others = self._queue.count_deferrable()
        is_full = count >= service.queue_limit * DEFERRABLE_QUEUE_SHARE
        is_short = others > 0 and work.deadline - now < DEFERRABLE_MIN_TIME_S
        if not is_full and not is_short:
            return None
        return self._shed(work, "no spare capacity for deferrable requests", 0.0)

    def _compute_deferrable_retry_s(self) -> float:
        return DEFERRABLE_RETRY_AFTER_S * (1.0 + self._rng.random())

    def _get_tenant_queue(self, name: str) -> tuple[str, float]:
        """Return the queue name and weight of a tenant.

        Tenants that the document does not list share one queue, so that a
        caller gains no capacity by inventing tenant names. If the document lists
        no tenants, each tenant has its own queue.
        """
        tenants = self._board.snapshot.document.tenants
        if not tenants:
            return name, 1.0
        tenant = tenants.get(name)
        return (name, max(tenant.weight, 1e-3)) if tenant is not None else ("", 1.0)

    def _estimate_wait_s(self, work: Work, tenant: str, weight: float) -> float:
        """Return the expected time in the queue, in seconds."""
        ahead = self._queue.estimate_ahead(work, tenant, weight) + len(self._suspects)
        return (ahead + 1.0) * self._board.service_time_s / self._board.limit

    def _shed(self, work: Work, reason: str, wait_s: float) -> Refusal:
        """Emit an event for a request shed under overload; return the refusal."""
        retry_s = max(MIN_RETRY_AFTER_S, wait_s)
        if work.traffic_class.deferrable:
            retry_s = self._compute_deferrable_retry_s()
        self._emit(
            Event(
                EventCode.CALL_SHED,
                {
                    "request": work.request,
                    "class": work.traffic_class.name,
                    "tenant": work.tenant,
                    "reason": reason,
                },
            )
        )
        return refuse(Cause.OVERLOADED, reason, retry_after_s=retry_s)

    def _issue_ticket(self) -> int:
        self._next_ticket += 1
        return self._next_ticket

    def _start_isolated(self, ticket: int, work: Work, now: float) -> int:
        self._suspect_ticket = self._isolated_ticket = ticket
        self._isolated_until = now + ISOLATION_RUN_S
        return self._start(ticket, work, now)

    def _start(self, ticket: int, work: Work, now: float) -> int:
        self._running[ticket] = _RunningRequest(work, now)
        self._update_counts()
        return ticket

    def _update_counts(self) -> None:
        """Write the numbers of running and waiting requests to the board."""
        self._board.running = len(self._running)
        self._board.waiting = len(self._queue) + len(self._suspects)

    def release(
        self, ticket: int, result: AttemptResult, now: float
    ) -> list[Dispatch | Expired]:
        """Free a slot and start waiting requests; ignore an unknown ticket."""
        running = self._running.pop(ticket, None)
        if running is not None:
            if ticket == self._suspect_ticket:
                self._suspect_ticket = self._isolated_ticket = 0
            self._record_result(running, result, now)
        return self.expire(now)

    def _record_result(
        self, running: _RunningRequest, result: AttemptResult, now: float
    ) -> None:
        """Pass the latency or overload status of a finished request to the limiter."""
        if result.cause is Cause.BACKEND_STATUS and result.status in OVERLOAD_STATUSES:
            self._limiter.record_overload(now)
        elif result.outcome is not Outcome.NOT_RUN and result.cause in (
            Cause.NONE,
            Cause.BACKEND_STATUS,
            Cause.DEADLINE,
        ):
            # For a request that its deadline ended, the time is a lower bound.
            self._limiter.record_latency(
                running.work.traffic_class.name,
                now - running.started_at,
                len(self._running) + 1,
                now,
            )

    def cancel(self, ticket: int, now: float) -> None:
        """Remove a waiting request; a running one ends with `release`."""
        if self._queue.remove(ticket) is None:
            remaining = [item for item in self._suspects if item.ticket != ticket]
            self._is_expire_due |= len(remaining) < len(self._suspects)
            self._suspects = deque(remaining)
        self._update_counts()

    def request_expire(self) -> None:
        """Make `expire` due at once; called when the limit may have changed."""
        self._is_expire_due = self._is_expire_due or self._board.waiting > 0

    def expire(self, now: float) -> list[Dispatch | Expired]:
        """Refuse waiting requests that cannot end in time; start those that may run."""
        results, self._undelivered = self._undelivered, []
        self._is_expire_due = False
        if self._board.own_state is not DrainState.SERVING and (
            not self._drain.accepts_new(now)
        ):
            refusal = refuse(Cause.LEAVING, "the backend server is leaving")
            for item in self._queue.pop_all() + list(self._suspects):
                results.append(Expired(item.ticket, refusal))
            self._suspects.clear()
        for item in self._queue.pop_expired(now):
            results.append(Expired(item.ticket, self._shed_late(item.work)))
        for item in [s for s in self._suspects if s.expires_at <= now]:
            self._suspects.remove(item)
            results.append(Expired(item.ticket, self._shed_late(item.work)))
        self._start_waiting(results, now)
        self._update_counts()
        return results

    def _shed_late(self, work: Work) -> Refusal:
        return self._shed(work, "the request could not end before its deadline", 0.0)

    def _start_waiting(self, results: list[Dispatch | Expired], now: float) -> None:
        while len(self._running) < self._board.limit and not self._is_isolation_active(
            now
        ):
            if self._suspects and not self._suspect_ticket:
                if not self._start_suspect(results, now):
                    return
                continue
            self._isolated_ticket = 0  # a running suspect is no longer alone
            item = self._queue.peek()
            if item is None:
                return
            work = item.work
            if work.traffic_class.deferrable and (
                len(self._running) >= self._compute_deferrable_slots()
            ):
                return
            if work.fingerprint in self._board.suspects:
                self._queue.remove(item.ticket)
                item.expires_at = work.deadline
                item.waiting_since = now
                self._suspects.append(item)
                continue
            self._queue.start(item)
            self._start(item.ticket, work, now)
            results.append(Dispatch(item.ticket))

    def _start_suspect(self, results: list[Dispatch | Expired], now: float) -> bool:
        """Take the first suspect from the queue; return False if it must wait.

        A suspect waits until no request runs, and no other request starts
        before it. Otherwise a crash would also end the requests that run beside
        it, and they would become suspects too. After `ISOLATION_WAIT_S` it starts
        even if other requests still run.
        """
        item = self._suspects[0]
        work = item.work
        state = self._fingerprints.get_state(work.fingerprint, now)
        is_suspect = state is FingerprintState.SUSPECT
        if is_suspect and self._running and now < item.waiting_since + ISOLATION_WAIT_S:
            return False
        self._suspects.popleft()
        if state is FingerprintState.REFUSED:
            refusal = self._fingerprints.check_quarantine(work.fingerprint, now)
            results.append(Expired(item.ticket, refusal))
            return True
        if is_suspect and not self._running:
            self._start_isolated(item.ticket, work, now)
        else:
            self._start(item.ticket, work, now)
            self._suspect_ticket = item.ticket if is_suspect else 0
        results.append(Dispatch(item.ticket))
        return True

    def next_deadline(self) -> float:
        """Return when `expire` is due: 0 for at once, infinite for never."""
        if self._undelivered or self._is_expire_due:
            return 0.0
        due = self._queue.get_next_expiry()
        for item in self._suspects:
            due = min(due, item.expires_at)
        if self._board.running < self._board.limit:
            # Without a free slot, nothing can start before the next release.
            if self._suspects and not self._suspect_ticket:
                due = min(due, self._suspects[0].waiting_since + ISOLATION_WAIT_S)
            if self._isolated_ticket and self._board.waiting:
                due = min(due, self._isolated_until)
        if self._board.waiting or not self._board.running:
            due = min(due, self._drain.next_change)
        return due
