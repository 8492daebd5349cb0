"""Find the route of a request."""

from collections import defaultdict

from catkinhollow.generated.fleet import Fleet, Route


class RouteTable:
    """Match requests to routes, the longest path prefix first."""

    def __init__(self, fleet: Fleet) -> None:
        by_method: dict[str, list[Route]] = defaultdict(list)
        for route in fleet.routes:
            for method in route.methods:
                by_method[method].append(route)
        self._by_method = {
            method: sorted(routes, key=lambda route: -len(route.path_prefix))
            for method, routes in by_method.items()
        }

    def match(self, method: str, path: str) -> Route | None:
        """Return the route of a request, if there is one."""
        for route in self._by_method.get(method, ()):
            if _has_prefix(path, route.path_prefix):
                return route
        return None


def _has_prefix(path: str, prefix: str) -> bool:
    if not path.startswith(prefix):
        return False
    return len(path) == len(prefix) or prefix.endswith("/") or path[len(prefix)] in "/?"
