"""Notice when the process of a soak test gets no CPU time."""

from collections.abc import Callable

import trio

from catkinhollow.timer import Clock

# This process was stalled if it wakes up more than STALL_S after the interval
# that it slept for.
STALL_CHECK_INTERVAL_S = 0.05
STALL_S = 0.2


async def watch_stalls(clock: Clock, record: Callable[[float, float], None]) -> None:
    """Call a function with the begin and the end of each stall."""
    while True:
        begin_s = clock.monotonic()
        await trio.sleep(STALL_CHECK_INTERVAL_S)
        now_s = clock.monotonic()
        if now_s - begin_s > STALL_CHECK_INTERVAL_S + STALL_S:
            record(begin_s, now_s)
