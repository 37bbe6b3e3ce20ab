"""Queue in front of the own worker.

Every request to the worker passes this node, so what runs and what waits is
known exactly and the worker never sees more than it has slots for. At more
load than the worker can serve, a long queue would make every answer late.
A request is therefore refused at once, unrun, when it is not expected to start
in time, and one that was let in is refused as soon as more urgent arrivals
have pushed it back too far.
"""

from bisect import insort
from enum import Enum

# Share of the time between work and objective that a new request may be
# expected to wait. The rest absorbs the spread of the work.
WAIT_SHARE = 0.6
# The same for one that waits already, whose time would be wasted.
KEEP_SHARE = 1.0
# The least time that may be spent waiting, as a share of the objective.
MIN_WAIT_SHARE = 0.15
WORK_GAIN = 0.1
FIRST_WORK_S = 0.05
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0


class Verdict(Enum):
    """What becomes of an offered request."""

    RUN = "run"
    WAIT = "wait"
    REFUSED = "refused"


class Ticket:
    """Place of one request at the worker.

    Parameters
    ----------
    request, route : str
    rank : tuple of int
        Lower ranks run first.
    latest_start : float
        Time after which it is not worth starting, once it waits.
    work_s : float
        Expected work.
    arrived : float
    """

    __slots__ = (
        "arrived",
        "is_running",
        "key",
        "latest_start",
        "request",
        "route",
        "started",
        "work_s",
    )

    def __init__(self, request: str, route: str, key, latest_start, work_s, arrived):
        self.request = request
        self.route = route
        self.key = key
        self.latest_start = latest_start
        self.work_s = work_s
        self.arrived = arrived
        self.started = 0.0
        self.is_running = False

    def __lt__(self, other: "Ticket") -> bool:
        return self.key < other.key


class Admission:
    """Slots and queue of one worker.

    Parameters
    ----------
    limit : int
        Requests that run at once.
    """

    __slots__ = ("_counter", "_queue", "_running", "_work", "limit")

    def __init__(self, limit: int):
        self.limit = max(1, limit)
        self._queue: list[Ticket] = []
        self._running: set[Ticket] = set()
        self._counter = 0
        self._work: dict[str, float] = {}

    @property
    def running(self) -> int:
        """Requests that run."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._queue)

    def offer(
        self,
        request: str,
        route: str,
        rank: int,
        objective_s: float,
        deadline: float,
        now: float,
    ) -> tuple[Verdict, Ticket, float]:
        """Admit, queue or refuse a request.

        Parameters
        ----------
        rank : int
            Lower ranks run first; a call made by a running request has the
            lowest, because refusing it would waste the work already done.
        objective_s : float
            Time within which an answer has its full worth; 0 if only the
            deadline counts.
        deadline : float
            Monotonic seconds.

        Returns
        -------
        Verdict, Ticket, float
            The last is the time after which it may come back, in seconds, if
            it is refused.
        """
        work_s = self._work.get(route, FIRST_WORK_S)
        entry = latest = deadline - work_s
        if objective_s > 0:
            slack = objective_s - work_s
            least = objective_s * MIN_WAIT_SHARE
            entry = min(entry, now + max(slack * WAIT_SHARE, least))
            latest = min(latest, now + max(slack * KEEP_SHARE, least))
        self._counter += 1
        key = (rank, self._counter)
        ticket = Ticket(request, route, key, latest, work_s, now)
        if now >= deadline:
            return Verdict.REFUSED, ticket, MIN_RETRY_AFTER_S
        if len(self._running) < self.limit and not self._queue:
            self._start(ticket, now)
            return Verdict.RUN, ticket, 0.0
        start = now + self._predict_wait(ticket)
        if start > entry:
            return Verdict.REFUSED, ticket, _bound_retry(start - entry)
        insort(self._queue, ticket)
        return Verdict.WAIT, ticket, 0.0

    def finish(self, ticket: Ticket, has_run: bool, now: float) -> list[Ticket]:
        """Free the slot of a request; return those that start now."""
        if ticket not in self._running:
            self.cancel(ticket)
            return []
        self._running.discard(ticket)
        if has_run:
            work = now - ticket.started
            mean = self._work.get(ticket.route, work)
            self._work[ticket.route] = mean + WORK_GAIN * (work - mean)
        return self.fill(now)

    def fill(self, now: float) -> list[Ticket]:
        """Start what there is room for."""
        started = []
        while self._queue and len(self._running) < self.limit:
            ticket = self._queue.pop(0)
            self._start(ticket, now)
            started.append(ticket)
        return started

    def cancel(self, ticket: Ticket) -> None:
        """Take a waiting request out of the queue."""
        if ticket in self._queue:
            self._queue.remove(ticket)

    def expire(self, now: float) -> list[tuple[Ticket, float]]:
        """Take out what is not expected to start in time any more.

        Returns
        -------
        list of (Ticket, float)
            With the seconds after which each may come back.
        """
        expired = []
        kept = []
        ahead = self._find_backlog()
        for ticket in self._queue:
            start = now + ahead / self.limit
            if start > ticket.latest_start and now > ticket.arrived:
                expired.append((ticket, _bound_retry(start - ticket.latest_start)))
                continue
            kept.append(ticket)
            ahead += ticket.work_s
        self._queue = kept
        return expired

    def clear(self) -> list[Ticket]:
        """Take out every waiting request."""
        queue, self._queue = self._queue, []
        return queue

    def _start(self, ticket: Ticket, now: float) -> None:
        ticket.is_running = True
        ticket.started = now
        self._running.add(ticket)

    def _find_backlog(self) -> float:
        """Return the work, in slot seconds, until one more slot gets free.

        A slot of many is freed after a fraction of a request's work.
        """
        if not self._running:
            return 0.0
        mean = sum(t.work_s for t in self._running) / len(self._running)
        return mean * max(0, len(self._running) + 1 - self.limit)

    def _predict_wait(self, ticket: Ticket) -> float:
        ahead = self._find_backlog()
        for other in self._queue:
            if ticket < other:
                break
            ahead += other.work_s
        return ahead / self.limit


def _bound_retry(seconds: float) -> float:
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds))
