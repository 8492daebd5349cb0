"""Decide when a refused caller should come back.

Load it answers: callers that a full service has refused. They come back
spread over time, when the queue that refused them has drained, and early
enough that they still wait for it.
"""

# Part of the time left that callers are ready to wait before they come back.
MAX_LEFT_SHARE = 0.33
MIN_RETRY_S = 0.05
# Callers refused at the same moment return over this part of the delay.
SPREAD_SHARE = 0.5


def retry_after_s(hint_s: float, left_s: float, draw: float) -> float:
    """Return the delay in seconds; `draw` is a random number up to 1."""
    wanted_s = max(MIN_RETRY_S, hint_s) * (1.0 + SPREAD_SHARE * draw)
    return max(0.0, min(wanted_s, MAX_LEFT_SHARE * left_s))
