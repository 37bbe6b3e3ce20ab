"""Selection of the worker for the next attempt of a request.

Workers of one service differ in speed by a factor of three. Some are warming up,
slow, or fail part of their requests, and the load from other nodes is known only
with a delay. The predicted cost of an attempt accounts for all of that:

    work on this worker + wait for a slot + cost of a hop + cost of a failure

A late answer is worth less than one in time, however small the delay, so the
probability of exceeding the objective adds to the cost.

The local failure domain is preferred as long as its workers are expected to
answer well within the objective, because traffic between domains is expensive
and a partition cuts it off. `crossing` has the cost of leaving it.
"""

import math
from collections.abc import Callable, Iterable
from heapq import nsmallest

from mangowell_core.mesh.crossing import (
    DEFAULT_TRANSFER,
    LATE_COST,
    RoundTrips,
    RouteSizes,
    Transfer,
    estimate_transfer_cost,
)
from mangowell_core.mesh.failure_rate import FailureRate
from mangowell_core.mesh.model import Endpoint, ProbeReply

# Weight of the newest observation in each exponential moving average.
WORK_GAIN = 0.05
SLOWNESS_GAIN = 0.1
# Work assumed for a service without an answer so far, seconds.
INITIAL_WORK_S = 0.1
# Bounds of a worker's slowness, which is its work relative to the route's mean.
SLOWNESS_RANGE = (0.2, 20.0)
# Approximate slowdown of a worker that is warming up, as the platform states.
WARMUP_SLOWDOWN = 2.0
# Cost of a worker on another host of the local domain, seconds for one hop.
HOP_COST_S = 0.002
# Cost of a failed attempt, in objectives.
FAILURE_COST = 1.5
# Cost of a host that is suspected of a failure because it has not answered for a
# moment, in objectives.
SUSPECT_COST = 1.0
# Standard deviation of the logarithm of the work; the services have 0.3 to 0.8.
WORK_LOG_STDDEV = 0.6
# Weight of the load below the limit, so that an idle worker is preferred to a
# busy one.
UTILIZATION_COST = 0.4
# The same for a worker that was just probed, whose load is known.
PROBED_UTILIZATION_COST = 0.1
# Weight of the newest reply to a probe in the slowness of a worker.
REPLY_SLOWNESS_GAIN = 0.3
# Time in which the last reported pace of a worker loses its weight, in seconds. It
# changes many times a second.
PACE_AGE_S = 0.3
# Weight of the newest pace in its moving average, and bounds of their ratio.
PACE_GAIN = 0.05
PACE_RANGE = (0.5, 3.0)
# Backoff after a failed connection, doubled at each further failure, seconds.
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.6
# Lower bound of the objective in the scale of a sample, so that requests without an
# objective explore too, in seconds.
MIN_EXPLORED_OBJECTIVE_S = 0.1
# Age above which a load report is ignored, seconds.
MAX_LOAD_AGE_S = 1.0


def _treat_as_reachable(host: str) -> bool | None:
    return False


def estimate_late_probability(mean_s: float, objective_s: float) -> float:
    """Estimate the probability that a log-normal time exceeds the objective.

    Parameters
    ----------
    mean_s : float
        Mean of the time, in seconds.
    objective_s : float
        Objective, in seconds.
    """
    if mean_s <= 0 or objective_s <= 0:
        return 0.0
    z = math.log(objective_s / mean_s) / WORK_LOG_STDDEV + WORK_LOG_STDDEV / 2
    return 0.5 * math.erfc(z / math.sqrt(2))


class LoadReport:
    """Reports the load of a worker, as counted by the node beside it.

    Parameters
    ----------
    pending : int
        Requests that run or wait.
    limit : int
        Maximum number of requests that run at once.
    pace : float
        How long work takes on the worker's machine now, relative to usual; 0 if
        unknown.
    """

    __slots__ = ("limit", "pace", "pending")

    def __init__(self, pending: int, limit: int, pace: float = 0.0):
        self.pending = pending
        self.limit = limit
        self.pace = pace


class _WorkerStats:
    """Stores what this node has observed of one start of a worker."""

    __slots__ = (
        "backoff_s",
        "backoff_until",
        "born_ms",
        "failure_rate",
        "in_flight",
        "in_flight_at_report",
        "limit",
        "mean_pace",
        "pace",
        "paced_at",
        "pending",
        "reported_at",
        "slowness",
        "warmup_ends_at",
    )

    def __init__(self, born_ms: int, warmup_ends_at: float, slots: int):
        self.born_ms = born_ms
        self.warmup_ends_at = warmup_ends_at
        self.in_flight = 0
        self.in_flight_at_report = 0
        self.pending = 0
        self.limit = max(1, slots)
        self.reported_at = float("-inf")
        self.slowness = 1.0
        self.pace = self.mean_pace = 1.0
        self.paced_at = float("-inf")
        self.failure_rate = FailureRate()
        self.backoff_until = 0.0
        self.backoff_s = FIRST_BACKOFF_S

    def record_pace(self, pace: float, now: float) -> None:
        if self.paced_at == float("-inf"):
            self.mean_pace = pace
        self.mean_pace += PACE_GAIN * (pace - self.mean_pace)
        self.pace = pace
        self.paced_at = now

    def estimate_slowness(self, now: float) -> float:
        """Return the slowness with the last pace, by its age, and the warm-up."""
        slowness = self.slowness
        age_s = now - self.paced_at
        if age_s < 5 * PACE_AGE_S:
            lowest, highest = PACE_RANGE
            ratio = min(highest, max(lowest, self.pace / self.mean_pace))
            slowness *= 1.0 + (ratio - 1.0) * math.exp(-age_s / PACE_AGE_S)
        if now < self.warmup_ends_at:
            slowness *= WARMUP_SLOWDOWN
        return slowness

    def estimate_pending(self, now: float) -> int:
        if now - self.reported_at > MAX_LOAD_AGE_S:
            return self.in_flight
        sent_since_report = self.in_flight - self.in_flight_at_report
        return max(self.in_flight, self.pending + sent_since_report)


class Placement:
    """Predicts the cost of an attempt on each worker and selects the cheapest.

    Parameters
    ----------
    host, failure_domain : str
        Address and failure domain of this node.
    rng : random.Random
        Source of the jitter that breaks ties.
    """

    __slots__ = (
        "_failure_domain",
        "_host",
        "_rng",
        "_route_work_s",
        "_service_work_s",
        "_stats_by_id",
        "round_trips",
        "sizes",
    )

    def __init__(self, host: str, failure_domain: str, rng):
        self._host = host
        self._failure_domain = failure_domain
        self._rng = rng
        self._stats_by_id: dict[str, _WorkerStats] = {}
        self._route_work_s: dict[str, float] = {}
        self._service_work_s: dict[str, float] = {}
        self.round_trips = RoundTrips(failure_domain)
        self.sizes = RouteSizes()

    def sync(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Update the set of workers; drop the statistics of removed ones."""
        stats_by_id = {}
        for endpoint in endpoints:
            stats = self._stats_by_id.get(endpoint.id)
            if stats is None or stats.born_ms != endpoint.born_ms:
                warmup_ends_at = now + endpoint.warmup_s
                stats = _WorkerStats(endpoint.born_ms, warmup_ends_at, endpoint.slots)
            stats_by_id[endpoint.id] = stats
        self._stats_by_id = stats_by_id

    def select_worker(
        self,
        endpoints: Iterable[Endpoint],
        route: str,
        objective_s: float,
        excluded: set[str],
        now: float,
        get_suspicion: Callable[[str], bool | None] = _treat_as_reachable,
    ) -> Endpoint | None:
        """Return the worker with the lowest predicted cost.

        Parameters
        ----------
        endpoints : iterable of Endpoint
            Workers of the service.
        route : str
            Name of the request's route.
        objective_s : float
            Time within which an answer has its full value, in seconds.
        excluded : set of str
            Ids of the workers that must not be tried again.
        now : float
            Monotonic time, in seconds.
        get_suspicion : callable
            Takes a host; returns False if the host is reachable, True if it has
            not answered for a moment, None if it is unreachable. A request to an
            unreachable host would only wait, so its workers are skipped.

        Returns
        -------
        Endpoint or None
            None if there is no eligible worker.
        """
        costs = self.estimate_costs(
            endpoints, route, objective_s, excluded, now, get_suspicion
        )
        return self.select_cheapest(costs)

    def select_cheapest(self, costs: list[tuple[float, Endpoint]]) -> Endpoint | None:
        """Return the worker of the lowest cost; None if there is none.

        Parameters
        ----------
        costs : list of (float, Endpoint)
            As returned by `estimate_costs`.
        """
        return min(
            costs,
            key=lambda pair: pair[0] * (1.0 + 0.02 * self._rng.random()),
            default=(math.inf, None),
        )[1]

    def sample_workers(
        self,
        costs: list[tuple[float, Endpoint]],
        objective_s: float,
        count: int,
        exploration: float,
    ) -> list[tuple[float, Endpoint]]:
        """Return different workers at random, preferably those of low cost.

        All nodes that know equally little would otherwise ask the same few workers.

        Parameters
        ----------
        costs : list of (float, Endpoint)
            As returned by `estimate_costs`.
        objective_s : float
            Time within which an answer has its full value, in seconds.
        count : int
            Maximum number of workers.
        exploration : float
            Difference of cost, in objectives, at which the chance to be drawn
            falls to 1/e.

        Returns
        -------
        list of (float, Endpoint)
            Predicted costs in seconds, and the workers.
        """
        # The lowest values of cost less Gumbel noise are a sample without
        # replacement whose weights fall exponentially with the cost.
        scale = exploration * max(objective_s, MIN_EXPLORED_OBJECTIVE_S)
        noisy = (
            (cost + scale * math.log(self._rng.expovariate(1.0)), index)
            for index, (cost, _) in enumerate(costs)
        )
        return [costs[index] for _, index in nsmallest(count, noisy)]

    def estimate_costs(
        self,
        endpoints: Iterable[Endpoint],
        route: str,
        objective_s: float,
        excluded: set[str],
        now: float,
        get_suspicion: Callable[[str], bool | None],
        transfer: Transfer = DEFAULT_TRANSFER,
    ) -> list[tuple[float, Endpoint]]:
        """Return the predicted cost of an attempt on each eligible worker, in seconds.

        Takes the parameters of `select_worker`, and `transfer` with what determines
        the cost of leaving the failure domain.
        """
        costs = []
        transfer_costs = {}
        for endpoint in endpoints:
            if endpoint.draining or endpoint.id in excluded:
                continue
            is_suspect = get_suspicion(endpoint.host)
            if is_suspect is None:
                continue
            domain = endpoint.failure_domain
            transfer_cost = transfer_costs.get(domain)
            if transfer_cost is None:
                transfer_cost = self.estimate_transfer_cost(domain, route, transfer)
                transfer_costs[domain] = transfer_cost
            cost = self._estimate_cost(endpoint, route, objective_s, now, transfer_cost)
            if is_suspect:
                cost += SUSPECT_COST * objective_s
            costs.append((cost, endpoint))
        return costs

    def estimate_cost(
        self,
        endpoint: Endpoint,
        route: str,
        objective_s: float,
        now: float,
        transfer: Transfer = DEFAULT_TRANSFER,
    ) -> float:
        """Return the predicted cost of an attempt, in seconds."""
        transfer_cost = self.estimate_transfer_cost(
            endpoint.failure_domain, route, transfer
        )
        return self._estimate_cost(endpoint, route, objective_s, now, transfer_cost)

    def estimate_lowest_cost(
        self,
        endpoint: Endpoint,
        route: str,
        objective_s: float,
        transfer: Transfer = DEFAULT_TRANSFER,
    ) -> float:
        """Return the cost of an attempt if the worker were idle, in seconds."""
        work_s = self.estimate_work(route, endpoint.service)
        stats = self._stats_by_id.get(endpoint.id)
        if stats is not None:
            work_s *= min(1.0, stats.slowness)
        late = LATE_COST * estimate_late_probability(work_s, objective_s)
        share = late + self.estimate_transfer_cost(
            endpoint.failure_domain, route, transfer
        )
        return work_s + share * objective_s

    def estimate_transfer_cost(
        self, failure_domain: str, route: str, transfer: Transfer
    ) -> float:
        """Return the cost of serving a request in a failure domain, in objectives."""
        if failure_domain == self._failure_domain:
            return 0.0
        return estimate_transfer_cost(
            self.sizes.estimate(route, transfer.request_bytes),
            self.round_trips.estimate(failure_domain),
            transfer.urgency,
            transfer.relief,
        )

    def _estimate_cost(
        self,
        endpoint: Endpoint,
        route: str,
        objective_s: float,
        now: float,
        transfer_cost: float,
    ) -> float:
        stats = self._stats_by_id.get(endpoint.id)
        if stats is None:
            stats = self._add_stats(endpoint, now)
        service_work_s = self._service_work_s.get(endpoint.service, INITIAL_WORK_S)
        route_work_s = self._route_work_s.get(route, service_work_s)
        slowness = stats.estimate_slowness(now)
        pending = stats.estimate_pending(now)
        limit = stats.limit
        queued = max(0, pending + 1 - limit)
        cost = route_work_s * slowness
        cost += slowness * service_work_s * queued / limit
        cost += slowness * service_work_s * UTILIZATION_COST * min(1.0, pending / limit)
        failure_rate = stats.failure_rate.estimate(now)
        return self._add_risks(
            endpoint, stats, cost, failure_rate, objective_s, now, transfer_cost
        )

    def estimate_probed_cost(
        self,
        endpoint: Endpoint,
        reply: ProbeReply,
        sent_since: int,
        route: str,
        objective_s: float,
        now: float,
        transfer: Transfer = DEFAULT_TRANSFER,
    ) -> float:
        """Return the predicted cost of an attempt on a worker that was just probed.

        Requests of a burst are probed together, so each reply shows a load without
        the others. Otherwise, all of them would be sent to the same worker.

        Parameters
        ----------
        endpoint : Endpoint
            Worker.
        reply : ProbeReply
            Prediction of the node beside the worker, which accepts the request.
        sent_since : int
            Attempts that this node has started on the worker since the reply.
        route, objective_s, now, transfer
            As in `estimate_costs`.

        Returns
        -------
        float
            Cost, in seconds.
        """
        stats = self._stats_by_id.get(endpoint.id)
        if stats is None:
            stats = self._add_stats(endpoint, now)
        work_s = reply.work_s
        if not work_s:
            work_s = self.estimate_work(route, endpoint.service)
            work_s *= stats.estimate_slowness(now)
        limit = max(1, reply.limit)
        pending = reply.pending + sent_since
        queued_since = max(0, pending + 1 - limit) - max(0, reply.pending + 1 - limit)
        utilization = min(1.0, pending / limit)
        cost = work_s * (1.0 + PROBED_UTILIZATION_COST * utilization)
        cost += reply.delay_s + work_s * queued_since / limit
        # Failures of links are known only here, those of the worker better there.
        failure_rate = max(reply.failure_rate, stats.failure_rate.estimate(now))
        transfer_cost = self.estimate_transfer_cost(
            endpoint.failure_domain, route, transfer
        )
        return self._add_risks(
            endpoint, stats, cost, failure_rate, objective_s, now, transfer_cost
        )

    def _add_risks(
        self, endpoint, stats, time_s, failure_rate, objective_s, now, transfer_cost
    ) -> float:
        """Add to a predicted time the costs of the path, of lateness and failure."""
        cost = time_s
        cost += LATE_COST * objective_s * estimate_late_probability(cost, objective_s)
        cost += FAILURE_COST * objective_s * failure_rate
        if endpoint.failure_domain != self._failure_domain:
            cost += transfer_cost * objective_s
        elif endpoint.host != self._host:
            cost += HOP_COST_S
        if now < stats.backoff_until:
            # Any other worker is preferred, but one in backoff is tried if all
            # are: it may have recovered since its backoff began.
            cost += 100.0 + stats.backoff_until - now
        return cost

    def start(self, endpoint: Endpoint, now: float) -> None:
        """Record the start of an attempt."""
        stats = self._stats_by_id.get(endpoint.id) or self._add_stats(endpoint, now)
        stats.in_flight += 1

    def count_in_flight(self, endpoint: Endpoint) -> int:
        """Return the number of attempts of this node on a worker."""
        stats = self._stats_by_id.get(endpoint.id)
        return 0 if stats is None else stats.in_flight

    def finish(self, endpoint: Endpoint) -> None:
        """Record the end of an attempt, whatever its outcome."""
        stats = self._stats_by_id.get(endpoint.id)
        if stats is not None and stats.in_flight > 0:
            stats.in_flight -= 1

    def record_answer(
        self, endpoint: Endpoint, route: str, work_s: float, now: float
    ) -> None:
        """Record an answer that took the worker `work_s` seconds of work."""
        stats = self._stats_by_id.get(endpoint.id)
        if stats is None:
            return
        stats.backoff_until = 0.0
        stats.backoff_s = FIRST_BACKOFF_S
        stats.failure_rate.record(False, now)
        route_mean_s = self._route_work_s.get(route)
        if route_mean_s is None:
            route_mean_s = self._route_work_s[route] = work_s
        min_slowness, max_slowness = SLOWNESS_RANGE
        observed_slowness = min(
            max_slowness, max(min_slowness, work_s / max(route_mean_s, 0.001))
        )
        slowness = stats.slowness
        if now >= stats.warmup_ends_at:
            slowness += SLOWNESS_GAIN * (observed_slowness - slowness)
            stats.slowness = min(max_slowness, max(min_slowness, slowness))
        normalized_work_s = work_s / stats.slowness
        self._route_work_s[route] = route_mean_s + WORK_GAIN * (
            normalized_work_s - route_mean_s
        )
        service = endpoint.service
        service_mean_s = self._service_work_s.get(service, work_s)
        self._service_work_s[service] = service_mean_s + WORK_GAIN * (
            normalized_work_s - service_mean_s
        )

    def record_size(self, route: str, size_bytes: int) -> None:
        """Record the size of a request and its answer, in bytes."""
        self.sizes.record(route, size_bytes)

    def record_failure(self, endpoint: Endpoint, now: float) -> None:
        """Record an attempt that the worker failed or refused."""
        stats = self._stats_by_id.get(endpoint.id)
        if stats is not None:
            stats.failure_rate.record(True, now)

    def record_unreachable(self, endpoint: Endpoint, now: float) -> None:
        """Record that the worker or the node beside it is unreachable."""
        stats = self._stats_by_id.get(endpoint.id)
        if stats is None or now < stats.backoff_until:
            return
        stats.backoff_until = now + stats.backoff_s
        stats.backoff_s = min(MAX_BACKOFF_S, stats.backoff_s * 2)

    def record_load(self, endpoint: Endpoint, load: LoadReport, now: float) -> None:
        """Record the load reported by the node beside the worker."""
        stats = self._stats_by_id.get(endpoint.id)
        if stats is not None:
            stats.pending = load.pending
            stats.limit = max(1, load.limit)
            stats.reported_at = now
            stats.in_flight_at_report = stats.in_flight
            if load.pace > 0:
                stats.record_pace(load.pace, now)

    def record_reply(
        self, endpoint: Endpoint, route: str, reply: ProbeReply, now: float
    ) -> None:
        """Record the load and the speed that the reply to a probe tells.

        A node sends few requests to any one worker, so it learns the speed of most
        workers from replies only.
        """
        stats = self._stats_by_id.get(endpoint.id)
        if stats is None:
            return
        self.record_load(endpoint, LoadReport(reply.pending, reply.limit), now)
        route_mean_s = self._route_work_s.get(route)
        if reply.work_s and route_mean_s and now >= stats.warmup_ends_at:
            lowest, highest = SLOWNESS_RANGE
            observed = min(highest, max(lowest, reply.work_s / route_mean_s))
            stats.slowness += REPLY_SLOWNESS_GAIN * (observed - stats.slowness)

    def is_local(self, endpoint: Endpoint) -> bool:
        """Return whether a worker is in the failure domain of this node."""
        return endpoint.failure_domain == self._failure_domain

    def spare_cold_workers(
        self, costs: list[tuple[float, Endpoint]], rate_per_s: float, now: float
    ) -> list[tuple[float, Endpoint]]:
        """Leave out cold workers at random, so that they get what they tolerate.

        A worker in a service of 20 gets 30 requests/s when warm, and tolerates 6 while
        it is cold. The node beside it enforces that; this avoids most rejections.

        Parameters
        ----------
        costs : list of (float, Endpoint)
            As returned by `estimate_costs`.
        rate_per_s : float
            Requests per second that a cold worker of the service takes; 0 for no
            limit.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        list of (float, Endpoint)
            The rest. If no worker of the local domain is left, its cold ones stay,
            and the others as well if none is left at all.
        """
        if rate_per_s <= 0:
            return costs
        kept, spared = [], []
        for pair in costs:
            stats = self._stats_by_id.get(pair[1].id)
            if stats is not None and now < stats.warmup_ends_at:
                work_s = self._service_work_s.get(pair[1].service, INITIAL_WORK_S)
                share = rate_per_s * work_s / stats.limit
                if self._rng.random() >= share:
                    spared.append(pair)
                    continue
            kept.append(pair)
        if not any(self.is_local(endpoint) for _, endpoint in kept):
            kept += [pair for pair in spared if self.is_local(pair[1])]
        return kept or costs

    def estimate_work(self, route: str, service: str) -> float:
        """Return the mean work of a request of `route`, in seconds."""
        return self._route_work_s.get(
            route, self._service_work_s.get(service, INITIAL_WORK_S)
        )

    def explain(self, endpoint: Endpoint, now: float) -> dict[str, float]:
        """Return what is known of a worker; see `CandidateView` for the names."""
        stats = self._stats_by_id.get(endpoint.id)
        if stats is None:
            stats = _WorkerStats(
                endpoint.born_ms, now + endpoint.warmup_s, endpoint.slots
            )
        return {
            "running": stats.estimate_pending(now),
            "slots": stats.limit,
            "speed": 1 / stats.slowness,
            "warmup_left_s": max(0.0, stats.warmup_ends_at - now),
            "failure_rate": stats.failure_rate.estimate(now),
        }

    def _add_stats(self, endpoint: Endpoint, now: float) -> _WorkerStats:
        stats = _WorkerStats(endpoint.born_ms, now + endpoint.warmup_s, endpoint.slots)
        self._stats_by_id[endpoint.id] = stats
        return stats
