"""Tests of late frames, from replaced links and ended processes."""

import pytest
from frame_network import WORK_S, FrameNetwork

from catkinhollow.generated.relay import CallOutcome

ADDRESSES = M1, M2, M3 = "m1:1", "m2:1", "m3:1"
RESTART_S = 0.3
# A restarted daemon is used again within this time.
REJOIN_S = 2.0


def restart(network, address, **changes):
    network.kill(address)
    network.time.advance(RESTART_S)
    network.start(address, **changes)


def place_orders(network, address, number):
    return [network.order(address) for _ in range(number)]


def test_orders_run_once_when_frames_of_a_killed_caller_arrive_late():
    """Guards against gates that forget running orders of the next process."""
    network = FrameNetwork()
    held = network.cut(M1)
    network.time.advance(2.6)
    restart(network, M1)
    network.heal(M1)
    network.time.advance(2.8)
    place_orders(network, M1, 8)
    network.time.advance(0.3)
    network.release(held)
    network.time.advance(0.3)
    held = network.cut(M1)
    network.time.advance(1.5)
    network.heal(M1)
    network.time.advance(0.4)
    network.release(held)
    network.time.advance(2 * WORK_S)
    network.check()
    assert network.outcomes() == {CallOutcome.ANSWERED: 8}


def links(network, sender, address):
    """Return the open connections that carry frames from one to another."""
    return [
        connection
        for connection in network.connections
        if connection.sender is network.processes[sender]
        and connection.address == address
        and not connection.closed
    ]


def hold(connections):
    for connection in connections:
        connection.held = True
    return connections


def test_restarted_daemon_is_used_although_its_clock_was_stepped_back():
    """Guards against peers that ignore a daemon whose start time is lower."""
    network = FrameNetwork()
    restart(network, M2, unix_step_ms=-3_600_000)
    network.time.advance(REJOIN_S)
    orders = place_orders(network, M2, 4) + place_orders(network, M1, 4)
    network.time.advance(2 * WORK_S)
    network.check()
    assert {order.outcome for order in orders} == {CallOutcome.ANSWERED}


@pytest.mark.parametrize("unix_step_ms", [0, -3_600_000])
def test_restarted_daemons_find_each_other_among_late_frames(unix_step_ms):
    """Guards against daemons that wait for each other's earlier processes."""
    network = FrameNetwork()
    held = network.cut(M1)
    network.time.advance(1.0)
    restart(network, M1)
    restart(network, M2, unix_step_ms=unix_step_ms)
    network.heal(M1)
    network.time.advance(0.001)
    network.release(held)
    network.time.advance(REJOIN_S)
    orders = place_orders(network, M1, 4) + place_orders(network, M2, 4)
    network.time.advance(2 * WORK_S)
    network.check()
    assert {order.outcome for order in orders} == {CallOutcome.ANSWERED}


def test_calls_of_a_killed_daemon_are_not_run():
    """Guards against targets that work for callers who are gone."""
    network = FrameNetwork()
    held = hold(links(network, M1, M2) + links(network, M1, M3))
    orders = place_orders(network, M1, 4)
    restart(network, M1)
    network.time.advance(REJOIN_S)
    network.release(held)
    network.time.advance(2 * WORK_S)
    assert [network.runs[order.request_id] for order in orders] == [0] * 4
