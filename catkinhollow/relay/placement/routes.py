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
    """Represent the weighted round-robin state of a split.

    The credit of a part grows by its weight with each request; the part with
    the highest credit gets the request and pays the sum of all weights.
    """

    parts: tuple[WeightedService, ...]
    credits: list[float] = field(factory=list)


class SplitPicker:
    """Distribute the requests of a route over its services by weight.

    The choice ignores load: an overloaded part refuses its requests, because
    sending them elsewhere would change the shares that the operator has set.
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
            state = self._create_state(parts)
            self._states[route.name] = state
        total = sum(part.weight for part in parts)
        for index, part in enumerate(parts):
            state.credits[index] += part.weight
        best = max(range(len(parts)), key=state.credits.__getitem__)
        state.credits[best] -= total
        return parts[best].service

    def keep_routes(self, names: set[str]) -> None:
        """Discard the state of all other routes."""
        for name in self._states.keys() - names:
            del self._states[name]

    def _create_state(self, parts: tuple[WeightedService, ...]) -> _SplitState:
        # With equal initial credits, daemons that start together would choose
        # the same sequence, and their shares over a short time would all
        # deviate in the same direction.
        credits = [self._random.uniform(0.0, part.weight) for part in parts]
        return _SplitState(parts=parts, credits=credits)
