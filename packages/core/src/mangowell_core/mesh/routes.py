"""Selection of the route of a request and of the service that answers it."""

from random import Random

from mangowell_core.mesh.model import MeshDocument, MeshRoute


class RouteTable:
    """Matches requests on the platform's request path to the routes of a document.

    A route matches by its host and by the longest prefix of the path.

    Parameters
    ----------
    document : MeshDocument
        Document that contains the routes.
    """

    __slots__ = ("_hosts",)

    def __init__(self, document: MeshDocument):
        hosts: dict[str, dict[str, MeshRoute]] = {}
        for route in document.routes:
            hosts.setdefault(route.host, {})[route.prefix] = route
        # Routes of each host by prefix, and the lengths of these, longest first. A
        # prefix ends with a slash, so that it matches whole segments.
        self._hosts = {
            host: (by_prefix, sorted({len(p) for p in by_prefix}, reverse=True))
            for host, by_prefix in hosts.items()
        }

    def match(self, host: str, path: str) -> MeshRoute | None:
        """Return the route whose prefix is the longest one of `path`, or None."""
        routes, lengths = self._hosts.get(host.partition(":")[0].lower(), ({}, ()))
        # The work depends on the document, not on the segments of the path.
        for length in lengths:
            route = routes.get(path[:length])
            if route is not None:
                return route
        return None


class TrafficSplitter:
    """Distributes the requests of a route over the services of its split.

    The services are taken in the order of their names. Each takes its share of the
    requests that the services before it have left, by an account of the fractions of
    a request that are owed to it. An account starts at a random fraction and outlives
    documents: it is in requests, so that it holds for any weights.

    Each request goes to each service with the probability of its share, whatever
    documents came before. While the weights stay, the n-th service gets its share of
    any sequence of requests of this node to within n requests, and two services to
    within one. Nodes start independently of each other: over all nodes, the standard
    deviation of the requests of a service is at most that of independent draws, half
    the square root of the number of all requests. A service with a weight of 0 gets
    nothing.

    Parameters
    ----------
    rng : random.Random
        Source of random numbers, different in each node.
    """

    __slots__ = ("_rng", "_splits")

    def __init__(self, rng: Random):
        self._rng = rng
        self._splits: dict[str, _Split] = {}

    def select_service(self, route: MeshRoute) -> str:
        """Select the service for the next request of `route`."""
        if len(route.parts) == 1:
            return route.parts[0][0]
        split = self._splits.get(route.name)
        if split is None:
            split = self._splits[route.name] = _Split()
        if split.parts != route.parts:
            split.set_parts(route.parts, self._rng)
        return split.select()

    def keep(self, names: set[str]) -> None:
        """Drop the state of all routes except `names`."""
        for name in self._splits.keys() - names:
            del self._splits[name]


class _Split:
    """Accounts of the services of one route."""

    __slots__ = ("_accounts", "_shares", "parts")

    def __init__(self):
        self.parts: tuple[tuple[str, float], ...] = ()
        # Fraction of a request that is owed to each service, from 0 to below 1.
        self._accounts: dict[str, float] = {}
        # Services with a weight, each with its share of what those before it leave.
        self._shares: tuple[tuple[str, float], ...] = ()

    def set_parts(self, parts: tuple[tuple[str, float], ...], rng: Random) -> None:
        """Follow a change of the services or weights; the accounts of others stay."""
        self.parts = parts
        weights: dict[str, float] = {}
        for name, weight in sorted(parts):
            weights[name] = weights.get(name, 0.0) + weight
        self._accounts = {
            name: self._accounts[name] if name in self._accounts else rng.random()
            for name in weights
        }
        shares = []
        rest = 0.0
        # The last service takes all that is left, without a rounding error.
        for name, weight in reversed(weights.items()):
            rest += weight
            if weight:
                shares.append((name, weight / rest))
        self._shares = tuple(reversed(shares))

    def select(self) -> str:
        """Select the service for the next request."""
        for name, share in self._shares:
            account = self._accounts[name] + share
            self._accounts[name] = account % 1.0
            if account >= 1.0:
                return name
        raise ValueError("no service of the split has a weight")
