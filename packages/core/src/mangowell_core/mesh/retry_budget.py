"""Retries that the nodes may make together.

The platform bounds the arrivals at a service beyond the first of each request,
over all nodes, in any window: a share of the requests plus a fixed number. The
trouble that asks for retries is rarely spread evenly. When one service fails,
most are asked for by the nodes whose workers call it, so equal parts would
leave most of the bound unused. Nodes therefore tell each other how many they
ask for, and each takes the part of the bound that its demand is of all demand.
"""

import math

# Part of the bound that is handed out. The rest covers what nodes do not know
# of each other yet, and repeats that a repeated request causes by its calls.
SHARE = 0.62
# Time constant of the rates, seconds.
RATE_TIME_S = 3.0
# Tokens that may be saved, as seconds of refill.
SAVED_S = 1.0
# Part of the saved tokens that only calls of running requests may take: a call
# that fails spoils the work of its parent, while callers retry by themselves.
CALL_RESERVE = 0.5
# Demand below this, in retries a second, counts as none.
LEAST_DEMAND = 0.01
# Claim of each node beside its demand, in retries a second.
CLAIM_PER_S = 0.2
# A node not heard of for so long is taken to ask for as much as this one.
STALE_S = 2.5
# The same holds until it has spoken this long after the start of the own
# demand, seconds: trouble often meets all nodes at once.
ONSET_S = 0.5
# Time constant with which a part follows the demand, seconds.
SHARE_TIME_S = 1.0


class ServiceDemand:
    """Rates of one service at one node.

    Parameters
    ----------
    requests_per_s, retries_per_s : float
        Requests of callers, and further attempts that were asked for.
    """

    __slots__ = ("requests_per_s", "retries_per_s")

    def __init__(self, requests_per_s: float, retries_per_s: float):
        self.requests_per_s = requests_per_s
        self.retries_per_s = retries_per_s


class _Rate:
    """Exponentially decayed rate of events."""

    __slots__ = ("_updated", "_value")

    def __init__(self):
        self._value = 0.0
        self._updated = 0.0

    def add(self, now: float) -> None:
        self._value = self.read(now) + 1.0 / RATE_TIME_S
        self._updated = now

    def read(self, now: float) -> float:
        return self._value * math.exp((self._updated - now) / RATE_TIME_S)


class _Service:
    __slots__ = ("asked", "hot_since", "requested", "share", "tokens", "updated")

    def __init__(self, share: float, now: float):
        self.requested = _Rate()
        self.asked = _Rate()
        self.share = share
        self.tokens = 0.0
        self.updated = now - SAVED_S
        self.hot_since = now


class RetryBudget:
    """Tokens for further attempts, by service.

    Parameters
    ----------
    ratio : float
        Allowed arrivals beyond the first, as a share of the requests.
    floor : int
        Further arrivals allowed in each window.
    window_s : float
    rng : random.Random
        Decides on fractions of a token.
    """

    __slots__ = ("_floor_per_s", "_nodes", "_peers", "_ratio", "_rng", "_services")

    def __init__(self, ratio: float, floor: int, window_s: float, rng):
        self._rng = rng
        self._ratio = ratio * SHARE
        self._floor_per_s = floor * SHARE / window_s
        self._nodes = 1
        self._services: dict[str, _Service] = {}
        # What other nodes have said last, and when.
        self._peers: dict[str, tuple[float, dict[str, ServiceDemand]]] = {}

    def set_nodes(self, count: int) -> None:
        """Take the number of nodes that share the budget."""
        self._nodes = max(1, count)

    def keep_peers(self, names: set[str]) -> None:
        """Forget the demand of nodes that are gone."""
        for name in self._peers.keys() - names:
            del self._peers[name]

    def note_peer(
        self, name: str, demand: dict[str, ServiceDemand], now: float
    ) -> None:
        """Take the demand that another node reports."""
        self._peers[name] = (now, demand)

    def find_demand(self, now: float) -> dict[str, ServiceDemand]:
        """Return the own demand for services whose retries anyone asks for."""
        demand = {}
        for name, service in self._services.items():
            asked = service.asked.read(now)
            if asked < LEAST_DEMAND and not self._find_peer_demand(name):
                continue
            demand[name] = ServiceDemand(service.requested.read(now), asked)
        return demand

    def count_request(self, service: str, now: float) -> None:
        """Count a request of a caller."""
        self._find(service, now).requested.add(now)

    def spend(self, service: str, now: float, is_call: bool = False) -> bool:
        """Take the token for one further attempt, if there is one."""
        state = self._find(service, now)
        if state.asked.read(now) < LEAST_DEMAND:
            state.hot_since = now
            state.share = 1.0 / self._nodes
        state.asked.add(now)
        limit = self._refill(service, state, now)
        tokens = state.tokens
        if not is_call and tokens < limit * CALL_RESERVE:
            return False
        if tokens >= 1.0:
            state.tokens = tokens - 1.0
            return True
        # Many nodes have less than one token each. What is there is staked, so
        # that together they spend as much as they have.
        state.tokens = 0.0
        return self._rng.random() < tokens

    def _find(self, service: str, now: float) -> _Service:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _Service(1.0 / self._nodes, now)
        return state

    def _refill(self, service: str, state: _Service, now: float) -> float:
        """Add the tokens earned since the last time; return their limit."""
        elapsed = now - state.updated
        target, requests = self._find_share(service, state, now)
        state.share += (target - state.share) * (1 - math.exp(-elapsed / SHARE_TIME_S))
        rate = state.share * (self._ratio * requests + self._floor_per_s)
        limit = rate * SAVED_S
        state.tokens = min(limit, state.tokens + rate * elapsed)
        state.updated = now
        return limit

    def _find_share(self, service: str, state: _Service, now: float):
        """Return the part of this node, and the requests a second of all."""
        requests = state.requested.read(now)
        own = state.asked.read(now)
        demand = own
        for heard_at, peer in self._peers.values():
            told = peer.get(service)
            asks = 0.0
            if told is not None:
                requests += told.requests_per_s
                asks = told.retries_per_s
            is_old = heard_at < max(now - STALE_S, state.hot_since + ONSET_S)
            if is_old:
                asks = max(asks, own)
            demand += asks
        unheard = max(0, self._nodes - 1 - len(self._peers))
        demand += unheard * own
        return (own + CLAIM_PER_S) / (demand + CLAIM_PER_S * self._nodes), requests

    def _find_peer_demand(self, service: str) -> bool:
        return any(
            service in peer and peer[service].retries_per_s >= LEAST_DEMAND
            for _, peer in self._peers.values()
        )
