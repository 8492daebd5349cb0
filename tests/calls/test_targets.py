"""Tests of slow start, the adaptive limit and ejection of one target."""

import pytest

from catkinhollow.calls.targets import Sample, TargetLimits, TargetStats


def make_stats(started_s=0.0, share=1.0):
    limits = TargetLimits(slow_start_s=10.0, max_in_flight=10, ingress_share=share)
    stats = TargetStats(slots=10, limits=limits, first_call_jitter=0.5)
    stats.restart(started_s, 0.0)
    return stats


def record_sample(stats, sample, now_s, count=1):
    for _ in range(count):
        stats.start()
        stats.finish(sample, 0.01, 9.0 if sample is Sample.SLOW else 1.0, 0.05, now_s)


def limit_at(stats, now_s):
    stats.refresh(now_s)
    return stats.limit


def test_slow_start_grows_from_one_to_the_slots():
    """Guards against full load on a target that has just started."""
    stats = make_stats()
    limits = [limit_at(stats, second) for second in range(11)]
    assert limits == [1, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10]
    assert limit_at(make_stats(started_s=-5.0), 0.0) == 5
    assert limit_at(make_stats(started_s=99.0), 0.0) == 1


@pytest.mark.parametrize("sample", [Sample.REFUSED, Sample.SLOW, Sample.FAILED])
def test_slow_start_follows_what_the_target_sustains(sample):
    """Guards against a ramp that ignores the results of attempts."""
    stats = make_stats()
    for second in range(1, 20):
        record_sample(stats, sample, float(second))
        record_sample(stats, Sample.CLEAN, second + 0.5)
    assert stats.limit == 1
    stats = make_stats()
    record_sample(stats, sample, 5.0)
    assert [limit_at(stats, now_s) for now_s in (5.0, 5.9, 8.5)] == [2, 2, 5]
    warm = make_stats(started_s=-99.0)
    record_sample(warm, sample, 1.0, count=6)
    assert (warm.is_cold, warm.limit) == (True, 1)
    assert limit_at(warm, 20.0) > 5


def test_single_refusals_shrink_a_warm_target_without_a_ramp():
    """Guards against treating a busy target as a cold one."""
    stats = make_stats(started_s=-99.0)
    record_sample(stats, Sample.REFUSED, 1.0)
    assert (stats.is_cold, stats.limit) == (False, 8)
    stats.in_flight = 5
    record_sample(stats, Sample.CLEAN, 1.1, count=10)
    assert stats.limit == 9


def test_cold_target_is_shared_among_ingress_daemons():
    """Guards against each ingress daemon using the whole cold limit."""
    stats, now_s, calls = make_stats(share=0.05), 0.0, 0
    while now_s < 2.0:
        now_s = max(now_s, stats.paused_until_s) + 0.01
        record_sample(stats, Sample.CLEAN, now_s)
        calls += 1
    assert 0.5 < calls * 0.01 / (2.0 * 0.05) < stats.ramp
    assert limit_at(stats, 11.0) == 10
    assert stats.paused_until_s == 0.0


def test_ejection_time_grows_and_the_target_returns_cold():
    """Guards against a failing target that soon gets the full load again."""
    stats, now_s = make_stats(started_s=-99.0), 0.0
    for length_s in (2.0, 4.0, 8.0):
        record_sample(stats, Sample.FAILED, now_s, count=5)
        assert stats.needs_ejection
        stats.eject(now_s)
        assert stats.limit == 0
        assert stats.ejected_until_s == now_s + length_s
        now_s += length_s
        assert limit_at(stats, now_s) == 1
