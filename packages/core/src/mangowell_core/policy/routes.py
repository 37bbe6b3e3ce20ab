"""Route lookup by longest path prefix."""

from bisect import bisect_right

from mangowell_core.model import Route


class RouteTable:
    """Finds the route of a request in O(log n) for n route paths.

    The paths are sorted. Every path that is a prefix of the requested one is
    the last path not after it, or one of that path's own prefixes, so a
    chain of parents leads from the longest to the shortest match.
    """

    __slots__ = ("_methods", "_parents", "_paths")

    def __init__(self, routes=()):
        grouped: dict[str, dict[str, Route]] = {}
        for route in routes:
            methods = grouped.setdefault(route.path, {})
            for method in route.methods or ("",):
                methods[method] = route
        self._paths = sorted(grouped)
        self._methods = [grouped[path] for path in self._paths]
        self._parents: list[int] = []
        chain: list[int] = []
        for i, path in enumerate(self._paths):
            while chain and not path.startswith(self._paths[chain[-1]]):
                chain.pop()
            self._parents.append(chain[-1] if chain else -1)
            chain.append(i)

    def find(self, method: str, path: str) -> Route | None:
        """Return the route with the longest path that allows the method.

        A longer path that does not allow the method does not hide a shorter
        one that does.
        """
        i = bisect_right(self._paths, path) - 1
        while i >= 0:
            if path.startswith(self._paths[i]):
                methods = self._methods[i]
                route = methods.get(method) or methods.get("")
                if route is not None:
                    return route
            i = self._parents[i]
        return None
