"""Capacity left over for late answers, and the shares of the classes of requests.

A late answer is worth a part of one in time, and a request that is refused after it
has waited is worth nothing. A request that can only be late is therefore kept only
while the work of the others leaves enough capacity for it.

The load this addresses: a burst of 1.7 on a service whose workers are half cold. When
the burst ends, slots become free before the deadlines of requests that cannot be in
time any more.
"""

import math

# Time over which offered work is averaged, in seconds: longer than one request, so
# that a pause between two is not taken for free capacity.
OFFERED_WORK_AVERAGE_S = 2.0
# Decayed work below which a rank is forgotten, in slot seconds.
FORGOTTEN_WORK_S = 0.001
# Share of the slots below which the capacity left over counts as none. A
# burst grows faster than the average, so that less would be gone before late requests
# have started, and they would be refused after waiting.
MIN_LEFT_SHARE = 0.4
# Lower bound of the share that more urgent arrivals leave: an overload of them passes.
MIN_SHARE = 0.1
# Share of its remaining time that a new request may be expected to take as a late one.
# The rest absorbs urgent arrivals, as holding a request and refusing it later is worse
# than refusing it at once. A lower share refuses urgent classes whose objective is
# little longer than their work more often than patient ones.
LATE_TIME_SHARE = 0.4
# The same for a request that has waited to be in time: it has more to lose.
OVERDUE_TIME_SHARE = 0.6
# Maximum number of late requests, as a multiple of the slots.
MAX_LATE_PER_SLOT = 2
# A request that is refused by a prediction is asked about at several workers, so each
# refusal counts as this much of an arrival.
PREDICTION_WEIGHT = 0.25
# Time over which the shares of the classes are averaged, in seconds: longer than a
# burst of a few seconds, after which patient requests are served in any case.
SHARES_AVERAGE_S = 8.0
# Number of requests of a class from which its share is known.
MIN_OFFERED = 3.0
# Decayed number of requests below which a class is forgotten.
FORGOTTEN_OFFERED = 0.01
# Interval at which the best served class is looked for, in seconds: a document may have
# more than a thousand routes.
BEST_INTERVAL_S = 0.1
# Share of a class below which its requests are treated as urgent. The platform's bound
# is a quarter of the requests of the best served class. Refused ones come back and are
# offered again, so that bound is met at a lower share of the offers. A higher one takes
# capacity from more urgent classes in an overload.
STARVING_SHARE = 0.0575
# The same as a part of the share of the best served class, if that is below
# `FULL_SHARE`. Urgent requests alone then exceed the capacity, and others do not get
# the slots that are free between two urgent ones either.
STARVING_RATIO = 0.185
FULL_SHARE = 0.5
# The same for calls, as a part of the share of new requests that are served within
# `ATTEMPTS` offers: calls are offered once. At 0.25, calls were served 0.246 times as
# often as the best served class in the worst of three replays.
CALL_STARVING_RATIO = 0.28
ATTEMPTS = 3


class DecayingSum:
    """Sum whose observations lose their weight exponentially.

    Parameters
    ----------
    average_s : float
        Time constant, in seconds.
    """

    __slots__ = ("_average_s", "_updated_at", "_value")

    def __init__(self, average_s: float):
        self._average_s = average_s
        self._value = 0.0
        self._updated_at = -math.inf

    def add(self, amount: float, now: float) -> None:
        """Add an observation at the monotonic time `now`."""
        self._value = self.get(now) + amount
        self._updated_at = max(self._updated_at, now)

    def get(self, now: float) -> float:
        """Return the decayed sum."""
        if not self._value:
            return 0.0
        elapsed_s = max(0.0, now - self._updated_at)
        return self._value * math.exp(-elapsed_s / self._average_s)


class LeftCapacity:
    """Estimates the slots that the work of more urgent requests leaves unused."""

    __slots__ = ("_accepted_s", "_offered_s")

    def __init__(self):
        self._accepted_s: dict[int, DecayingSum] = {}
        self._offered_s: dict[int, DecayingSum] = {}

    def __len__(self) -> int:
        """Return the number of known ranks."""
        return len(self._accepted_s.keys() | self._offered_s.keys())

    def record_offer(self, rank: int, work_s: float, now: float) -> None:
        """Record the expected work of an offered request, in slot seconds."""
        _add_work(self._offered_s, rank, work_s, now)

    def record_accepted(self, rank: int, work_s: float, now: float) -> None:
        """Record the expected work of a request that runs or waits."""
        _add_work(self._accepted_s, rank, work_s, now)

    def estimate(self, rank: int, slots: float, now: float) -> float:
        """Return the slots of `slots` left over for late requests of a rank.

        Work that is less urgent yields to them, so it takes none. 0 if there are too
        few to count.
        """
        left = slots - _estimate_slots(self._offered_s, rank + 1, now)
        return left if left >= slots * MIN_LEFT_SHARE else 0.0

    def estimate_share(self, rank: int, slots: float, now: float) -> float:
        """Return the share of `slots` that more urgent arrivals leave to a rank.

        They overtake a waiting request, which then waits longer than the backlog at
        its arrival takes. Refused ones do not, although they are offered several times.
        """
        accepted = _estimate_slots(self._accepted_s, rank, now)
        return max(MIN_SHARE, 1.0 - accepted / slots) if slots > 0 else MIN_SHARE


def _add_work(
    sums: dict[int, DecayingSum], rank: int, work_s: float, now: float
) -> None:
    work = sums.get(rank)
    if work is None:
        # Ranks come and go with the routes, and each estimate adds up all of them.
        for other, known in list(sums.items()):
            if known.get(now) < FORGOTTEN_WORK_S:
                del sums[other]
        work = sums[rank] = DecayingSum(OFFERED_WORK_AVERAGE_S)
    work.add(work_s, now)


def _estimate_slots(sums: dict[int, DecayingSum], rank: int, now: float) -> float:
    """Return the slots that the work of all ranks below `rank` takes."""
    total_s = sum(work_s.get(now) for other, work_s in sums.items() if other < rank)
    return total_s / OFFERED_WORK_AVERAGE_S


class _Class:
    __slots__ = ("is_call", "offered", "started")

    def __init__(self):
        self.is_call = False
        self.offered = DecayingSum(SHARES_AVERAGE_S)
        self.started = DecayingSum(SHARES_AVERAGE_S)


class ClassShares:
    """Share of the offered requests that have started lately, by rank and route."""

    __slots__ = ("_best", "_best_at", "_classes", "_forgotten_at")

    def __init__(self):
        self._classes: dict[tuple[int, str], _Class] = {}
        # Share of the best served class, and the time of its computation.
        self._best = 0.0
        self._best_at = self._forgotten_at = -math.inf

    def __len__(self) -> int:
        """Return the number of known classes."""
        return len(self._classes)

    def record_offer(
        self, rank: int, route: str, amount: float, now: float, is_call: bool = False
    ) -> None:
        """Record an offered request, or a part of one."""
        known = self._get_class(rank, route, now)
        known.offered.add(amount, now)
        known.is_call = is_call

    def record_start(self, rank: int, route: str, now: float) -> None:
        """Record a request that starts."""
        self._get_class(rank, route, now).started.add(1.0, now)

    def get_share(self, rank: int, route: str, now: float) -> float | None:
        """Return the share of a class, from 0 to 1; None if too few were offered."""
        known = self._classes.get((rank, route))
        return None if known is None else _get_share(known, now)

    def is_starving(self, rank: int, route: str, preferred: int, now: float) -> bool:
        """Return whether a class is served far less often than the best served one.

        Parameters
        ----------
        rank : int
            Rank of the class.
        route : str
            Its route.
        preferred : int
            Number of its requests that wait and are preferred already. They start
            soon; without them, all that arrive meanwhile would be preferred.
        now : float
            Monotonic time, in seconds.
        """
        known = self._classes.get((rank, route))
        if known is None:
            return False
        share = _get_share(known, now, preferred)
        bound = CALL_STARVING_RATIO if known.is_call else STARVING_RATIO
        if share is None or share >= bound:
            return False
        if now >= self._best_at + BEST_INTERVAL_S:
            self._update_best(now)
        best = self._best
        if known.is_call:
            served = 1.0 - (1.0 - best) ** ATTEMPTS
            return share < CALL_STARVING_RATIO * served
        return share < (STARVING_RATIO * best if best < FULL_SHARE else STARVING_SHARE)

    def _update_best(self, now: float) -> None:
        """Compute the share of the best served class."""
        self._best, self._best_at = 0.0, now
        for known in self._classes.values():
            share = _get_share(known, now)
            # Calls precede new requests whose share is low in any case.
            if not known.is_call and share is not None:
                self._best = max(self._best, share)

    def _get_class(self, rank: int, route: str, now: float) -> _Class:
        known = self._classes.get((rank, route))
        if known is None:
            if now >= self._forgotten_at + SHARES_AVERAGE_S:
                self._forget_unused(now)
            known = self._classes[rank, route] = _Class()
        return known

    def _forget_unused(self, now: float) -> None:
        """Forget classes without recent requests, as routes come and go."""
        self._forgotten_at = now
        for key, known in list(self._classes.items()):
            if known.offered.get(now) < FORGOTTEN_OFFERED:
                del self._classes[key]


def _get_share(known: _Class, now: float, preferred: int = 0) -> float | None:
    offered = known.offered.get(now)
    if offered < MIN_OFFERED:
        return None
    return min(1.0, (known.started.get(now) + preferred) / offered)
