"""Match requests to routes."""

from collections import defaultdict

from catkinhollow.generated.fleet import Fleet, Route


class RouteTable:
    """Match requests to routes, the longest path prefix first."""

    def __init__(self, fleet: Fleet) -> None:
        self._by_method: dict[str, dict[str, Route]] = defaultdict(dict)
        for route in fleet.routes:
            for method in route.methods:
                self._by_method[method].setdefault(route.path_prefix, route)
        prefixes = [len(route.path_prefix) for route in fleet.routes]
        self._longest = max(prefixes, default=0)

    def match(self, method: str, path: str) -> Route | None:
        """Return the route of a request, or None."""
        routes = self._by_method.get(method)
        if not routes:
            return None
        found = routes.get(path)
        # Skips the end of a path with many segments, which no prefix reaches.
        end = min(len(path), self._longest + 1)
        while found is None:
            end = max(path.rfind("/", 0, end), path.rfind("?", 0, end))
            if end < 0:
                return None
            if path[end] == "/":
                found = routes.get(path[: end + 1])
            found = found or routes.get(path[:end])
        return found
