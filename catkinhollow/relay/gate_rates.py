"""Estimate and bound the rates of calls at a gate."""

from math import exp, inf

from attrs import define

# Time over which arrivals are counted, to foresee those that are more urgent.
ARRIVAL_MEMORY_S = 2.0
# Calls that start at once on a cold target, beyond its rate.
COLD_BURST = 2.0


@define
class Arrivals:
    """Estimate the rate of arrivals of one urgency."""

    count: float = 0.0
    at_s: float = 0.0

    def add(self, now_s: float) -> None:
        """Count an arrival."""
        self.count = self._decayed(now_s) + 1.0
        self.at_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the arrivals a second of late."""
        return self._decayed(now_s) / ARRIVAL_MEMORY_S

    def _decayed(self, now_s: float) -> float:
        return self.count * exp((self.at_s - now_s) / ARRIVAL_MEMORY_S)


@define
class Pace:
    """Hold back starts beyond a rate."""

    tokens: float = COLD_BURST
    at_s: float = 0.0

    def refill(self, rate: float, now_s: float) -> None:
        """Allow the starts that the time since the last refill brings."""
        grown = max(0.0, now_s - self.at_s) * rate
        self.tokens = min(COLD_BURST, self.tokens + grown)
        self.at_s = now_s

    def wait_s(self, rate: float) -> float:
        """Return the time until the next start, in seconds."""
        return max(0.0, 1.0 - self.tokens) / rate if rate > 0 else inf
