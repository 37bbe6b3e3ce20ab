"""Selection of the route of a request and of the service that answers it."""

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

    It uses smooth weighted round robin: over any sequence of requests, each
    service gets its share to within one request. Random selection would need
    thousands of requests for that precision.
    """

    __slots__ = ("_credits",)

    def __init__(self):
        self._credits: dict[str, dict[str, float]] = {}

    def select_service(self, route: MeshRoute) -> str:
        """Select the service for the next request of `route`."""
        parts = route.parts
        if len(parts) == 1:
            return parts[0][0]
        credits = self._credits.get(route.name)
        if credits is None or credits.keys() != {name for name, _ in parts}:
            credits = self._credits[route.name] = dict.fromkeys(
                (name for name, _ in parts), 0.0
            )
        total = 0.0
        for name, weight in parts:
            credits[name] += weight
            total += weight
        chosen = max(parts, key=lambda part: credits[part[0]])[0]
        credits[chosen] -= total
        return chosen

    def keep(self, names: set[str]) -> None:
        """Drop the state of all routes except `names`."""
        for name in self._credits.keys() - names:
            del self._credits[name]
