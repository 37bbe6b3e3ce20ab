"""Decision whether a request leaves its failure domain.

Traffic between failure domains is slow and costs money by the byte, and more so the
farther the domains are apart. A request leaves its domain only if the loss that is
expected at home exceeds that cost. All costs are in objectives of the request, as
those of `placement`: a late answer loses `LATE_COST`, which is 0.5 to 0.7 of the
value of a request.

The load addressed here: one domain of three gets 1.5 times what its workers can
serve, or loses half of its workers, while domains are 4.4 ms apart and 1 kB between
them costs a fifth of the value of a request of the least urgent class. Nodes decide
independently, so each moves a random part of its requests, in proportion to the
loss that moving them avoids.
"""

# Cost of a transfer at a round trip of up to `BASE_ROUND_TRIP_S`, in objectives: a
# fixed part and a part for each kilobyte of request and answer.
BASE_COST = 0.04
COST_PER_KB = 0.03
# Cost at the base round trip up to which urgency makes no difference. It is also
# assumed for a route whose size is not known yet.
SMALL_COST = 0.25
# Size assumed for a route that is not known yet: that of `SMALL_COST`.
UNKNOWN_KB = (SMALL_COST - BASE_COST) / COST_PER_KB
# Round trip up to which domains count as close, in seconds. Above it, the cost grows
# in proportion.
BASE_ROUND_TRIP_S = 0.002
# Weights of the cost that is due to the size above `SMALL_COST`, and of the cost that
# is due to the distance, by priority. Of requests worth 3, 2 and 1 with 6, 2 and 5 kB,
# at a round trip of 8.8 ms where 1 kB costs 0.2, the first two are moved if they would
# be late; moving the third costs more than it is worth.
SIZE_WEIGHTS = (0.5, 0.75, 1.0)
DISTANCE_WEIGHTS = (0.5, 0.75, 4.0)
# Cost of a late answer, in objectives.
LATE_COST = 0.9
# Cost of a rejection, in objectives: the whole value, and the repeated request. An
# upload of 60 kB costs 1.8 between close domains, and is moved if it would be refused.
REFUSAL_COST = 2.5
# Cost of keeping a request at home while all others are refused there, in objectives
# by priority: it takes the slot of one of at least a third, or half, of its value. The
# least urgent requests displace none of more value.
DISPLACEMENT_COSTS = (0.5, 0.75, 0.0)
# Share of refused requests above which a slot that gets free serves another one.
FULL_RELIEF_SHARE = 0.25
# Weight of the newest request in the moving average of refusals.
REFUSAL_GAIN = 0.1
# Avoided loss at which every request is moved, in objectives. Below it, the part that
# is moved falls in proportion.
FULL_NEED = 0.25
# Weight of the newest request in the moving average of the need.
NEED_GAIN = 0.1
# Weight of the newest size in the moving averages of a route.
SIZE_GAIN = 0.05
# Time over which the shortest round trip is kept, in seconds. The shortest is the
# distance; longer ones include waits at busy nodes.
ROUND_TRIP_WINDOW_S = 30.0


class Transfer:
    """Properties of a request that determine the cost of moving it.

    Parameters
    ----------
    priority : int
        Priority of the request; 0 is the most urgent.
    is_call : bool
        Whether a worker made the request while running another one. A failed call
        wastes the work of its parent, so calls are as urgent as priority 0.
    request_bytes : int or None
        Size of the request; None if unknown.

    Attributes
    ----------
    urgency : int
        Index of the weights of this module.
    relief : float
        Loss that other requests at home avoid if this one leaves, in objectives.
    """

    __slots__ = ("relief", "request_bytes", "urgency")

    def __init__(
        self, priority: int = 1, is_call: bool = False, request_bytes: int | None = None
    ):
        self.urgency = 0 if is_call else min(priority, len(SIZE_WEIGHTS) - 1)
        self.request_bytes = request_bytes
        self.relief = 0.0


DEFAULT_TRANSFER = Transfer()


def estimate_transfer_cost(
    kilobytes: float | None, round_trip_s: float, urgency: int, relief: float = 0.0
) -> float:
    """Return the cost of serving a request in another failure domain, in objectives.

    Parameters
    ----------
    kilobytes : float or None
        Size of request and answer; None if unknown.
    round_trip_s : float
        Round trip to the other domain, in seconds.
    urgency, relief : int, float
        See `Transfer`. The relief counts only if the domains are far apart.
    """
    if kilobytes is None:
        kilobytes = UNKNOWN_KB
    cost = BASE_COST + COST_PER_KB * kilobytes
    small = min(SMALL_COST, cost)
    distance = max(1.0, round_trip_s / BASE_ROUND_TRIP_S) - 1.0
    total = (
        small
        + (cost - small) * SIZE_WEIGHTS[urgency]
        + cost * distance * DISTANCE_WEIGHTS[urgency]
    )
    return max(total - relief, -FULL_NEED) if distance and relief else total


class RouteSizes:
    """Moving averages of the sizes of requests and answers by route."""

    __slots__ = ("_request_kilobytes", "_total_kilobytes")

    def __init__(self):
        self._total_kilobytes: dict[str, float] = {}
        self._request_kilobytes: dict[str, float] = {}

    def record_request(self, route: str, size_bytes: int) -> None:
        """Record the size of a request, in bytes."""
        _update_mean(self._request_kilobytes, route, size_bytes / 1000, SIZE_GAIN)

    def record(self, route: str, size_bytes: int) -> None:
        """Record the size of a request with its answer, in bytes."""
        _update_mean(self._total_kilobytes, route, size_bytes / 1000, SIZE_GAIN)

    def estimate(self, route: str, request_bytes: int | None) -> float | None:
        """Return the expected size of a request with its answer, in kilobytes.

        None if no answer of the route is known, unless the request alone is larger
        than what is assumed then.
        """
        total = self._total_kilobytes.get(route)
        if request_bytes is None:
            return total
        request = request_bytes / 1000
        if total is None:
            return UNKNOWN_KB + request if request > 1.0 else None
        mean_request = self._request_kilobytes.get(route, request)
        return request + max(0.0, total - mean_request)


class RoundTrips:
    """Shortest round trips to other failure domains.

    Parameters
    ----------
    failure_domain : str
        Local failure domain. Its round trip is the time that nodes take, and is
        subtracted from those to other domains.
    """

    __slots__ = ("_failure_domain", "_windows")

    def __init__(self, failure_domain: str):
        self._failure_domain = failure_domain
        # Start of the current window, and the minimum of it and of the one before.
        self._windows: dict[str, tuple[float, float, float]] = {}

    def record(self, failure_domain: str, seconds: float, now: float) -> None:
        """Record a round trip to a node of a failure domain."""
        if seconds < 0:
            return
        started, shortest, before = self._windows.get(
            failure_domain, (now, seconds, seconds)
        )
        if now - started > ROUND_TRIP_WINDOW_S:
            started, shortest, before = now, seconds, shortest
        self._windows[failure_domain] = started, min(shortest, seconds), before

    def estimate(self, failure_domain: str) -> float:
        """Return the round trip to a failure domain in seconds; 0 if unknown."""
        own = self._get_shortest(self._failure_domain)
        return max(0.0, self._get_shortest(failure_domain) - own)

    def _get_shortest(self, failure_domain: str) -> float:
        _, shortest, before = self._windows.get(failure_domain, (0.0, 0.0, 0.0))
        return min(shortest, before)


class Spillover:
    """Decides at random whether a request may leave its failure domain.

    Parameters
    ----------
    rng : random.Random
        Source of random numbers.
    """

    __slots__ = ("_needs", "_refused_shares", "_rng")

    def __init__(self, rng):
        self._rng = rng
        self._needs: dict[tuple[str, int], float] = {}
        self._refused_shares: dict[tuple[str, int], float] = {}

    def record_home(self, service: str, urgency: int, is_refused: bool) -> None:
        """Record whether all workers asked in this domain refuse a request."""
        key = service, urgency
        mean = self._refused_shares.get(key, 0.0)
        self._refused_shares[key] = mean + REFUSAL_GAIN * (is_refused - mean)

    def record_free(self, service: str, urgency: int) -> None:
        """Record that a worker of this domain would start a request at once."""
        self.record_home(service, urgency, False)
        key = service, urgency
        self._needs[key] = self._needs.get(key, 0.0) * (1.0 - NEED_GAIN)

    def estimate_relief(self, service: str, urgency: int) -> float:
        """Return the loss that other requests avoid if one leaves, in objectives.

        A request of few bytes that leaves makes room at home for one of another class
        whose transfer costs more.
        """
        share = max(
            self._refused_shares.get((service, other), 0.0)
            for other in range(len(DISPLACEMENT_COSTS))
            if other != urgency
        )
        return min(1.0, share / FULL_RELIEF_SHARE) * DISPLACEMENT_COSTS[urgency]

    def is_due(
        self,
        service: str,
        urgency: int,
        home_cost: float,
        remote_cost: float,
        is_refused: bool = False,
    ) -> bool:
        """Return whether to ask other domains for a request.

        The chance is the mean of this request's need and of the moving average of
        its class, so that a single long wait moves less than a lasting one.

        Parameters
        ----------
        service : str
            Service of the request.
        urgency : int
            See `Transfer`.
        home_cost : float
            Cost expected at home, in objectives.
        remote_cost : float
            Lowest possible cost elsewhere with that of the transfer, in objectives.
        is_refused : bool
            Whether the request would be refused at home. No part is held back then:
            only moving can serve it.
        """
        need = min(1.0, max(0.0, (home_cost - remote_cost) / FULL_NEED))
        key = service, urgency
        mean = self._needs.get(key, 0.0)
        self._needs[key] = mean + NEED_GAIN * (need - mean)
        if need <= 0.0:
            return False
        return is_refused or self._rng.random() < 0.5 * (need + mean)


def _update_mean(means: dict, key, value: float, gain: float) -> None:
    mean = means.get(key, value)
    means[key] = mean + gain * (value - mean)
