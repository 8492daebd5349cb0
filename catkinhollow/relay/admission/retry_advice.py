"""Decide when a refused caller should retry.

Callers that an overloaded service has refused are told to retry spread over
time, when the queue that refused them has drained, and early enough that an
answer is still of use to them.
"""

# Share of its remaining time that a caller is willing to wait before a retry.
MAX_LEFT_SHARE = 0.33
MIN_RETRY_S = 0.05
# Callers refused at the same moment retry spread over this share of the delay.
SPREAD_SHARE = 0.5


def retry_after_s(hint_s: float, left_s: float, jitter: float) -> float:
    """Return the delay in seconds; `jitter` is a random number up to 1."""
    delay_s = max(MIN_RETRY_S, hint_s) * (1.0 + SPREAD_SHARE * jitter)
    return max(0.0, min(delay_s, MAX_LEFT_SHARE * left_s))
