"""Decide how many calls one target may have in flight."""

import math
from enum import Enum, auto

from attrs import define, field, frozen

# A response is slow above this multiple of the route's median latency, or of
# the target's own baseline if that is higher. With exponential latencies, one
# response in eight is above three medians.
SLOW_RATIO = 3.0
RATIO_WEIGHT = 0.2
# The baseline ratio of a target adapts within about 100 samples, so that a
# target on a slower instance does not count as slow permanently.
BASELINE_RATIO_WEIGHT = 0.01
# A run of refused, failed or slow attempts that is less probable than this
# marks the target as cold. At 1e-3 and 100 calls/s, chance alone would mark a
# target as cold every 10 s.
COLD_RUN_PROBABILITY = 1e-6
# An ingress daemon shrinks its limit faster above its fair share than below
# it, so that the limits of many ingress daemons converge.
SHRINK_FACTOR = 0.7
SHRINK_FACTOR_BELOW_SHARE = 0.85
# Concurrent attempts fail together, so they shrink the limit only once.
SHRINK_INTERVAL_S = 0.05
RAMP_SHRINK_FACTOR = 0.5
RAMP_HOLD_S = 1.0
# Spreads the first calls of many ingress daemons to a cold target over time.
FIRST_CALL_SPREAD_S = 0.02
EJECTION_FAILURE_POINTS = 5
EJECTION_RATE = 0.5
EJECTION_MIN_SAMPLES = 10
FAILURE_WEIGHT = 0.1
FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
# After this time without an ejection the next one is short again.
EJECTION_RESET_S = 120.0


class Sample(Enum):
    """Classify what one attempt indicates about its target."""

    CLEAN = auto()
    SLOW = auto()
    FAILED = auto()
    UNREACHABLE = auto()
    REFUSED = auto()
    IGNORED = auto()


_FAILURE_POINTS = {Sample.FAILED: 1, Sample.UNREACHABLE: 2}


@frozen(kw_only=True)
class TargetLimits:
    """Configure the bounds of one target.

    Without bad samples, a cold target reaches its full limit in `slow_start_s`
    seconds.
    `ingress_share` is this daemon's fraction of all calls to the service.
    """

    slow_start_s: float
    max_in_flight: int
    ingress_share: float = 1.0


@define(kw_only=True, eq=False)
class TargetStats:
    """Represent what this ingress daemon observed of one target.

    `limit`, `weight` and `paused_until_s` are precomputed, because the
    balancer reads them for every target on every call. The limit of a warm
    target grows additively and shrinks multiplicatively. The limit of a cold
    target is divided among the ingress daemons; where the share of this one is
    below one call at a time, it pauses after each call so that the share holds
    on average.
    """

    slots: int
    limits: TargetLimits
    first_call_jitter: float = 0.0
    in_flight: int = 0
    limit: int = 0
    weight: float = 0.0
    paused_until_s: float = 0.0
    latency_s: float = 0.0
    refusals: int = 0
    ejected_until_s: float = 0.0
    changes_with_time: bool = True
    _ramp: float = 1.0
    _ramp_at_s: float = 0.0
    _hold_until_s: float = 0.0
    _window: float = field(init=False)
    _shrunk_at_s: float = -math.inf
    _ratio: float = 1.0
    _baseline_ratio: float = 1.0
    _consecutive_bad: int = 0
    _failure_points: int = 0
    _failure_rate: float = 0.0
    _samples: int = 0
    _ejections: int = 0

    def __attrs_post_init__(self) -> None:
        self._window = float(self.cap)

    @property
    def cap(self) -> int:
        """Return the highest limit that the target may get."""
        return max(1, min(self.slots, self.limits.max_in_flight))

    @property
    def is_cold(self) -> bool:
        """Return whether the target is still ramping up."""
        return self._ramp < self.cap

    @property
    def ramp(self) -> float:
        """Return the concurrency that all ingress daemons together may use."""
        return self._ramp

    @property
    def needs_ejection(self) -> bool:
        """Return whether the target failed often enough to be ejected."""
        return self._failure_points >= EJECTION_FAILURE_POINTS or (
            self._samples >= EJECTION_MIN_SAMPLES and self._failure_rate > EJECTION_RATE
        )

    def restart(self, started_s: float, now_s: float) -> None:
        """Mark the target as cold, ramping up since its announced start."""
        self._forget_failures()
        self._ejections = 0
        self.ejected_until_s = 0.0
        self._window = float(self.cap)
        self._ratio = self._baseline_ratio = 1.0
        self._begin_ramp(min(started_s, now_s), now_s)

    def configure(self, slots: int, limits: TargetLimits, now_s: float) -> None:
        """Apply new bounds; a warm target stays warm."""
        warm = not self.is_cold
        self.slots = slots
        self.limits = limits
        if warm:
            self._ramp = float(self.cap)
        self._window = min(self._window, float(self.cap))
        self.refresh(now_s)

    def refresh(self, now_s: float) -> None:
        """Update the values that the balancer reads."""
        self._advance_ramp(now_s)
        cap = self.cap
        if self._ramp < cap:
            self.limit = max(1, int(self._ramp * self.limits.ingress_share))
        else:
            self.limit = max(1, int(self._window))
            self.paused_until_s = 0.0
        ejected = self.ejected_until_s > now_s
        if ejected:
            self.limit = 0
        self.changes_with_time = ejected or self._ramp < cap
        self.weight = self._ramp / max(1.0, self._ratio)

    def start(self) -> None:
        """Count an attempt as in flight."""
        self.in_flight += 1

    def finish(
        self,
        sample: Sample,
        duration_s: float,
        ratio: float,
        bad_sample_rate: float,
        now_s: float,
    ) -> None:
        """Count an attempt as ended and record its sample.

        `ratio` is the duration as a multiple of the route's median latency,
        and `bad_sample_rate` the fraction of bad samples in the service.
        """
        self.in_flight -= 1
        if sample is not Sample.IGNORED:
            self._record_sample(sample, duration_s, ratio, bad_sample_rate, now_s)
        self.refresh(now_s)
        self._pause(duration_s, now_s)

    def is_slow(self, ratio: float) -> bool:
        """Return whether a latency ratio is slow for this target."""
        return ratio > SLOW_RATIO * max(1.0, self._baseline_ratio)

    def eject(self, now_s: float) -> None:
        """Eject the target for a time that doubles up to `MAX_EJECTION_S`."""
        if now_s - self.ejected_until_s > EJECTION_RESET_S:
            self._ejections = 0
        length_s = min(FIRST_EJECTION_S * 2.0**self._ejections, MAX_EJECTION_S)
        self._ejections += 1
        self.eject_until(now_s + length_s, now_s)

    def eject_until(self, until_s: float, now_s: float) -> None:
        """Eject the target until a time; it starts cold afterwards."""
        self.ejected_until_s = until_s
        self._forget_failures()
        self._begin_ramp(now_s, now_s)
        self._hold_until_s = until_s
        self.refresh(now_s)

    def readmit(self, now_s: float) -> None:
        """End an ejection early."""
        self.ejected_until_s = 0.0
        self._hold_until_s = now_s
        self._ramp_at_s = now_s
        self.refresh(now_s)

    def _record_sample(
        self, sample: Sample, duration_s: float, ratio: float, rate: float, now_s: float
    ) -> None:
        self._count_failure(sample)
        if sample in (Sample.CLEAN, Sample.SLOW):
            self.latency_s += RATIO_WEIGHT * (duration_s - self.latency_s)
            self._ratio += RATIO_WEIGHT * (ratio - self._ratio)
            self._baseline_ratio += BASELINE_RATIO_WEIGHT * (
                ratio - self._baseline_ratio
            )
        if sample is Sample.CLEAN:
            self._consecutive_bad = 0
            self._grow()
            return
        if sample is Sample.REFUSED:
            self.refusals += 1
        self._consecutive_bad += 1
        self._handle_bad_sample(sample, rate, now_s)

    def _handle_bad_sample(self, sample: Sample, rate: float, now_s: float) -> None:
        if now_s - self._shrunk_at_s >= SHRINK_INTERVAL_S:
            self._shrunk_at_s = now_s
            self._shrink(sample, now_s)
        length = self._consecutive_bad
        if not self.is_cold and rate**length < COLD_RUN_PROBABILITY:
            self._begin_ramp(now_s, now_s)

    def _shrink(self, sample: Sample, now_s: float) -> None:
        self._advance_ramp(now_s)
        if self.is_cold:
            self._ramp = max(1.0, self._ramp * RAMP_SHRINK_FACTOR)
            self._hold_until_s = max(self._hold_until_s, now_s + RAMP_HOLD_S)
        loaded = self.in_flight + 1 > self._window / 2
        if sample is Sample.REFUSED or (sample is Sample.SLOW and loaded):
            fair_share = self.cap * self.limits.ingress_share
            above = self._window > fair_share
            factor = SHRINK_FACTOR if above else SHRINK_FACTOR_BELOW_SHARE
            self._window = max(1.0, self._window * factor)

    def _grow(self) -> None:
        if self.in_flight + 1 >= self._window / 2:
            self._window = min(float(self.cap), self._window + 1.0 / self._window)

    def _count_failure(self, sample: Sample) -> None:
        points = _FAILURE_POINTS.get(sample, 0)
        if points:
            self._failure_points += points
        elif sample is not Sample.REFUSED:
            self._failure_points = 0
        self._samples += 1
        self._failure_rate += FAILURE_WEIGHT * (bool(points) - self._failure_rate)

    def _forget_failures(self) -> None:
        self._failure_points = 0
        self._failure_rate = 0.0
        self._samples = 0
        self._consecutive_bad = 0

    def _begin_ramp(self, started_s: float, now_s: float) -> None:
        self._ramp = 1.0
        self._ramp_at_s = started_s
        self._hold_until_s = started_s
        self._consecutive_bad = 0
        self._advance_ramp(now_s)
        fair_share = self._ramp * self.limits.ingress_share
        if self.is_cold and fair_share < 1.0:
            self.paused_until_s = (
                now_s
                + self.first_call_jitter
                * FIRST_CALL_SPREAD_S
                * (1.0 / fair_share - 1.0)
            )
        self.refresh(now_s)

    def _advance_ramp(self, now_s: float) -> None:
        cap = float(self.cap)
        if self._ramp >= cap:
            self._ramp = cap
            return
        begin_s = max(self._ramp_at_s, self._hold_until_s)
        if now_s < begin_s:
            return
        ramp_s = self.limits.slow_start_s
        grown = (now_s - begin_s) * (cap - 1.0) / ramp_s if ramp_s else cap
        self._ramp = min(cap, self._ramp + grown)
        self._ramp_at_s = now_s

    def _pause(self, duration_s: float, now_s: float) -> None:
        fair_share = self._ramp * self.limits.ingress_share
        if self.is_cold and fair_share < 1.0:
            self.paused_until_s = now_s + duration_s * (1.0 / fair_share - 1.0)
