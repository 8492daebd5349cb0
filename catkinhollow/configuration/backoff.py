"""Compute delays between retries."""

from random import Random

# 2 ** 32 times any base delay exceeds every maximum delay, and much larger
# exponents overflow a float.
MAX_DOUBLINGS = 32


def jittered_delay(
    attempt: int, *, base_s: float, max_s: float, random: Random
) -> float:
    """Return a random delay in seconds with exponential backoff.

    The lower bound is 0. The upper bound is base_s for attempt 0 and doubles
    with each attempt, up to max_s.
    """
    ceiling_s = min(max_s, base_s * 2 ** min(attempt, MAX_DOUBLINGS))
    return random.uniform(0.0, ceiling_s)


class Backoff:
    """Count consecutive failures and compute the delay after each."""

    def __init__(self, *, base_s: float, max_s: float, random: Random) -> None:
        self._base_s = base_s
        self._max_s = max_s
        self._random = random
        self._attempt = 0

    def next_delay(self) -> float:
        """Count one more failure and return the delay in seconds."""
        delay_s = jittered_delay(
            self._attempt, base_s=self._base_s, max_s=self._max_s, random=self._random
        )
        self._attempt += 1
        return delay_s

    def reset(self) -> None:
        """Return to the base delay after a success."""
        self._attempt = 0
