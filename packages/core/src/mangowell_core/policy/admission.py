"""Admission of requests to the own backend server.

Overload is answered by refusing early what cannot end in time, and by
shedding the cheapest requests first. Work that the caller no longer awaits is
never started, so that capacity goes to requests that still count.
"""

from collections import deque

from mangowell_core.events import Event, EventCode
from mangowell_core.policy.drain import DrainState
from mangowell_core.policy.fingerprints import FingerprintState
from mangowell_core.policy.outcome import refuse
from mangowell_core.policy.queues import RequestQueue, Waiting, find_rank
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

SPARE_SHARE = 0.7  # share of the limit that deferrable classes may use
DEFERRABLE_QUEUE_SHARE = 0.25  # of the queue
DEFERRABLE_RETRY_S = 900.0  # doubled at most by chance, against a joint return
DEFERRABLE_PATIENCE_S = 60.0  # less time than this cannot outlast an overload
MAX_SUSPECTS = 8  # waiting to run alone, each for one service time
# A suspect holds others back for this long before and after its start. Without
# a bound, one long request would idle all other slots of the instance.
ALONE_WAIT_S = 1.0
ALONE_RUN_S = 2.0
RETRY_AFTER_S = 1.0
SHED_STATUSES = frozenset({429, 503})  # by which a backend server sheds load


class _Running:
    __slots__ = ("started_at", "work")

    def __init__(self, work: Work, started_at: float):
        self.work = work
        self.started_at = started_at


class AdmissionController:
    """Slots and queue before the own backend server.

    Parameters
    ----------
    board : TrafficBoard
        Writes `running` and `waiting`; reads `limit`, `snapshot`, `suspects`.
    limiter : ConcurrencyLimiter
    fingerprints : FingerprintController
    drain : DrainController
    own_service : str
    rng : random.Random
    emit : callable
        Takes an `Event`.
    """

    __slots__ = (
        "_alone",
        "_alone_until",
        "_board",
        "_drain",
        "_emit",
        "_fingerprints",
        "_is_due",
        "_limiter",
        "_next_ticket",
        "_own_service",
        "_queue",
        "_results",
        "_rng",
        "_running",
        "_suspect",
        "_suspects",
    )

    def __init__(self, board, limiter, fingerprints, drain, own_service, rng, emit):
        self._board = board
        self._limiter = limiter
        self._fingerprints = fingerprints
        self._drain = drain
        self._own_service = own_service
        self._rng = rng
        self._emit = emit
        self._queue = RequestQueue()
        self._suspects: deque[Waiting] = deque()
        self._running: dict[int, _Running] = {}
        self._suspect = 0  # ticket of the suspect that runs
        self._alone = 0  # the same, if nothing else has run beside it
        self._alone_until = 0.0
        self._results: list[Dispatch | Expired] = []  # for the next `expire`
        self._is_due = False
        self._next_ticket = 0

    def find_started(self, fingerprint: str) -> float | None:
        """Return when a request in flight with this fingerprint started.

        A node may offer requests without a fingerprint while it knows of no
        suspects. Any of them may be the one that is asked for, so the first
        of them counts; None if there is none.
        """
        for shown in (fingerprint, ""):
            times = [
                running.started_at
                for running in self._running.values()
                if running.work.fingerprint == shown
            ]
            if times:
                return min(times)
        return None

    @property
    def alone(self) -> str:
        """Fingerprint of the suspect that runs alone, or an empty string."""
        running = self._running.get(self._alone)
        return running.work.fingerprint if running is not None else ""

    def find_load(self) -> float:
        """Return the load from 0 to 1: 0.8 when all slots are busy.

        The rest is the queue, up to one waiting request for each slot.
        """
        limit = self._board.limit
        busy = min(1.0, self._board.running / limit)
        queued = min(1.0, self._board.waiting / limit)
        return 0.8 * busy + 0.2 * queued

    def offer(self, work: Work, now: float) -> Admitted | Queued | Refusal:
        """Start a request, let it wait, or refuse it."""
        refusal = self._check(work, now)
        if refusal is not None:
            return refusal
        if work.fingerprint in self._board.suspects:
            return self._offer_suspect(work, now)
        if self._may_start(work, now):
            return Admitted(self._start(self._issue(), work, now))
        return self._enqueue(work, now)

    def _check(self, work: Work, now: float) -> Refusal | None:
        if not self._drain.accepts_new(now):
            if self._board.own_state is DrainState.STARTING:
                return refuse(Cause.NOT_READY, "the node has not started yet")
            return refuse(Cause.LEAVING, "the backend server is leaving")
        if work.service != self._own_service:
            return refuse(Cause.NO_INSTANCE, f"this node does not run {work.service}")
        if work.deadline <= now:
            return refuse(Cause.DEADLINE, "the deadline has passed")
        if work.fingerprint in self._board.suspects:
            refusal = self._fingerprints.check(work.fingerprint, now)
            if refusal is None and not work.idempotency_key:
                # A keyed request can run at its owner only.
                refusal = self._fingerprints.check_place(
                    work.service, work.fingerprint, now
                )
            return refusal
        return None

    def _offer_suspect(self, work: Work, now: float) -> Admitted | Queued | Refusal:
        if not self._running and not self._suspects:
            return Admitted(self._start_alone(self._issue(), work, now))
        if len(self._suspects) >= MAX_SUSPECTS:
            return refuse(Cause.SUSPECTED, "too many suspects of a crash wait")
        item = Waiting(self._issue(), work, "", work.deadline, now)
        self._suspects.append(item)
        self._count()
        return Queued(item.ticket)

    def _may_start(self, work: Work, now: float) -> bool:
        """Tell whether a new request may start before all that wait."""
        if self._suspects or self._is_held(now):
            return False
        running, limit = len(self._running), self._board.limit
        if work.traffic_class.deferrable:
            return not len(self._queue) and running < self._find_spare()
        if running >= limit:
            return False
        if not len(self._queue):
            return True
        head = self._queue.peek()
        return find_rank(head.work) > find_rank(work)

    def _is_held(self, now: float) -> bool:
        """Tell whether a suspect runs alone and others must wait."""
        return self._alone != 0 and now < self._alone_until

    def _find_spare(self) -> int:
        return max(1, int(self._board.limit * SPARE_SHARE))

    def _enqueue(self, work: Work, now: float) -> Queued | Refusal:
        service = self._board.snapshot.document.services[work.service]
        tenant, weight = self._find_tenant(work.tenant)
        if work.traffic_class.deferrable:
            refusal = self._check_deferrable(work, service, now)
            if refusal is not None:
                return refusal
        wait_s = self._predict_wait(work, tenant, weight)
        time_s = self._limiter.find_time(work.traffic_class.name)
        if now + wait_s + time_s > work.deadline:
            return self._shed(
                work, f"expected wait of {wait_s:.3f} s exceeds the deadline", wait_s
            )
        if len(self._queue) >= service.queue_limit:
            victim = self._queue.find_victim(work, tenant, weight)
            if victim is None:
                return self._shed(work, "the queue is full", wait_s)
            self._queue.remove(victim.ticket)
            refusal = self._shed(
                victim.work, "shed in favour of more urgent requests", wait_s
            )
            self._results.append(Expired(victim.ticket, refusal))
        expires_at = max(now, work.deadline - time_s)
        item = Waiting(self._issue(), work, tenant, expires_at, now)
        self._queue.push(item, weight)
        self._count()
        return Queued(item.ticket)

    def _check_deferrable(self, work: Work, service, now: float) -> Refusal | None:
        """Refuse a deferrable request that has no prospect of spare capacity."""
        count, others = self._queue.count_deferrable()
        full = count >= service.queue_limit * DEFERRABLE_QUEUE_SHARE
        hasty = others > 0 and work.deadline - now < DEFERRABLE_PATIENCE_S
        if not full and not hasty:
            return None
        return self._shed(work, "no spare capacity for deferrable requests", 0.0)

    def _find_late(self) -> float:
        return DEFERRABLE_RETRY_S * (1.0 + self._rng.random())

    def _find_tenant(self, name: str) -> tuple[str, float]:
        """Return queue name and weight; tenants not in the document share one."""
        tenants = self._board.snapshot.document.tenants
        if not tenants:
            return name, 1.0
        tenant = tenants.get(name)
        return (name, max(tenant.weight, 1e-3)) if tenant is not None else ("", 1.0)

    def _predict_wait(self, work: Work, tenant: str, weight: float) -> float:
        ahead = self._queue.count_ahead(work, tenant, weight) + len(self._suspects)
        return (ahead + 1.0) * self._board.service_time_s / self._board.limit

    def _shed(self, work: Work, reason: str, wait_s: float) -> Refusal:
        retry_s = max(RETRY_AFTER_S, wait_s)
        if work.traffic_class.deferrable:
            retry_s = self._find_late()
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

    def _issue(self) -> int:
        self._next_ticket += 1
        return self._next_ticket

    def _start_alone(self, ticket: int, work: Work, now: float) -> int:
        self._suspect = self._alone = ticket
        self._alone_until = now + ALONE_RUN_S
        return self._start(ticket, work, now)

    def _start(self, ticket: int, work: Work, now: float) -> int:
        self._running[ticket] = _Running(work, now)
        self._count()
        return ticket

    def _count(self) -> None:
        self._board.running = len(self._running)
        self._board.waiting = len(self._queue) + len(self._suspects)

    def release(
        self, ticket: int, result: AttemptResult, now: float
    ) -> list[Dispatch | Expired]:
        """Give a slot back and start what waits; an unknown ticket is ignored."""
        running = self._running.pop(ticket, None)
        if running is not None:
            if ticket == self._suspect:
                self._suspect = self._alone = 0
            self._learn(running, result, now)
        return self.expire(now)

    def _learn(self, running: _Running, result: AttemptResult, now: float) -> None:
        if result.cause is Cause.BACKEND_STATUS and result.status in SHED_STATUSES:
            self._limiter.note_failure(now)
        elif result.outcome is not Outcome.NOT_RUN and result.cause in (
            Cause.NONE,
            Cause.BACKEND_STATUS,
            Cause.DEADLINE,
        ):
            # A request cut off by its deadline took at least this long.
            self._limiter.note(
                running.work.traffic_class.name,
                now - running.started_at,
                len(self._running) + 1,
                now,
            )

    def cancel(self, ticket: int, now: float) -> None:
        """Forget a waiting request; a running one ends with `release`."""
        if self._queue.remove(ticket) is None:
            kept = [item for item in self._suspects if item.ticket != ticket]
            self._is_due |= len(kept) < len(self._suspects)
            self._suspects = deque(kept)
        self._count()

    def wake(self) -> None:
        """Make `expire` due at once, because the limit may have changed."""
        self._is_due = self._is_due or self._board.waiting > 0

    def expire(self, now: float) -> list[Dispatch | Expired]:
        """Refuse what waits in vain, and start what may start."""
        found, self._results = self._results, []
        self._is_due = False
        if self._board.own_state is not DrainState.SERVING and (
            not self._drain.accepts_new(now)
        ):
            refusal = refuse(Cause.LEAVING, "the backend server is leaving")
            for item in self._queue.pop_all() + list(self._suspects):
                found.append(Expired(item.ticket, refusal))
            self._suspects.clear()
        for item in self._queue.pop_expired(now):
            found.append(Expired(item.ticket, self._refuse_late(item.work)))
        for item in [s for s in self._suspects if s.expires_at <= now]:
            self._suspects.remove(item)
            found.append(Expired(item.ticket, self._refuse_late(item.work)))
        self._fill(found, now)
        self._count()
        return found

    def _refuse_late(self, work: Work) -> Refusal:
        return self._shed(work, "the request could not end before its deadline", 0.0)

    def _fill(self, found: list[Dispatch | Expired], now: float) -> None:
        while len(self._running) < self._board.limit and not self._is_held(now):
            if self._suspects and not self._suspect:
                if not self._start_suspect(found, now):
                    return
                continue
            self._alone = 0  # whatever starts now runs beside a suspect
            item = self._queue.peek()
            if item is None:
                return
            work = item.work
            if work.traffic_class.deferrable and (
                len(self._running) >= self._find_spare()
            ):
                return
            if work.fingerprint in self._board.suspects:
                self._queue.remove(item.ticket)
                item.expires_at = work.deadline
                item.since = now
                self._suspects.append(item)
                continue
            self._queue.start(item)
            self._start(item.ticket, work, now)
            found.append(Dispatch(item.ticket))

    def _start_suspect(self, found: list[Dispatch | Expired], now: float) -> bool:
        """Start the first suspect; return False while it must wait.

        It waits until nothing runs, and nothing starts before it, so that
        its neighbours neither share its crash nor the blame. After
        `ALONE_WAIT_S` it starts beside those that still run.
        """
        item = self._suspects[0]
        work = item.work
        state = self._fingerprints.find_state(work.fingerprint, now)
        is_suspect = state is FingerprintState.SUSPECT
        if is_suspect and self._running and now < item.since + ALONE_WAIT_S:
            return False
        self._suspects.popleft()
        if state is FingerprintState.REFUSED:
            refusal = self._fingerprints.check(work.fingerprint, now)
            found.append(Expired(item.ticket, refusal))
            return True
        if is_suspect and not self._running:
            self._start_alone(item.ticket, work, now)
        else:
            self._start(item.ticket, work, now)
            self._suspect = item.ticket if is_suspect else 0
        found.append(Dispatch(item.ticket))
        return True

    def next_deadline(self) -> float:
        """Return when `expire` is due: 0 for at once, infinite for never."""
        if self._results or self._is_due:
            return 0.0
        due = self._queue.next_expiry()
        for item in self._suspects:
            due = min(due, item.expires_at)
        if self._board.running < self._board.limit:
            # Without a free slot the next release decides.
            if self._suspects and not self._suspect:
                due = min(due, self._suspects[0].since + ALONE_WAIT_S)
            if self._alone and self._board.waiting:
                due = min(due, self._alone_until)
        if self._board.waiting or not self._board.running:
            due = min(due, self._drain.next_change)
        return due
