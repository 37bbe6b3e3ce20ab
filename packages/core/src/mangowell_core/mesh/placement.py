"""Choice of the worker for the next attempt of a request.

Workers of one service differ in speed by a factor of three, some are cold,
slow or fail part of their requests, and the load that others put on them is
known with a delay. The predicted time of an answer contains all of that:

    work on this worker + wait for a slot + cost of a hop + cost of a failure

A late answer is worth less than one in time, however small the delay, so the
chance that the prediction is exceeded counts beside it.

The own failure domain is preferred as long as its workers are expected to
answer well within the objective, because bytes between domains are dear and a
partition cuts them off.
"""

import math
from collections.abc import Callable, Iterable

from mangowell_core.mesh.model import Endpoint

# Weight of the newest observation in each mean.
WORK_GAIN = 0.05
SLOWNESS_GAIN = 0.1
FAILURE_GAIN = 0.15
# Time in which a worker's failures lose two thirds of their weight, seconds.
FAILURE_DECAY_S = 4.0
# Work assumed for a service that has not answered yet, seconds.
FIRST_WORK_S = 0.1
SLOWNESS_RANGE = (0.2, 20.0)
# A worker that is warming up takes about twice as long, as the platform says.
COLD_FACTOR = 2.0
# Cost of another failure domain, as a share of the route's objective.
DOMAIN_COST = 0.25
# Cost of another host of the same domain, seconds for one hop.
HOP_COST_S = 0.002
# Cost of a failed attempt, in objectives.
FAILURE_COST = 1.5
# Cost of a host that has not answered for a moment, in objectives.
DOUBT_COST = 1.0
# Cost of a late answer, in objectives. It loses about four times as much of its
# worth as an answer from another domain costs.
LATE_COST = 0.9
# Standard deviation of the logarithm of the work; the services' own spread is
# 0.3 to 0.8.
WORK_SPREAD = 0.6
# Weight of the load below the limit: an idle worker is better than a busy one.
BUSY_COST = 0.4
# Time without connections after a failed one, doubled at each failure, seconds.
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.6
# Age at which a reported load is not believed any more, seconds.
LOAD_MAX_AGE_S = 1.0


def _trust(host: str) -> bool | None:
    return False


def find_late_chance(mean_s: float, objective_s: float) -> float:
    """Return the chance that a time of log-normal spread exceeds the objective.

    Parameters
    ----------
    mean_s, objective_s : float
    """
    if mean_s <= 0 or objective_s <= 0:
        return 0.0
    z = math.log(objective_s / mean_s) / WORK_SPREAD + WORK_SPREAD / 2
    return 0.5 * math.erfc(z / math.sqrt(2))


class LoadReport:
    """Load of a worker, counted by the node beside it.

    Parameters
    ----------
    pending : int
        Requests that run or wait.
    limit : int
        Requests that run at once.
    """

    __slots__ = ("limit", "pending")

    def __init__(self, pending: int, limit: int):
        self.pending = pending
        self.limit = limit


class _Evidence:
    """What this node has seen of one start of a worker."""

    __slots__ = (
        "backoff_s",
        "born_ms",
        "down_until",
        "failed_at",
        "failures",
        "in_flight",
        "in_flight_at_report",
        "limit",
        "pending",
        "reported_at",
        "slowness",
        "warm_at",
    )

    def __init__(self, born_ms: int, warm_at: float, slots: int):
        self.born_ms = born_ms
        self.warm_at = warm_at
        self.in_flight = 0
        self.in_flight_at_report = 0
        self.pending = 0
        self.limit = max(1, slots)
        self.reported_at = float("-inf")
        self.slowness = 1.0
        self.failures = 0.0
        self.failed_at = 0.0
        self.down_until = 0.0
        self.backoff_s = FIRST_BACKOFF_S

    def find_failure_rate(self, now: float) -> float:
        if self.failures < 0.01:
            return 0.0
        return self.failures * math.exp((self.failed_at - now) / FAILURE_DECAY_S)

    def find_pending(self, now: float) -> int:
        if now - self.reported_at > LOAD_MAX_AGE_S:
            return self.in_flight
        since = self.in_flight - self.in_flight_at_report
        return max(self.in_flight, self.pending + since)


class Placement:
    """Predicts the answer time of each worker and chooses the lowest.

    Parameters
    ----------
    host, failure_domain : str
        Place of this node.
    rng : random.Random
        Breaks ties.
    """

    __slots__ = ("_domain", "_evidence", "_host", "_rng", "_route_work", "_work")

    def __init__(self, host: str, failure_domain: str, rng):
        self._host = host
        self._domain = failure_domain
        self._rng = rng
        self._evidence: dict[str, _Evidence] = {}
        self._route_work: dict[str, float] = {}
        self._work: dict[str, float] = {}

    def sync(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Take the listed workers; forget those that are gone."""
        listed = {}
        for endpoint in endpoints:
            known = self._evidence.get(endpoint.id)
            if known is None or known.born_ms != endpoint.born_ms:
                warm_at = now + endpoint.warmup_s
                known = _Evidence(endpoint.born_ms, warm_at, endpoint.slots)
            listed[endpoint.id] = known
        self._evidence = listed

    def choose(
        self,
        endpoints: Iterable[Endpoint],
        route: str,
        objective_s: float,
        excluded: set[str],
        now: float,
        doubted: Callable[[str], bool | None] = _trust,
    ) -> Endpoint | None:
        """Return the worker with the lowest predicted cost.

        Parameters
        ----------
        endpoints : iterable of Endpoint
            Workers of the service.
        route : str
        objective_s : float
        excluded : set of str
            Ids that are not to be tried again.
        doubted : callable
            Takes a host; gives False if it can be reached, True if it has not
            answered for a moment, None if it cannot be reached. A request sent
            towards one that cannot be reached would only wait.
        """
        best = None
        best_cost = math.inf
        for endpoint in endpoints:
            if endpoint.draining or endpoint.id in excluded:
                continue
            is_doubted = doubted(endpoint.host)
            if is_doubted is None:
                continue
            cost = self.predict(endpoint, route, objective_s, now)
            if is_doubted:
                cost += DOUBT_COST * objective_s
            cost *= 1.0 + 0.02 * self._rng.random()
            if cost < best_cost:
                best, best_cost = endpoint, cost
        return best

    def predict(
        self, endpoint: Endpoint, route: str, objective_s: float, now: float
    ) -> float:
        """Return the predicted cost of an attempt, in seconds."""
        known = self._evidence.get(endpoint.id)
        if known is None:
            known = self._add(endpoint, now)
        service_work = self._work.get(endpoint.service, FIRST_WORK_S)
        work = self._route_work.get(route, service_work)
        slowness = known.slowness
        if now < known.warm_at:
            slowness *= COLD_FACTOR
        pending = known.find_pending(now)
        limit = known.limit
        queued = max(0, pending + 1 - limit)
        cost = work * slowness
        cost += slowness * service_work * queued / limit
        cost += slowness * service_work * BUSY_COST * min(1.0, pending / limit)
        cost += LATE_COST * objective_s * find_late_chance(cost, objective_s)
        cost += FAILURE_COST * objective_s * known.find_failure_rate(now)
        if endpoint.failure_domain != self._domain:
            cost += DOMAIN_COST * objective_s
        elif endpoint.host != self._host:
            cost += HOP_COST_S
        if now < known.down_until:
            # Any other worker goes first, but one of these is tried if all
            # are down: the backoff may be older than the recovery.
            cost += 100.0 + known.down_until - now
        return cost

    def start(self, endpoint: Endpoint, now: float) -> None:
        """Count an attempt that begins."""
        known = self._evidence.get(endpoint.id) or self._add(endpoint, now)
        known.in_flight += 1

    def finish(self, endpoint: Endpoint) -> None:
        """Count an attempt that has ended, whatever its outcome."""
        known = self._evidence.get(endpoint.id)
        if known is not None and known.in_flight > 0:
            known.in_flight -= 1

    def note_answer(
        self, endpoint: Endpoint, route: str, work_s: float, now: float
    ) -> None:
        """Learn from an answer that the worker has worked on for `work_s`."""
        known = self._evidence.get(endpoint.id)
        if known is None:
            return
        known.down_until = 0.0
        known.backoff_s = FIRST_BACKOFF_S
        known.failures = known.find_failure_rate(now) * (1 - FAILURE_GAIN)
        known.failed_at = now
        mean = self._route_work.get(route)
        if mean is None:
            mean = self._route_work[route] = work_s
        low, high = SLOWNESS_RANGE
        ratio = min(high, max(low, work_s / max(mean, 0.001)))
        slowness = known.slowness
        if now >= known.warm_at:
            slowness += SLOWNESS_GAIN * (ratio - slowness)
            known.slowness = min(high, max(low, slowness))
        normal = work_s / known.slowness
        self._route_work[route] = mean + WORK_GAIN * (normal - mean)
        service = endpoint.service
        service_mean = self._work.get(service, work_s)
        self._work[service] = service_mean + WORK_GAIN * (normal - service_mean)

    def note_failure(self, endpoint: Endpoint, now: float) -> None:
        """Learn from an attempt that the worker failed or refused."""
        known = self._evidence.get(endpoint.id)
        if known is not None:
            rate = known.find_failure_rate(now)
            known.failures = rate + FAILURE_GAIN * (1 - rate)
            known.failed_at = now

    def note_down(self, endpoint: Endpoint, now: float) -> None:
        """Learn that the worker or the node beside it cannot be reached."""
        known = self._evidence.get(endpoint.id)
        if known is None or now < known.down_until:
            return
        known.down_until = now + known.backoff_s
        known.backoff_s = min(MAX_BACKOFF_S, known.backoff_s * 2)

    def note_load(self, endpoint: Endpoint, load: LoadReport, now: float) -> None:
        """Take the load that the node beside the worker reports."""
        known = self._evidence.get(endpoint.id)
        if known is not None:
            known.pending = load.pending
            known.limit = max(1, load.limit)
            known.reported_at = now
            known.in_flight_at_report = known.in_flight

    def find_work(self, route: str, service: str) -> float:
        """Return the mean work of a request of `route`, in seconds."""
        return self._route_work.get(route, self._work.get(service, FIRST_WORK_S))

    def _add(self, endpoint: Endpoint, now: float) -> _Evidence:
        known = _Evidence(endpoint.born_ms, now + endpoint.warmup_s, endpoint.slots)
        self._evidence[endpoint.id] = known
        return known
