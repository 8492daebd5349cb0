"""Tests of the notice of processes without CPU time."""

import os
import time
from types import SimpleNamespace

import trio

from catkinhollow.clock import TrioClock
from catkinhollow.testbed import soak_stalls
from catkinhollow.testbed.soak_stalls import (
    read_waited_s,
    watch_stalls,
    watch_starvation,
)


async def test_blocked_test_process_is_noticed(nursery):
    """Guards against daemons that are blamed for a blocked test process."""
    stalls = []
    nursery.start_soon(watch_stalls, TrioClock(), lambda *span: stalls.append(span))
    await trio.sleep(0.1)
    time.sleep(0.5)
    await trio.sleep(0.1)
    assert any(end_s - begin_s >= 0.4 for begin_s, end_s in stalls)


async def test_starvation_of_a_daemon_is_recorded(nursery, monkeypatch):
    """Guards against daemons that are blamed for a busy machine."""
    process = SimpleNamespace(running=True, process=SimpleNamespace(pid=1))
    fleet = SimpleNamespace(members={"d0": SimpleNamespace(child=process)})
    waits = iter([0.1, 0.4, 1.6])
    monkeypatch.setattr(soak_stalls, "read_waited_s", lambda _: next(waits, 1.6))
    starved = []
    started_s = trio.current_time()
    nursery.start_soon(
        watch_starvation, fleet, TrioClock(), lambda *span: starved.append(span)
    )
    await trio.sleep(1.5)
    [(name, begin_s, end_s)] = starved
    assert name == "d0"
    assert 1.2 <= end_s - begin_s <= 1.5
    assert end_s - started_s >= 0.7


def test_wait_for_a_core_is_read():
    """Guards against a format of the kernel that is not understood."""
    assert read_waited_s(os.getpid()) >= 0.0
    assert read_waited_s(2**30) == 0.0
