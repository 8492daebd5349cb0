"""Learn the speed of one target, apart from the mix of its calls.

Made for targets that differ in speed by a factor of two to three by
themselves, and that run 1.5 to 5 times slower for moments of a second or so,
while their calls take 0.16 to 1.0 s. A mean run time over all calls shows
neither: it depends on the mix and follows a change only after ten runs.
"""

from math import exp, inf

from attrs import define, field

from catkinhollow.relay.admission.target_load import LOAD_MEMORY_S

# Weight of a run in the usual run time of its route. With run times that vary
# by a half, 0.1 makes equal targets look up to 1.5 times as fast as others.
USUAL_WEIGHT = 0.03
# Weight of a run in the slowness that the runs themselves show.
OBSERVED_WEIGHT = 0.1
# Runs of a route before its usual run time is used. The means of five runs at
# 26 equal targets differ by a factor of 1.4 if run times vary by a third.
MIN_ROUTE_RUNS = 10
# Slowness in the runs that counts as their usual variation.
OBSERVED_BAND = 1.4
# Bound of the slowness that one run shows; a single long run is no evidence.
MAX_RUN_SLOWNESS = 6.0
# Time constant with which the slowness seen in runs is forgotten. A target
# that gets no calls because it was slow is tried again.
OBSERVED_MEMORY_S = 2.0
# Weight of a reported figure in the usual figure of the target.
FIGURE_WEIGHT = 0.01
# Routes whose run times are reported, the most used ones. A service has fewer
# in general; the bound limits the size of a status.
MAX_REPORTED_ROUTES = 16
# The reported run times are computed again after this many runs: they change
# slowly, and the daemon reads them for each call of its own instance.
RUNS_BETWEEN_REPORTS = 8


@define
class _RouteTime:
    """Represent the usual run time of one route."""

    mean_s: float
    runs: int = 1


@define
class TargetSpeed:
    """Estimate how long work takes at a target at this moment.

    The slowness is the duration of work relative to the usual one of this
    target. It is the product of the figure that the target reports and of
    what the runs show beyond it.
    """

    _routes: dict[str, _RouteTime] = field(factory=dict)
    _figure: float = 0.0
    """Last reported slowness, 0 if none was reported."""
    _figure_s: float = -inf
    usual_figure: float = 1.0
    """Mean of the reported figures."""
    _figures: int = 0
    _observed: float = 1.0
    """Slowness of the runs beyond the reported figure."""
    _observed_s: float = 0.0
    _reported_ms: dict[str, int] = field(factory=dict)
    _unreported_runs: int = 0

    @property
    def in_force(self) -> bool:
        """Return whether the target reports its slowness, or runs show one."""
        return self._figure > 0.0 or not _is_usual(self._observed)

    def restart(self) -> None:
        """Forget the slowness of an earlier lifetime."""
        self._figure = 0.0
        self._figure_s = -inf
        self._observed = 1.0

    def forget_routes(self) -> None:
        """Forget the run times of an earlier version."""
        self._routes.clear()
        self._reported_ms = {}

    def report_figure(self, slowness: float, now_s: float) -> None:
        """Handle a slowness that the target reports."""
        self._figure, self._figure_s = slowness, now_s
        self._figures += 1
        weight = max(FIGURE_WEIGHT, 1.0 / self._figures)
        self.usual_figure += weight * (slowness - self.usual_figure)

    def slowness(self, now_s: float) -> float:
        """Return the current factor on the run times at figure 1."""
        return self._current_figure(now_s) * self._current_observed(now_s)

    def speed(self, now_s: float) -> float:
        """Return the speed relative to the usual one, 0 if none is known."""
        if not self.in_force:
            return 0.0
        return round(self.usual_figure / self.slowness(now_s), 2)

    def record_run(
        self, route: str, taken_s: float, start_slowness: float, now_s: float
    ) -> None:
        """Learn from a run; the slowness is that at its start."""
        figure = self._current_figure(now_s)
        observed = self._current_observed(now_s)
        # The figure may have changed during the run.
        work_s = taken_s / (0.5 * (figure + start_slowness))
        usual = self._routes.get(route)
        if usual is None:
            self._routes[route] = _RouteTime(work_s)
            return
        if usual.runs >= MIN_ROUTE_RUNS:
            ratio = work_s / usual.mean_s
            ratio = min(MAX_RUN_SLOWNESS, max(1.0 / MAX_RUN_SLOWNESS, ratio))
            before = 1.0 + (self._observed - 1.0) * self._observed_share(now_s)
            self._observed = before + OBSERVED_WEIGHT * (ratio - before)
            self._observed_s = now_s
        self._unreported_runs += 1
        usual.runs += 1
        weight = max(USUAL_WEIGHT, 1.0 / usual.runs)
        usual.mean_s += weight * (work_s / observed - usual.mean_s)

    def expected_s(self, route: str, slowness: float) -> float | None:
        """Return the expected run time of a route, None if it is unknown."""
        usual = self._routes.get(route)
        if usual is None or usual.runs < MIN_ROUTE_RUNS:
            return None
        return usual.mean_s * slowness

    def figure(self, now_s: float) -> float:
        """Return the reported slowness, the usual one if it is out of date."""
        return self._current_figure(now_s)

    def route_times_ms(self) -> dict[str, int]:
        """Return the usual run times of the routes in milliseconds."""
        if self._unreported_runs >= RUNS_BETWEEN_REPORTS or not self._reported_ms:
            self._reported_ms = self._find_route_times_ms()
            self._unreported_runs = 0
        return self._reported_ms

    def _find_route_times_ms(self) -> dict[str, int]:
        known = [
            (name, item)
            for name, item in self._routes.items()
            if item.runs >= MIN_ROUTE_RUNS
        ]
        if len(known) > MAX_REPORTED_ROUTES:
            known.sort(key=lambda pair: -pair[1].runs)
        return {
            name: max(1, round(1000.0 * item.mean_s * self.usual_figure))
            for name, item in known[:MAX_REPORTED_ROUTES]
        }

    def _current_figure(self, now_s: float) -> float:
        if now_s - self._figure_s <= LOAD_MEMORY_S:
            return self._figure
        return self.usual_figure

    def _current_observed(self, now_s: float) -> float:
        if _is_usual(self._observed):
            return 1.0
        return 1.0 + (self._observed - 1.0) * self._observed_share(now_s)

    def _observed_share(self, now_s: float) -> float:
        return exp((self._observed_s - now_s) / OBSERVED_MEMORY_S)


def _is_usual(observed: float) -> bool:
    return 1.0 / OBSERVED_BAND < observed < OBSERVED_BAND
