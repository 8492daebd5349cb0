"""Tests of the delays between retries."""

from random import Random

from catkinhollow.configuration.backoff import Backoff


def test_delays_spread_up_to_a_doubling_limit():
    """Guards against synchronized retries and delays that overflow."""
    backoff = Backoff(base_s=0.2, max_s=10.0, random=Random(1))
    delays = [backoff.next_delay() for _ in range(2000)]
    assert all(0 <= delay <= 10.0 for delay in delays)
    assert delays[0] <= 0.2 and delays[1] <= 0.4
    assert min(delays[100:]) < 1.0 and max(delays) > 9.0
    backoff.reset()
    assert backoff.next_delay() <= 0.2
