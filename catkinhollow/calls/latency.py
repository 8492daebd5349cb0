"""Estimate the median latency of each route to detect slow responses."""

from attrs import define

# Each sample moves the estimate of the median by this fraction, so that it
# follows a change within about 100 samples and ignores single outliers.
MEDIAN_STEP = 0.02
# With fewer samples the estimate is too inaccurate to be used.
MIN_SAMPLES = 20
# A response counts as slow in the evidence above this multiple of the median.
EVIDENCE_SLOW_RATIO = 2.0
# Differences below this are scheduling noise on small instances.
SLOW_MARGIN_S = 0.005


@define(kw_only=True)
class RouteLatency:
    """Estimate the median latency of one route to one region."""

    median_s: float = 0.0
    samples: int = 0

    @property
    def slow_limit_s(self) -> float:
        """Return the latency above which a response counts as slow.

        This limit is for the evidence; `TargetStats.is_slow` has another one.
        """
        if self.samples < MIN_SAMPLES:
            return float("inf")
        return max(EVIDENCE_SLOW_RATIO * self.median_s, self.median_s + SLOW_MARGIN_S)

    def add(self, latency_s: float) -> None:
        """Move the estimate towards a sample."""
        self.samples += 1
        if self.samples == 1:
            self.median_s = latency_s
        elif latency_s > self.median_s:
            self.median_s *= 1.0 + MEDIAN_STEP
        else:
            self.median_s *= 1.0 - MEDIAN_STEP

    def ratio(self, latency_s: float) -> float:
        """Return the latency as a multiple of the median.

        Return 1 for differences within noise and before `MIN_SAMPLES`.
        """
        if self.samples < MIN_SAMPLES or latency_s < self.median_s + SLOW_MARGIN_S:
            return 1.0
        return latency_s / self.median_s


class RouteLatencies:
    """Represent the latency estimates by route and region of the target."""

    def __init__(self) -> None:
        self._routes: dict[tuple[str, str], RouteLatency] = {}

    def find(self, route: str, region: str) -> RouteLatency:
        """Return the estimate of a route to a region; create it if missing."""
        key = (route, region)
        found = self._routes.get(key)
        if found is None:
            found = self._routes[key] = RouteLatency()
        return found

    def keep_routes(self, routes: set[str]) -> None:
        """Drop the estimates of all other routes."""
        self._routes = {
            key: value for key, value in self._routes.items() if key[0] in routes
        }
