"""Report when the event loop stood still."""

from catkinhollow.logs import get_logger
from catkinhollow.timer import Timer

logger = get_logger(__name__)

CHECK_INTERVAL_S = 0.2
# A shorter delay is normal while a large document is applied.
LOGGED_DELAY_S = 0.3


class LoopWatch:
    """Measure how late a callback of the timer runs."""

    def __init__(self, timer: Timer) -> None:
        self._clock = timer.clock
        self._checked_s = self._clock.monotonic()
        timer.subscribe(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        now_s = self._clock.monotonic()
        delay_s = now_s - self._checked_s - CHECK_INTERVAL_S
        self._checked_s = now_s
        if delay_s > LOGGED_DELAY_S:
            logger.warning("loop was blocked", delay_ms=int(delay_s * 1000))
