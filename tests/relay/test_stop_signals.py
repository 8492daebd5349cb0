"""Tests of signals that reach a daemon while it is stopping."""

import os
import signal
from contextlib import contextmanager

import pytest
import trio
from relay_builders import make_route
from relay_fleet import RelayFleet

from catkinhollow.startup.held_signals import HANDLED_SIGNALS, HeldSignals

pytestmark = pytest.mark.processes


@contextmanager
def collected_signals():
    """Collect the signals that the daemon leaves to their default actions."""
    stray = []
    before = {
        number: signal.signal(number, lambda number, frame: stray.append(number))
        for number in HANDLED_SIGNALS
    }
    try:
        yield stray
    finally:
        for number, handler in before.items():
            signal.signal(number, handler)


@pytest.mark.parametrize("first", [signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize(
    "later", [[number] for number in HANDLED_SIGNALS] + [list(HANDLED_SIGNALS)]
)
async def test_signal_during_a_shutdown_cuts_off_no_request(nursery, first, later):
    """Guards against orders that end with a second signal (review/12)."""
    fleet = RelayFleet(nursery)
    fleet.configure(routes=[make_route(kind="unsafe")])
    with collected_signals() as stray:
        one = await fleet.start("one", service="shop", held_signals=HeldSignals())
        two = await fleet.start("two")
        await fleet.wait_linked()
        two.target.run_time_s = 0.6
        statuses = []

        async def send_post():
            statuses.append((await fleet.call("one", "c1", method="POST")).status)

        async with trio.open_nursery() as calls:
            calls.start_soon(send_post)
            await fleet.wait_until(lambda: two.target.runs)
            for number in [first, *later]:
                os.kill(os.getpid(), number)
                await trio.sleep(0.1)
        assert one.daemon.ready is False
        with trio.fail_after(one.settings.grace_s):
            await one.stopped.wait()
    assert statuses == [200]
    assert stray == []
