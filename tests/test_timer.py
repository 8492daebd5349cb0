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
