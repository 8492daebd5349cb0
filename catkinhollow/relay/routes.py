"""Find the route of a request by host and longest path prefix."""

from collections import defaultdict
from random import Random

from attrs import define, field

from catkinhollow.generated.relay import RelayConfiguration, RelayRoute, WeightedService


class RouteTable:
    """Match requests to the routes of one configuration version."""

    def __init__(self, configuration: RelayConfiguration) -> None:
        self._hosts: dict[str, dict[str, RelayRoute]] = defaultdict(dict)
        for route in configuration.routes:
            self._hosts[route.host.lower()][route.path_prefix] = route

    def match(self, host: str, path: str) -> RelayRoute | None:
        """Return the route with the longest prefix, None if there is none."""
        prefixes = self._hosts.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = len(path)
        while True:
            slash = path.rfind("/", 0, end)
            if slash < 0:
                return None
            route = prefixes.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash


@define
class _SplitState:
    """Hold how far each part of a split is ahead or behind."""

    parts: tuple[WeightedService, ...]
    credits: list[float] = field(factory=list)


class SplitPicker:
    """Deal the requests of a route to its services by weight.

    The choice ignores load: a part that is short of room refuses its
    requests, because moving them would change the operator's shares.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._states: dict[str, _SplitState] = {}

    def pick(self, route: RelayRoute) -> str:
        """Return the service of the next request on the route."""
        if not route.split:
            return route.service
        parts = tuple(route.split)
        state = self._states.get(route.name)
        if state is None or state.parts != parts:
            state = self._start(parts)
            self._states[route.name] = state
        total = sum(part.weight for part in parts)
        for index, part in enumerate(parts):
            state.credits[index] += part.weight
        best = max(range(len(parts)), key=state.credits.__getitem__)
        state.credits[best] -= total
        return parts[best].service

    def keep_routes(self, names: set[str]) -> None:
        """Forget the routes that are gone."""
        for name in self._states.keys() - names:
            del self._states[name]

    def _start(self, parts: tuple[WeightedService, ...]) -> _SplitState:
        # Daemons that start together must not deal in step, or the shares of a
        # short time would be off in the same direction everywhere.
        credits = [self._random.uniform(0.0, part.weight) for part in parts]
        return _SplitState(parts=parts, credits=credits)
