"""Read the current time."""

from time import time_ns

import trio


class TrioClock:
    """Provide the time of the trio loop, which tests can mock."""

    def monotonic(self) -> float:
        """Return the monotonic time of the loop in seconds."""
        return trio.current_time()

    def unix_ms(self) -> int:
        """Return the Unix time in milliseconds."""
        return time_ns() // 1_000_000
