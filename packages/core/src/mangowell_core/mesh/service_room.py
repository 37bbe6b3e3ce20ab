"""What a node knows of the room at a service, and when refused callers return.

Load that it addresses: a service at 1.5 times its capacity for seconds, with callers
that retry at once. Asking four workers for each request of a class that none accepts
costs all of them time. Callers that are all told the shortest wait of any worker come
back together into queues that are still full, and use up their one or two retries.

The state of a service is forgotten within `FULL_S` or a few times `RATE_WINDOW_S`, and
nothing of it is sent to other nodes.
"""

from random import Random

# Longest time for which a round of refusals counts, in seconds. Slots become free all
# the time, so that an older refusal says little.
FULL_S = 0.25
# Of the requests of a class that counts as full, each n-th asks workers all the same.
ASK_EVERY = 4
# Time in which the counts of refusals and answers fall to a half, in seconds.
RATE_WINDOW_S = 1.0
# Largest part of the time left that a caller honours as Retry-After.
MAX_REMAINING_SHARE = 1 / 3
MIN_RETRY_AFTER_S = 0.05
# Retry-After without any knowledge of the service, in seconds.
DEFAULT_RETRY_AFTER_S = 0.3
# Longest time that a caller without a stated time limit is told, in seconds.
MAX_RETRY_AFTER_S = 2.0
# Range of the random factor on the Retry-After value.
JITTER = (0.8, 1.4)
# Time for the way of a retry to its worker and of the answer back, in seconds.
ROUND_TRIP_S = 0.03
# Share of the time in which a retry can be in time that the first one waits. Callers
# have one retry or two, and a second one that is late takes the place of a request in
# time.
RETRY_TIME_SHARE = 0.6
# Work of a slow request relative to the mean, and the share of the rest of the
# objective that a request is taken to wait in the queue of a full service.
SLOW_WORK_RATIO = 1.5
QUEUE_WAIT_SHARE = 0.25
# Services whose state is kept; the one that was used least recently is dropped.
MAX_SERVICES = 256


class _Rate:
    """Count of events that falls to a half in `RATE_WINDOW_S`."""

    __slots__ = ("_at", "_count")

    def __init__(self):
        self._count = 0.0
        self._at = 0.0

    def add(self, now: float) -> None:
        self._count = self.get(now) + 1.0
        self._at = now

    def get(self, now: float) -> float:
        return self._count * 2.0 ** (-(now - self._at) / RATE_WINDOW_S)


class _FullMark:
    """Round of refusals of one class."""

    __slots__ = ("objective_s", "until", "wait_s")

    def __init__(self, objective_s: float, wait_s: float, until: float):
        self.objective_s = objective_s
        self.wait_s = wait_s
        self.until = until


class _Room:
    """State of one service; the keys are priorities."""

    __slots__ = ("answers", "marks", "refusals", "skipped")

    def __init__(self):
        self.marks: dict[int, _FullMark] = {}
        self.refusals: dict[int, _Rate] = {}
        self.answers = _Rate()
        self.skipped: dict[int, int] = {}


class ServiceRoom:
    """Remembers for a short time which classes the workers of a service refuse.

    Parameters
    ----------
    rng : random.Random
        Source of random numbers for the times to retry.

    Attributes
    ----------
    refused_at_once : int
        Number of requests for which `is_full` was true.
    """

    __slots__ = ("_rng", "_rooms", "refused_at_once")

    def __init__(self, rng: Random):
        self._rng = rng
        self._rooms: dict[str, _Room] = {}
        self.refused_at_once = 0

    def is_full(
        self, service: str, priority: int, objective_s: float, now: float
    ) -> bool:
        """Return whether to refuse a new request without asking workers.

        Must not be asked for calls of running requests. A refusal of a class speaks for
        itself and for less urgent classes whose objective is no longer: a request with
        more time may wait in a queue that is too long for others.

        Parameters
        ----------
        service : str
            Service of the request.
        priority : int
            Priority of its route; 0 is the most urgent.
        objective_s : float
            Time within which an answer has its full value, in seconds.
        now : float
            Monotonic time, in seconds.
        """
        if not self.counts_as_full(service, priority, objective_s, now):
            return False
        room = self._rooms[service]
        room.skipped[priority] = skipped = room.skipped.get(priority, 0) + 1
        if skipped % ASK_EVERY == 0:
            return False
        self.refused_at_once += 1
        return True

    def counts_as_full(
        self, service: str, priority: int, objective_s: float, now: float
    ) -> bool:
        """Return whether a round of refusals counts for a new request.

        `is_full` lets each n-th request ask workers all the same. Takes the parameters
        of `is_full`.
        """
        room = self._rooms.get(service)
        if room is None:
            return False
        return self._find_mark(room, priority, objective_s, now) is not None

    def count_full(self, now: float) -> int:
        """Return the number of classes of services that count as full."""
        return sum(
            now < mark.until
            for room in self._rooms.values()
            for mark in room.marks.values()
        )

    def record_full(
        self,
        service: str,
        priority: int,
        objective_s: float,
        wait_s: float,
        now: float,
    ) -> bool:
        """Record that all workers that were asked have refused a request.

        Parameters
        ----------
        service, priority, objective_s, now
            As for `is_full`.
        wait_s : float
            Shortest time to room that a worker has told, in seconds.

        Returns
        -------
        bool
            Whether the class did not count as full before.
        """
        room = self._get_room(service)
        known = room.marks.get(priority)
        until = now + min(FULL_S, max(MIN_RETRY_AFTER_S, wait_s))
        room.marks[priority] = _FullMark(objective_s, wait_s, until)
        return known is None or known.until + RATE_WINDOW_S < now

    def record_accepted(self, service: str, priority: int) -> None:
        """Record that a worker has accepted a request.

        There is room for its class, and for more urgent ones.
        """
        room = self._rooms.get(service)
        if room is not None:
            for known in [known for known in room.marks if known <= priority]:
                del room.marks[known]

    def record_answer(self, service: str, now: float) -> None:
        """Record that a worker has completed a request of this node."""
        self._get_room(service).answers.add(now)

    def schedule_retry(
        self,
        service: str,
        priority: int,
        objective_s: float,
        work_s: float,
        wait_s: float,
        remaining_s: float,
        now: float,
    ) -> float:
        """Record a refusal and return its Retry-After value, in seconds.

        What was refused lately in this class and in more urgent ones returns before
        this request, at the rate at which requests of this node are answered. A caller
        honours a third of the time that it has left. As long as a retry after the wait
        for room can still be in time, it is told no later time than that.

        Parameters
        ----------
        service, priority, objective_s, now
            As for `is_full`.
        work_s : float
            Expected work of the request, in seconds.
        wait_s : float
            Shortest known time to room, in seconds; 0 if it is unknown.
        remaining_s : float
            Time that the caller has left, in seconds.
        """
        room = self._get_room(service)
        mark = self._find_mark(room, priority, objective_s, now)
        if not wait_s and mark is not None:
            wait_s = mark.wait_s
        returning = sum(
            rate.get(now) for known, rate in room.refusals.items() if known <= priority
        )
        room.refusals.setdefault(priority, _Rate()).add(now)
        answers = room.answers.get(now)
        spread_s = returning / answers * RATE_WINDOW_S if answers >= 1 else 0.0
        retry_s = max(MIN_RETRY_AFTER_S, wait_s or DEFAULT_RETRY_AFTER_S, spread_s)
        limit_s = min(MAX_RETRY_AFTER_S, remaining_s * MAX_REMAINING_SHARE)
        queue_s = QUEUE_WAIT_SHARE * max(0.0, objective_s - work_s)
        in_time_s = objective_s - SLOW_WORK_RATIO * work_s - queue_s - ROUND_TRIP_S
        if wait_s < in_time_s:
            limit_s = min(limit_s, in_time_s * RETRY_TIME_SHARE)
        low, high = JITTER
        high_s = min(limit_s, retry_s * high)
        return max(0.0, self._rng.uniform(min(retry_s * low, high_s * low), high_s))

    def _find_mark(
        self, room: _Room, priority: int, objective_s: float, now: float
    ) -> _FullMark | None:
        for known, mark in room.marks.items():
            is_as_strict = known == priority or objective_s <= mark.objective_s
            if known <= priority and is_as_strict and now < mark.until:
                return mark
        return None

    def _get_room(self, service: str) -> _Room:
        room = self._rooms.pop(service, None) or _Room()
        self._rooms[service] = room
        if len(self._rooms) > MAX_SERVICES:
            del self._rooms[next(iter(self._rooms))]
        return room
