"""Budget of retries that all nodes share.

The platform bounds the arrivals at a service beyond the first of each request,
over all nodes and in any window, by a share of the requests plus a fixed number.
The demand for retries is rarely uniform. When one service fails, most retries
are requested by the nodes whose workers call it, so equal shares would leave most
of the bound unused. Nodes therefore report their demand to each other, and each
node takes a share of the bound in proportion to its demand.
"""

import math

# Share of the bound that is assigned to the nodes. The rest covers demand that
# has not been reported yet, and the repeated calls of a repeated request.
ASSIGNED_SHARE = 0.62
# Time constant of the decay of the request and retry rates, seconds.
RATE_TIME_CONSTANT_S = 3.0
# Maximum number of saved tokens, as seconds of refill.
BURST_S = 1.0
# Share of the saved tokens reserved for calls made by running requests. A failed
# call wastes the work of its parent, while outside callers retry by themselves.
CALL_RESERVE_SHARE = 0.5
# Demand below this counts as none, retries per second.
MIN_DEMAND_PER_S = 0.01
# Demand that each node is assigned in addition to its own, retries per second.
BASE_DEMAND_PER_S = 0.2
# Age of a report, in seconds, above which its node is assumed to have at least
# the demand of this node.
MAX_REPORT_AGE_S = 2.5
# The same is assumed of a node without a report that is at least this much newer
# than the start of the local demand, seconds: a failure often affects all nodes
# at once.
DEMAND_ONSET_S = 0.5
# Time constant with which a node's share follows the demand, seconds.
SHARE_TIME_CONSTANT_S = 1.0


class ServiceDemand:
    """Reports the rates of requests and retries for one service at one node.

    Parameters
    ----------
    requests_per_s : float
        Rate of requests from callers.
    retries_per_s : float
        Rate of attempts beyond the first that were requested from the budget,
        whether or not they were allowed.
    """

    __slots__ = ("requests_per_s", "retries_per_s")

    def __init__(self, requests_per_s: float, retries_per_s: float):
        self.requests_per_s = requests_per_s
        self.retries_per_s = retries_per_s


class _Rate:
    """Measures an event rate with exponential decay."""

    __slots__ = ("_rate_at_update", "_updated_at")

    def __init__(self):
        self._rate_at_update = 0.0
        self._updated_at = 0.0

    def record(self, now: float) -> None:
        self._rate_at_update = self.compute_rate(now) + 1.0 / RATE_TIME_CONSTANT_S
        self._updated_at = now

    def compute_rate(self, now: float) -> float:
        return self._rate_at_update * math.exp(
            (self._updated_at - now) / RATE_TIME_CONSTANT_S
        )


class _ServiceBudget:
    """Holds the token bucket and the local rates of one service."""

    __slots__ = (
        "demand_since",
        "request_rate",
        "retry_rate",
        "share",
        "tokens",
        "updated_at",
    )

    def __init__(self, share: float, now: float):
        self.request_rate = _Rate()
        self.retry_rate = _Rate()
        self.share = share
        self.tokens = 0.0
        self.updated_at = now - BURST_S
        self.demand_since = now


class RetryBudget:
    """Limits retries on the platform's request path, by a token bucket per service.

    Parameters
    ----------
    ratio : float
        Allowed arrivals beyond the first, as a share of the requests.
    floor : float
        Arrivals allowed in each window in addition to that share.
    window_s : float
        Length of the window, in seconds.
    rng : random.Random
        Source of the random decision on a fraction of a token.
    """

    __slots__ = (
        "_assigned_floor_per_s",
        "_assigned_ratio",
        "_budgets",
        "_node_count",
        "_peer_demands",
        "_rng",
    )

    def __init__(self, ratio: float, floor: float, window_s: float, rng):
        self._rng = rng
        self._assigned_ratio = ratio * ASSIGNED_SHARE
        self._assigned_floor_per_s = floor * ASSIGNED_SHARE / window_s
        self._node_count = 1
        self._budgets: dict[str, _ServiceBudget] = {}
        # Latest report of each other node and the time of its arrival.
        self._peer_demands: dict[str, tuple[float, dict[str, ServiceDemand]]] = {}

    def set_nodes(self, count: int) -> None:
        """Set the number of nodes that share the budget."""
        self._node_count = max(1, count)

    def keep_peers(self, names: set[str]) -> None:
        """Drop the demand of all nodes except `names`."""
        for name in self._peer_demands.keys() - names:
            del self._peer_demands[name]

    def record_peer_demand(
        self, name: str, demand: dict[str, ServiceDemand], now: float
    ) -> None:
        """Record the demand reported by another node."""
        self._peer_demands[name] = (now, demand)

    def compute_demand(self, now: float) -> dict[str, ServiceDemand]:
        """Return the local demand for each service with retry demand on any node."""
        demand = {}
        for service, budget in self._budgets.items():
            retry_rate = budget.retry_rate.compute_rate(now)
            if retry_rate < MIN_DEMAND_PER_S and not self._has_peer_demand(service):
                continue
            demand[service] = ServiceDemand(
                budget.request_rate.compute_rate(now), retry_rate
            )
        return demand

    def count_request(self, service: str, now: float) -> None:
        """Record a request from a caller."""
        self._get_or_add_budget(service, now).request_rate.record(now)

    def spend(self, service: str, now: float, is_call: bool = False) -> bool:
        """Take a token for one more attempt, if the budget allows it.

        Parameters
        ----------
        service : str
            Name of the service.
        now : float
            Monotonic time, in seconds.
        is_call : bool
            Whether the attempt belongs to a call made by a running request,
            which may use the reserved tokens.

        Returns
        -------
        bool
            Whether the attempt is allowed.
        """
        budget = self._get_or_add_budget(service, now)
        if budget.retry_rate.compute_rate(now) < MIN_DEMAND_PER_S:
            budget.demand_since = now
            budget.share = 1.0 / self._node_count
        budget.retry_rate.record(now)
        limit = self._refill(service, budget, now)
        tokens = budget.tokens
        if not is_call and tokens < limit * CALL_RESERVE_SHARE:
            return False
        if tokens >= 1.0:
            budget.tokens = tokens - 1.0
            return True
        # Many nodes may have less than one token each. A fraction is spent as the
        # probability of an attempt, so that in sum the nodes spend what they have.
        budget.tokens = 0.0
        return self._rng.random() < tokens

    def _get_or_add_budget(self, service: str, now: float) -> _ServiceBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = _ServiceBudget(
                1.0 / self._node_count, now
            )
        return budget

    def _refill(self, service: str, budget: _ServiceBudget, now: float) -> float:
        """Add the tokens earned since the last refill; return their maximum."""
        elapsed = now - budget.updated_at
        target, requests = self._compute_share(service, budget, now)
        budget.share += (target - budget.share) * (
            1 - math.exp(-elapsed / SHARE_TIME_CONSTANT_S)
        )
        rate = budget.share * (
            self._assigned_ratio * requests + self._assigned_floor_per_s
        )
        limit = rate * BURST_S
        budget.tokens = min(limit, budget.tokens + rate * elapsed)
        budget.updated_at = now
        return limit

    def _compute_share(self, service: str, budget: _ServiceBudget, now: float):
        """Compute the share of this node and the request rate of all nodes."""
        requests = budget.request_rate.compute_rate(now)
        local_retries_per_s = budget.retry_rate.compute_rate(now)
        demand = local_retries_per_s
        for received_at, peer_demand in self._peer_demands.values():
            reported = peer_demand.get(service)
            peer_retries_per_s = 0.0
            if reported is not None:
                requests += reported.requests_per_s
                peer_retries_per_s = reported.retries_per_s
            is_stale = received_at < max(
                now - MAX_REPORT_AGE_S, budget.demand_since + DEMAND_ONSET_S
            )
            if is_stale:
                peer_retries_per_s = max(peer_retries_per_s, local_retries_per_s)
            demand += peer_retries_per_s
        unreported_nodes = max(0, self._node_count - 1 - len(self._peer_demands))
        demand += unreported_nodes * local_retries_per_s
        return (local_retries_per_s + BASE_DEMAND_PER_S) / (
            demand + BASE_DEMAND_PER_S * self._node_count
        ), requests

    def _has_peer_demand(self, service: str) -> bool:
        return any(
            service in peer_demand
            and peer_demand[service].retries_per_s >= MIN_DEMAND_PER_S
            for _, peer_demand in self._peer_demands.values()
        )
