"""Decide how many calls one target may hold at a time."""

import math
from enum import Enum, auto

from attrs import define, field, frozen

# A slow answer is one above this multiple of the route's usual latency; with
# exponential latencies one answer in eight is above three medians.
SLOW_RATIO = 3.0
RATIO_WEIGHT = 0.2
# The usual ratio of a target follows in about 100 samples, so that a target on
# a weaker instance does not count as slow for ever.
USUAL_RATIO_WEIGHT = 0.01
# The chance below which a run of refused, failed or slow attempts is taken for
# a cold target. At 1e-3 and 100 calls/s, accidents would look like one target
# that turns cold every 10 s.
COLD_RUN_CHANCE = 1e-6
# Above its fair share an entry daemon gives way faster than below it, so that
# the limits of many entry daemons approach each other.
SHRINK_FACTOR = 0.7
SHRINK_FACTOR_BELOW_SHARE = 0.85
# Attempts in flight together fail together; they shrink the limit once.
SHRINK_INTERVAL_S = 0.05
RAMP_SHRINK_FACTOR = 0.5
RAMP_HOLD_S = 1.0
# Spreads the first calls of many entry daemons to a cold target in time.
FIRST_CALL_S = 0.02
EJECTION_RUN = 5
EJECTION_RATE = 0.5
EJECTION_MIN_SAMPLES = 10
FAILURE_WEIGHT = 0.1
FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
# After this time without ejection the ejection time starts small again.
EJECTION_MEMORY_S = 120.0


class Sample(Enum):
    """Classify what one attempt tells about its target."""

    CLEAN = auto()
    SLOW = auto()
    FAILED = auto()
    UNREACHABLE = auto()
    REFUSED = auto()
    IGNORED = auto()


_FAILURE_POINTS = {Sample.FAILED: 1, Sample.UNREACHABLE: 2}


@frozen(kw_only=True)
class TargetLimits:
    """Hold the settings that bound one target."""

    slow_start_s: float
    max_in_flight: int
    ingress_share: float = 1.0


@define(kw_only=True, eq=False)
class TargetStats:
    """Hold what this entry daemon observed of one target.

    `limit`, `weight` and `rest_until_s` are kept ready to read, because the
    balancer reads them for every target on every call. The cold limit is
    divided among the entry daemons; where the part of this one is below one
    call at a time, it rests after each call so that the part holds on average.
    """

    slots: int
    limits: TargetLimits
    phase: float = 0.0
    in_flight: int = 0
    limit: int = 0
    weight: float = 0.0
    rest_until_s: float = 0.0
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
    _usual_ratio: float = 1.0
    _strikes: int = 0
    _failure_points: int = 0
    _failure_rate: float = 0.0
    _samples: int = 0
    _ejections: int = 0

    def __attrs_post_init__(self) -> None:
        self._window = float(self.cap)

    @property
    def cap(self) -> int:
        """Return the bound that no limit exceeds."""
        return max(1, min(self.slots, self.limits.max_in_flight))

    @property
    def is_cold(self) -> bool:
        """Return whether the target is still ramping up."""
        return self._ramp < self.cap

    @property
    def ramp(self) -> float:
        """Return the concurrency that all entry daemons together may use."""
        return self._ramp

    @property
    def wants_ejection(self) -> bool:
        """Return whether the failures call for an ejection."""
        return self._failure_points >= EJECTION_RUN or (
            self._samples >= EJECTION_MIN_SAMPLES and self._failure_rate > EJECTION_RATE
        )

    def restart(self, started_s: float, now_s: float) -> None:
        """Start cold, with the age that the target announced."""
        self._forget_failures()
        self._ejections = 0
        self.ejected_until_s = 0.0
        self._window = float(self.cap)
        self._ratio = self._usual_ratio = 1.0
        self._begin_ramp(min(started_s, now_s), now_s)

    def configure(self, slots: int, limits: TargetLimits, now_s: float) -> None:
        """Apply changed bounds; a warm target stays warm."""
        warm = not self.is_cold
        self.slots = slots
        self.limits = limits
        if warm:
            self._ramp = float(self.cap)
        self._window = min(self._window, float(self.cap))
        self.refresh(now_s)

    def refresh(self, now_s: float) -> None:
        """Bring the limit and the weight up to date."""
        self._advance_ramp(now_s)
        cap = self.cap
        if self._ramp < cap:
            self.limit = max(1, int(self._ramp * self.limits.ingress_share))
        else:
            self.limit = max(1, int(self._window))
            self.rest_until_s = 0.0
        out = self.ejected_until_s > now_s
        if out:
            self.limit = 0
        self.changes_with_time = out or self._ramp < cap
        self.weight = self._ramp / max(1.0, self._ratio)

    def start(self) -> None:
        """Count an attempt as in flight."""
        self.in_flight += 1

    def finish(
        self,
        sample: Sample,
        busy_s: float,
        ratio: float,
        strike_rate: float,
        now_s: float,
    ) -> None:
        """Take an attempt out of flight and learn from it."""
        self.in_flight -= 1
        if sample is not Sample.IGNORED:
            self._learn(sample, busy_s, ratio, strike_rate, now_s)
        self.refresh(now_s)
        self._rest(busy_s, now_s)

    def is_slow(self, ratio: float) -> bool:
        """Return whether an answer was slow for this target."""
        return ratio > SLOW_RATIO * max(1.0, self._usual_ratio)

    def eject(self, now_s: float) -> None:
        """Take the target out for a time that grows with each ejection."""
        if now_s - self.ejected_until_s > EJECTION_MEMORY_S:
            self._ejections = 0
        length_s = min(FIRST_EJECTION_S * 2.0**self._ejections, MAX_EJECTION_S)
        self._ejections += 1
        self.hold_out(now_s + length_s, now_s)

    def hold_out(self, until_s: float, now_s: float) -> None:
        """Take the target out until a time; it starts cold afterwards."""
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

    def _learn(
        self, sample: Sample, busy_s: float, ratio: float, rate: float, now_s: float
    ) -> None:
        self._count_failure(sample)
        if sample in (Sample.CLEAN, Sample.SLOW):
            self.latency_s += RATIO_WEIGHT * (busy_s - self.latency_s)
            self._ratio += RATIO_WEIGHT * (ratio - self._ratio)
            self._usual_ratio += USUAL_RATIO_WEIGHT * (ratio - self._usual_ratio)
        if sample is Sample.CLEAN:
            self._strikes = 0
            self._grow()
            return
        if sample is Sample.REFUSED:
            self.refusals += 1
        self._strikes += 1
        self._strike(sample, rate, now_s)

    def _strike(self, sample: Sample, rate: float, now_s: float) -> None:
        if now_s - self._shrunk_at_s >= SHRINK_INTERVAL_S:
            self._shrunk_at_s = now_s
            self._shrink(sample, now_s)
        run = self._strikes
        if not self.is_cold and rate**run < COLD_RUN_CHANCE:
            self._begin_ramp(now_s, now_s)

    def _shrink(self, sample: Sample, now_s: float) -> None:
        self._advance_ramp(now_s)
        if self.is_cold:
            self._ramp = max(1.0, self._ramp * RAMP_SHRINK_FACTOR)
            self._hold_until_s = max(self._hold_until_s, now_s + RAMP_HOLD_S)
        loaded = self.in_flight + 1 > self._window / 2
        if sample is Sample.REFUSED or (sample is Sample.SLOW and loaded):
            fair = self.cap * self.limits.ingress_share
            above = self._window > fair
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
        self._strikes = 0

    def _begin_ramp(self, started_s: float, now_s: float) -> None:
        self._ramp = 1.0
        self._ramp_at_s = started_s
        self._hold_until_s = started_s
        self._strikes = 0
        self._advance_ramp(now_s)
        fair = self._ramp * self.limits.ingress_share
        if self.is_cold and fair < 1.0:
            self.rest_until_s = now_s + self.phase * FIRST_CALL_S * (1.0 / fair - 1.0)
        self.refresh(now_s)

    def _advance_ramp(self, now_s: float) -> None:
        cap = float(self.cap)
        if self._ramp >= cap:
            self._ramp = cap
            return
        begin_s = max(self._ramp_at_s, self._hold_until_s)
        if now_s < begin_s:
            return
        duration_s = self.limits.slow_start_s
        grown = (now_s - begin_s) * (cap - 1.0) / duration_s if duration_s else cap
        self._ramp = min(cap, self._ramp + grown)
        self._ramp_at_s = now_s

    def _rest(self, busy_s: float, now_s: float) -> None:
        fair = self._ramp * self.limits.ingress_share
        if self.is_cold and fair < 1.0:
            self.rest_until_s = now_s + busy_s * (1.0 / fair - 1.0)
