"""Decide how long a connection stays open after its last response.

Callers that read slowly, or that send further requests before they have read
the response that closes their connection, lose responses if the daemon closes
it at once: the kernel answers what arrives later with a reset and drops what
it has not delivered.
"""

from attrs import define, field

# Times between two looks at what the caller has acknowledged. They grow with
# the time that it has taken, so that many slow callers cost little.
MIN_CHECK_INTERVAL_S = 0.1
MAX_CHECK_INTERVAL_S = 1.0
CHECK_INTERVAL_SHARE = 0.25
# A caller that has received everything closes its end within a round trip. It
# may read some time later what its kernel has received.
DELIVERED_WAIT_S = 2.0
# A caller that takes single bytes would make progress for hours.
MAX_WAIT_S = 60.0


@define(kw_only=True)
class ClosingPlan:
    """Follow one connection whose sending side is closed; times in seconds."""

    begun_s: float
    stall_s: float
    """Time without progress after which the caller is given up."""
    max_input_bytes: int
    """What is read from the caller, and dropped, at most."""
    awaits_caller: bool = True
    """Whether the caller has been told to close the connection."""
    unacknowledged: int | None = field(default=None, init=False)
    """Bytes that the caller has not acknowledged, None if unknown."""
    _progress_s: float = field(init=False)
    _input_bytes: int = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self._progress_s = self.begun_s

    @property
    def delivered(self) -> bool:
        """Return whether the caller has acknowledged all responses."""
        return self.unacknowledged == 0

    def on_input(self, size_bytes: int) -> None:
        """Count bytes that were read and dropped."""
        self._input_bytes += size_bytes

    def on_check(self, now_s: float, unacknowledged: int | None) -> None:
        """Take note of what the caller has not acknowledged yet."""
        known = self.unacknowledged
        if unacknowledged is not None and (known is None or unacknowledged < known):
            self._progress_s = now_s
        self.unacknowledged = unacknowledged

    def wait_s(self, now_s: float) -> float:
        """Return how long to wait before the next check, 0 to close now."""
        if self.unacknowledged is None and not self.awaits_caller:
            return 0.0
        if self._input_bytes > self.max_input_bytes:
            return 0.0
        left_s = min(self._end_s(), self.begun_s + MAX_WAIT_S) - now_s
        if not self.delivered:
            interval_s = CHECK_INTERVAL_SHARE * (now_s - self.begun_s)
            interval_s = max(MIN_CHECK_INTERVAL_S, interval_s)
            left_s = min(left_s, interval_s, MAX_CHECK_INTERVAL_S)
        return max(0.0, left_s)

    def _end_s(self) -> float:
        if not self.delivered:
            return self._progress_s + self.stall_s
        return self._progress_s + (DELIVERED_WAIT_S if self.awaits_caller else 0.0)
