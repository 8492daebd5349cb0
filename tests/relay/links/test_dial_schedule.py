"""Tests of how often a daemon tries to connect to a peer."""

from catkinhollow.relay.links.dial_schedule import DialSchedule


def attempts_within(schedule, seconds, step_s=0.5):
    """Return the times of the attempts if none of them succeeds."""
    started = [0.0]
    schedule.start(0.0)
    for step in range(1, int(seconds / step_s)):
        now_s = step * step_s
        if schedule.is_over(now_s):
            schedule.start(now_s)
            started.append(now_s)
    return started


def test_removed_peer_is_dialled_rarely():
    """Guards against processor time for connects to removed instances."""
    assert len(attempts_within(DialSchedule(), 30.0)) <= 8


def test_partitioned_peer_is_dialled_soon_after_a_short_partition():
    """Guards against a link that stays down after a partition of 2 s."""
    started = attempts_within(DialSchedule(), 30.0)
    assert any(2.0 <= at_s <= 3.5 for at_s in started)


def test_refused_connects_become_rare():
    """Guards against many connects per second to a closed port."""
    schedule = DialSchedule()
    first = schedule.start(0.0)
    for number in range(1, 8):
        last = schedule.start(number * 10.0)
    assert first.min_reconnect_s <= 0.5
    assert last.min_reconnect_s >= 1.0
    assert last.min_reconnect_s <= last.max_reconnect_s


def test_peer_that_sends_a_frame_is_dialled_at_once():
    """Guards against a restarted peer that waits for a long attempt."""
    schedule = DialSchedule()
    attempts_within(schedule, 30.0)
    schedule.start(30.0)
    assert not schedule.contacted(30.1)
    assert schedule.contacted(30.5)
    assert schedule.start(30.5).length_s <= 1.0


def test_connected_peer_is_dialled_quickly_after_it_is_lost():
    """Guards against a schedule that remembers failures for ever."""
    schedule = DialSchedule()
    attempts_within(schedule, 30.0)
    schedule.connected()
    assert schedule.start(40.0).length_s <= 1.0
