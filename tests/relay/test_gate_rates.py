"""Tests of the estimates of rates at a gate."""

from math import inf

import pytest

from catkinhollow.relay.gate_rates import (
    ARRIVAL_BURST_FACTOR,
    MAX_OVERTAKING_SHARE,
    estimate_overtaken_wait_s,
)


def test_wait_without_overtakers_stays():
    """Guards against refusals of calls that nothing can push back."""
    assert estimate_overtaken_wait_s(0.2, []) == 0.2
    assert estimate_overtaken_wait_s(0.2, [(0.0, inf)]) == 0.2


def test_calls_of_higher_rank_stretch_the_whole_wait():
    """Guards against calls that are queued and then pushed back too long."""
    wait_s = estimate_overtaken_wait_s(0.2, [(0.2, inf)])
    assert wait_s == pytest.approx(0.2 / (1.0 - ARRIVAL_BURST_FACTOR * 0.2))


def test_overtaking_ends_with_its_window():
    """Guards against long work refused for short calls that can't pass it."""
    wait_s = estimate_overtaken_wait_s(0.3, [(0.4, 0.1)])
    assert wait_s == pytest.approx(0.3 + ARRIVAL_BURST_FACTOR * 0.4 * 0.1)


def test_wait_shorter_than_the_window_is_stretched_by_all_of_it():
    """Guards against an estimate below the time that overtakers take."""
    wait_s = estimate_overtaken_wait_s(0.05, [(0.4, 0.2)])
    assert wait_s == pytest.approx(0.05 / (1.0 - ARRIVAL_BURST_FACTOR * 0.4))


def test_more_urgent_load_than_the_target_bears_leaves_a_remainder():
    """Guards against an endless or negative wait under overload."""
    wait_s = estimate_overtaken_wait_s(0.2, [(2.0, inf), (1.0, inf)])
    assert wait_s == pytest.approx(0.2 / (1.0 - MAX_OVERTAKING_SHARE))
