"""Tests of how handlers learn that a caller has disconnected."""

import trio

from catkinhollow.relay.disconnection import Disconnection


async def test_disconnection_wakes_all_that_wait():
    """Guards against a request that goes on for a caller that has left."""
    disconnection, event = Disconnection(), trio.Event()
    disconnection.subscribe(event)
    assert not disconnection.happened
    disconnection.set()
    with trio.fail_after(1.0):
        await disconnection()
        await event.wait()
    assert disconnection.happened


async def test_late_subscriber_is_told_at_once():
    """Guards against an attempt that waits for a caller that left before."""
    disconnection, event = Disconnection(), trio.Event()
    disconnection.set()
    disconnection.subscribe(event)
    assert event.is_set()


async def test_unsubscribed_event_is_left_alone():
    """Guards against the memory of all attempts of a long connection."""
    disconnection, event = Disconnection(), trio.Event()
    disconnection.subscribe(event)
    disconnection.unsubscribe(event)
    disconnection.unsubscribe(event)
    disconnection.set()
    assert not event.is_set()
