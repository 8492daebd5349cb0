"""Limit the rate of events."""

from math import inf

from attrs import define, field


@define
class TokenBucket:
    """Limit a rate with tokens that accumulate up to a capacity."""

    capacity: float
    refilled_s: float = 0.0
    _tokens: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._tokens = self.capacity

    def refill(self, rate: float, now_s: float) -> None:
        """Add the tokens since the last refill; the rate is per second."""
        added = max(0.0, now_s - self.refilled_s) * rate
        self._tokens = min(self.capacity, self._tokens + added)
        self.refilled_s = now_s

    @property
    def has_token(self) -> bool:
        """Return whether a token is available."""
        return self._tokens >= 1.0

    def take(self) -> None:
        """Remove a token."""
        self._tokens -= 1.0

    def wait_s(self, rate: float) -> float:
        """Return the time until a token is available, in seconds."""
        return max(0.0, 1.0 - self._tokens) / rate if rate > 0 else inf
