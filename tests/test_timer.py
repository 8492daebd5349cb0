"""Tests of the timer in virtual time."""

import trio

from catkinhollow.clock import TrioClock
from catkinhollow.timer import Timer


async def test_interval_and_delay_run_in_order(autojump_clock, nursery):
    """Guards against callbacks that run early, late or out of order."""
    timer = Timer(TrioClock())
    calls = []
    timer.subscribe(2.0, lambda: calls.append("interval"))
    timer.call_after(3.0, lambda: calls.append("delay"))
    nursery.start_soon(timer.run)
    await trio.sleep(5.0)
    assert calls == ["interval", "delay", "interval"]


async def test_cancelled_subscription_is_not_called(autojump_clock, nursery):
    """Guards against a callback that runs after its owner has cancelled it."""
    timer = Timer(TrioClock())
    calls = []
    subscription = timer.subscribe(1.0, lambda: calls.append(1))
    nursery.start_soon(timer.run)
    await trio.sleep(1.5)
    subscription.cancel()
    await trio.sleep(5.0)
    assert calls == [1]


async def test_earlier_callback_wakes_a_sleeping_timer(autojump_clock, nursery):
    """Guards against a timer that misses a callback added while it sleeps."""
    timer = Timer(TrioClock())
    calls = []
    timer.call_after(100.0, lambda: calls.append("late"))
    nursery.start_soon(timer.run)
    await trio.sleep(1.0)
    timer.call_after(1.0, lambda: calls.append("early"))
    await trio.sleep(1.5)
    assert calls == ["early"]


async def test_periodic_callbacks_share_wake_ups(autojump_clock, nursery):
    """Guards against a daemon that wakes up once for each of its checks."""
    timer = Timer(TrioClock())
    calls = []

    def record(name):
        calls.append((name, trio.current_time()))

    nursery.start_soon(timer.run)
    timer.subscribe(0.2, lambda: record("short"))
    await trio.sleep(0.015)
    timer.subscribe(0.2, lambda: record("offset"))
    timer.subscribe(1.0, lambda: record("long"))
    await trio.sleep(10.0)
    times = {time for _, time in calls}
    assert len(times) <= 51
    count = {name: sum(called == name for called, _ in calls) for name, _ in calls}
    assert 49 <= count["short"] <= 51 and 49 <= count["offset"] <= 51
    assert 9 <= count["long"] <= 10


async def test_one_shot_callback_is_never_early(autojump_clock, nursery):
    """Guards against a timeout that ends early with a periodic callback."""
    timer = Timer(TrioClock())
    calls = []
    nursery.start_soon(timer.run)
    timer.subscribe(1.0, lambda: None)
    started_s = trio.current_time()
    timer.call_after(1.001, lambda: calls.append(trio.current_time()))
    await trio.sleep(2.0)
    assert calls[0] - started_s >= 1.001


async def test_frequent_callbacks_do_not_hasten_periodic_ones(autojump_clock, nursery):
    """Guards against checks that run more often in a busy daemon."""
    timer = Timer(TrioClock())
    calls = []
    nursery.start_soon(timer.run)
    timer.subscribe(0.2, lambda: calls.append(1))
    for _ in range(1000):
        timer.call_after(0.0, lambda: None)
        await trio.sleep(0.01)
    assert 49 <= len(calls) <= 51
