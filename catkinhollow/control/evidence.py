"""Evaluate a new target version by comparing it with the old one."""

from collections.abc import Iterable, Sequence
from enum import StrEnum
from math import exp, log, log1p

from attrs import field, frozen, mutable

from catkinhollow.generated.messages import VersionCounts

# This is a safe sequential test for 2x2 tables. For one window and one route,
# the likelihood ratio of "the new version has rate a, the old one rate b" to
# "both have the weighted mean of a and b" has an expectation of at most 1
# whenever the new version's true rate is not above the old one's in that
# window, whatever that rate is. The result may therefore be evaluated after
# every window, and noise or an outage that affects both versions gives no
# evidence. The ratios are combined by the Shiryaev-Roberts rule, which also
# detects changes that occur late.

# Probability that any test during one move classifies a version as bad that is
# not worse than the old one, for moves of up to HORIZON_WINDOWS windows.
FALSE_ALARM_RATE = 0.001
HORIZON_WINDOWS = 7200
MAX_ROUTES = 16
METRIC_COUNT = 2  # failures and slow responses
LOG_THRESHOLD = log(
    HORIZON_WINDOWS * METRIC_COUNT * (MAX_ROUTES + 1) / FALSE_ALARM_RATE
)
# Upper limit of the evidence from one window. The requests of one second are
# not independent, as a pause of one target delays all of them, so a single
# window must not decide.
MAX_LOG_RATIO_PER_WINDOW = 0.35 * LOG_THRESHOLD

# Fractions of the requests that succeed with the old version and fail (or are
# slow) with the new one. A difference below half of the smallest value counts
# as equal. The number of slow responses varies more, because new targets start
# cold.
FAILURE_EFFECT_SIZES = (0.05, 0.15, 0.4, 0.9)
SLOW_EFFECT_SIZES = (0.15, 0.4, 0.8)

# Requests of the new version, in total and per route, after which it counts as
# good. In 1,000 trials each with this number of requests, no version with 10
# percentage points more failures or 30 points more slow responses was missed,
# but 5 % were missed with 40 points more failures on only one route that gets
# 5 % of the traffic.
MIN_REQUESTS = 400
MIN_ROUTE_REQUESTS = 40
# Routes with a smaller share of the traffic do not delay a step.
RARE_ROUTE_SHARE = 0.02

WINDOW_MS = 1000
DECAY_PER_WINDOW = 0.9
PRIOR_RATE = 0.02
PRIOR_REQUESTS = 20.0


class VerdictKind(StrEnum):
    """List the conclusions about a version."""

    CONTINUE = "continue"
    BAD = "bad"
    GOOD = "good"


@frozen(kw_only=True)
class Verdict:
    """Represent the conclusion about a version, with a reason if it is bad."""

    kind: VerdictKind
    reason: str = ""


@frozen
class _Sample:
    requests: int = 0
    events: int = 0


@mutable
class _DecayingCounts:
    requests: float = 0.0
    events: float = 0.0

    def add(self, sample: _Sample) -> None:
        self.requests = self.requests * DECAY_PER_WINDOW + sample.requests
        self.events = self.events * DECAY_PER_WINDOW + sample.events

    @property
    def percent(self) -> float:
        return 100.0 * self.events / self.requests if self.requests else 0.0

    def estimate(self) -> float:
        """Return the rate, which is close to the prior for few requests."""
        events = self.events + PRIOR_RATE * PRIOR_REQUESTS
        return min(0.99, events / (self.requests + PRIOR_REQUESTS))


class _ChangeDetector:
    """Combine the likelihood ratios of several effect sizes over windows."""

    def __init__(self, effect_count: int) -> None:
        self._log_statistics = [-1e9] * effect_count

    @property
    def alarm(self) -> bool:
        highest = max(self._log_statistics)
        mean = sum(exp(value - highest) for value in self._log_statistics)
        return highest + log(mean / len(self._log_statistics)) >= LOG_THRESHOLD

    def add(self, log_ratios: Sequence[float]) -> None:
        self._log_statistics = [
            _log1p_exp(value) + min(ratio, MAX_LOG_RATIO_PER_WINDOW)
            for value, ratio in zip(self._log_statistics, log_ratios, strict=True)
        ]


class _RateComparison:
    """Compare one rate of both versions on one route."""

    def __init__(self, effect_sizes: Sequence[float]) -> None:
        self._effect_sizes = effect_sizes
        self._detector = _ChangeDetector(len(effect_sizes))
        self.new = _DecayingCounts()
        self.old = _DecayingCounts()

    @property
    def alarm(self) -> bool:
        return self._detector.alarm

    def add(self, new: _Sample, old: _Sample) -> list[float]:
        """Add one window and return its log likelihood ratios."""
        # The old version's rate is estimated from earlier windows only; an
        # estimate that includes this window would make the test invalid.
        base = self.old.estimate()
        ratios = [
            _log_ratio(new, old, base + (1.0 - base) * effect, base)
            for effect in self._effect_sizes
        ]
        self._detector.add(ratios)
        self.new.add(new)
        self.old.add(old)
        return ratios


@mutable
class _RouteEvidence:
    failures: _RateComparison = field(
        factory=lambda: _RateComparison(FAILURE_EFFECT_SIZES)
    )
    slow: _RateComparison = field(factory=lambda: _RateComparison(SLOW_EFFECT_SIZES))
    # Requests of the new version in the current step, and of both versions in
    # all windows.
    new_requests: int = 0
    requests: int = 0


class VersionEvidence:
    """Represent the evidence about the new version of one service."""

    def __init__(self, new_version: str, old_version: str) -> None:
        self._new_version = new_version
        self._old_version = old_version
        self._routes: dict[str, _RouteEvidence] = {}
        self._failures = _ChangeDetector(len(FAILURE_EFFECT_SIZES))
        self._slow = _ChangeDetector(len(SLOW_EFFECT_SIZES))
        self._bad: Verdict | None = None
        # Here the requests are windows and the events are milliseconds of
        # latency.
        self._demand = _DecayingCounts()

    @property
    def demand_slots(self) -> float:
        """Return the service's mean number of requests in flight.

        Return 0 before the first window.
        """
        if not self._demand.requests:
            return 0.0
        return self._demand.events / self._demand.requests / WINDOW_MS

    @property
    def verdict(self) -> Verdict:
        """Return the conclusion from all windows so far.

        A version that is bad stays bad. Any other is good once the current
        step has had enough requests.
        """
        if self._bad:
            return self._bad
        kind = VerdictKind.GOOD if self._has_enough_requests() else VerdictKind.CONTINUE
        return Verdict(kind=kind)

    def start_step(self) -> None:
        """Reset the new version's request counts for a new traffic share."""
        for route in self._routes.values():
            route.new_requests = 0

    def observe(self, counts: Iterable[VersionCounts]) -> None:
        """Add the counts of one window, summed over the fleet."""
        by_route: dict[str, dict[str, VersionCounts]] = {}
        latency_ms = 0.0
        for entry in counts:
            by_route.setdefault(entry.route, {})[entry.version] = entry
            latency_ms += entry.latency_ms_sum
        if not by_route:
            return
        self._demand.add(_Sample(1, int(latency_ms)))
        failure_sums = [0.0] * len(FAILURE_EFFECT_SIZES)
        slow_sums = [0.0] * len(SLOW_EFFECT_SIZES)
        for name, versions in by_route.items():
            new = versions.get(self._new_version)
            old = versions.get(self._old_version)
            failures, slow = self._observe_route(name, new, old)
            failure_sums = _add_elementwise(failure_sums, failures)
            slow_sums = _add_elementwise(slow_sums, slow)
        self._failures.add(failure_sums)
        self._slow.add(slow_sums)
        self._bad = self._bad or self._find_bad_verdict()

    def _observe_route(
        self, name: str, new: VersionCounts | None, old: VersionCounts | None
    ) -> tuple[list[float], list[float]]:
        if name not in self._routes and len(self._routes) >= MAX_ROUTES:
            name = "other"
        route = self._routes.setdefault(name, _RouteEvidence())
        route.new_requests += new.requests if new else 0
        route.requests += sum(entry.requests for entry in (new, old) if entry)
        return (
            route.failures.add(_failure_sample(new), _failure_sample(old)),
            route.slow.add(_slow_sample(new), _slow_sample(old)),
        )

    def _find_bad_verdict(self) -> Verdict | None:
        for name, route in self._routes.items():
            if route.failures.alarm:
                return _bad_verdict(f"route {name}", "failed", [route.failures])
            if route.slow.alarm:
                return _bad_verdict(f"route {name}", "were slow", [route.slow])
        routes = self._routes.values()
        if self._failures.alarm:
            return _bad_verdict(
                "all routes", "failed", [item.failures for item in routes]
            )
        if self._slow.alarm:
            return _bad_verdict(
                "all routes", "were slow", [item.slow for item in routes]
            )
        return None

    def _has_enough_requests(self) -> bool:
        total = sum(route.requests for route in self._routes.values())
        new_total = sum(route.new_requests for route in self._routes.values())
        return new_total >= MIN_REQUESTS and all(
            route.new_requests >= MIN_ROUTE_REQUESTS
            or route.requests < RARE_ROUTE_SHARE * total
            for route in self._routes.values()
        )


def _failure_sample(counts: VersionCounts | None) -> _Sample:
    return _Sample(counts.requests, counts.failures) if counts else _Sample()


def _slow_sample(counts: VersionCounts | None) -> _Sample:
    return _Sample(counts.requests, counts.slow) if counts else _Sample()


def _bad_verdict(
    where: str, what: str, comparisons: Sequence[_RateComparison]
) -> Verdict:
    new = _sum_counts(item.new for item in comparisons)
    old = _sum_counts(item.old for item in comparisons)
    reason = (
        f"{where}: {new.percent:.1f} % of recent requests {what} with the new"
        f" version, {old.percent:.1f} % with the old version"
    )
    return Verdict(kind=VerdictKind.BAD, reason=reason)


def _sum_counts(parts: Iterable[_DecayingCounts]) -> _DecayingCounts:
    total = _DecayingCounts()
    for part in parts:
        total.requests += part.requests
        total.events += part.events
    return total


def _add_elementwise(left: Sequence[float], right: Sequence[float]) -> list[float]:
    return [a + b for a, b in zip(left, right, strict=True)]


def _log1p_exp(value: float) -> float:
    """Return log(1 + exp(value)) without overflow."""
    return value + log1p(exp(-value)) if value > 0 else log1p(exp(value))


def _log_ratio(new: _Sample, old: _Sample, new_rate: float, old_rate: float) -> float:
    if not new.requests or not old.requests:
        return 0.0
    total = new.requests + old.requests
    mean = (new.requests * new_rate + old.requests * old_rate) / total
    return _log_term(new, new_rate, mean) + _log_term(old, old_rate, mean)


def _log_term(sample: _Sample, rate: float, mean: float) -> float:
    others = sample.requests - sample.events
    return sample.events * log(rate / mean) + others * log((1 - rate) / (1 - mean))
