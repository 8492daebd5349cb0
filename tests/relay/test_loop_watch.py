"""Tests of the report about a blocked loop."""

import trio

from catkinhollow.clock import TrioClock
from catkinhollow.relay.loop_watch import LoopWatch
from catkinhollow.timer import Timer


async def test_standstill_of_the_loop_is_logged(nursery, autojump_clock, caplog):
    """Guards against a late daemon whose logs do not say why."""
    timer = Timer(TrioClock())
    LoopWatch(timer)
    nursery.start_soon(timer.run)
    await trio.sleep(5.0)
    assert "loop was blocked" not in caplog.text
    autojump_clock.jump(1.0)
    await trio.sleep(1.0)
    assert caplog.text.count("loop was blocked") == 1
