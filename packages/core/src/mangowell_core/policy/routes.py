"""Route lookup by longest path prefix."""

from bisect import bisect_right

from mangowell_core.model import Route


class RouteTable:
    """Route table of the project's own request path, with O(log n) lookup.

    The n route paths are sorted, and each is linked to its parent, the longest
    other path that is a prefix of it. Every prefix of a requested path is either the
    last path that does not sort after it, or an ancestor of that path. The lookup
    therefore follows the parents from there, from the longest to the shortest match.
    """

    __slots__ = ("_methods", "_parents", "_paths")

    def __init__(self, routes=()):
        methods_by_path: dict[str, dict[str, Route]] = {}
        for route in routes:
            methods = methods_by_path.setdefault(route.path, {})
            for method in route.methods or ("",):
                methods[method] = route
        self._paths = sorted(methods_by_path)
        self._methods = [methods_by_path[path] for path in self._paths]
        self._parents: list[int] = []
        ancestors: list[int] = []
        for i, path in enumerate(self._paths):
            while ancestors and not path.startswith(self._paths[ancestors[-1]]):
                ancestors.pop()
            self._parents.append(ancestors[-1] if ancestors else -1)
            ancestors.append(i)

    def look_up(self, method: str, path: str) -> Route | None:
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
