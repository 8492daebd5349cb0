"""Read the clocks of the running process."""

from time import time_ns

import trio


class TrioClock:
    """Tell the time of the trio loop, which tests can virtualize."""

    def monotonic(self) -> float:
        """Return the loop's time in seconds."""
        return trio.current_time()

    def unix_ms(self) -> int:
        """Return the Unix time in milliseconds."""
        return time_ns() // 1_000_000
