"""Read the current time."""

from time import CLOCK_BOOTTIME, clock_gettime, time_ns

import trio


class TrioClock:
    """Provide the time of the trio loop, which tests can mock."""

    def monotonic(self) -> float:
        """Return the monotonic time of the loop in seconds."""
        return trio.current_time()

    def boottime(self) -> float:
        """Return a time that advances while the machine is suspended."""
        return clock_gettime(CLOCK_BOOTTIME)

    def unix_ms(self) -> int:
        """Return the Unix time in milliseconds."""
        return time_ns() // 1_000_000
