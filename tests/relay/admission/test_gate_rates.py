"""Tests of the estimates of waiting times at a gate."""

from math import inf

import pytest

from catkinhollow.relay.admission.gate_rates import (
    ARRIVAL_BURST_FACTOR,
    MAX_OVERTAKING_SHARE,
    estimate_overtaken_wait_s,
)


def test_wait_without_overtakers_is_unchanged():
    """Guards against refusals of calls that no other call can delay."""
    assert estimate_overtaken_wait_s(0.2, []) == 0.2
    assert estimate_overtaken_wait_s(0.2, [(0.0, inf)]) == 0.2


def test_calls_of_higher_rank_stretch_the_whole_wait():
    """Guards against calls that are queued and then delayed for too long."""
    wait_s = estimate_overtaken_wait_s(0.2, [(0.2, inf)])
    assert wait_s == pytest.approx(0.2 / (1.0 - ARRIVAL_BURST_FACTOR * 0.2))


def test_overtaking_ends_with_its_window():
    """Guards against long work refused for calls that cannot overtake it."""
    wait_s = estimate_overtaken_wait_s(0.3, [(0.4, 0.1)])
    assert wait_s == pytest.approx(0.3 + ARRIVAL_BURST_FACTOR * 0.4 * 0.1)


def test_wait_shorter_than_the_window_is_stretched_by_all_of_it():
    """Guards against an estimate that ignores part of the overtaking load."""
    wait_s = estimate_overtaken_wait_s(0.05, [(0.4, 0.2)])
    assert wait_s == pytest.approx(0.05 / (1.0 - ARRIVAL_BURST_FACTOR * 0.4))


def test_overtaking_load_above_the_capacity_is_limited():
    """Guards against an endless or negative wait under overload."""
    wait_s = estimate_overtaken_wait_s(0.2, [(2.0, inf), (1.0, inf)])
    assert wait_s == pytest.approx(0.2 / (1.0 - MAX_OVERTAKING_SHARE))
