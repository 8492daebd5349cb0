"""Tests of late frames, from replaced links and ended processes."""

from functools import partial
from random import Random

import pytest
from frame_network import CONNECT_S, WORK_S, FrameNetwork

from catkinhollow.generated.relay import CallOutcome, Departure, Frame, Status

ADDRESSES = M1, M2, M3 = "m1:1", "m2:1", "m3:1"
SEEDS = 40
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


def test_late_status_of_a_replaced_link_confirms_no_answer():
    """Guards against "not run" because of an outdated list of open calls."""
    network = FrameNetwork(["m1", "m2"])
    caller = network.processes[M1]
    late = hold(links(network, M1, M2))
    caller.peers.broadcast_status()
    caller.link.reset(M2)
    network.time.advance(0.1)
    order = network.order(M1)
    # The answer is lost with the link that carries it.
    hold(links(network, M2, M1))
    network.time.advance(WORK_S + 0.01)
    network.release(late)
    network.time.advance(0.01)
    network.processes[M2].link.reset(M1)
    caller.link.reset(M2)
    network.time.advance(0.1)
    network.check()
    assert order.outcome is CallOutcome.ANSWERED


def test_late_first_status_of_a_replaced_link_cancels_no_call():
    """Guards against running orders that the gate gives up and forgets."""
    network = FrameNetwork(["m1", "m2"])
    caller = network.processes[M1]
    caller.link.reset(M2)
    network.time.advance(CONNECT_S)
    late = hold(links(network, M1, M2))
    caller.link.reset(M2)
    network.time.advance(0.1)
    order = network.order(M1)
    network.time.advance(0.1)
    network.release(late)
    network.time.advance(0.01)
    caller.link.reset(M2)
    network.time.advance(2 * WORK_S)
    network.check()
    assert order.outcome is CallOutcome.ANSWERED


def test_departure_in_a_late_status_is_kept():
    """Guards against a departed target that a restarted daemon uses again."""
    process = FrameNetwork().processes[M1]
    departed = []
    process.peers._gate.depart = lambda *departure: departed.append(departure)
    earlier = process.peers._processes.running(M2).incarnation - 1
    departure = Departure(lifetime="t1", started_ms=5)
    status = Status(digest=0, departures=[departure])
    process.receive(Frame(sender=M2, incarnation=earlier, link=1, status=status))
    assert departed == [("t1", 5)]


def test_restarted_caller_is_recognized_over_a_link_that_went_silent():
    """Guards against a gate that refuses all calls of a restarted daemon.

    The gate does not need the daemon, so that it does not watch its own link.
    """
    network = FrameNetwork(["m1", "m2"], passive=[M2])
    hold(links(network, M2, M1))
    restart(network, M1)
    network.time.advance(3.0)
    orders = place_orders(network, M1, 4)
    network.time.advance(2 * WORK_S)
    network.check()
    assert {order.outcome for order in orders} == {CallOutcome.ANSWERED}


@pytest.mark.parametrize("late_s", [0.5, 10.0, 90.0])
def test_call_that_was_sent_elsewhere_is_never_run(late_s):
    """Guards against orders that run again when a long partition ends."""
    network = FrameNetwork()
    caller = network.processes[M1]
    held = hold(links(network, M1, M2))
    orders = place_orders(network, M1, 4)
    caller.link.reset(M2)
    network.time.advance(late_s)
    caller.link.reset(M2)
    network.time.advance(0.1)
    network.release(held)
    network.time.advance(2 * WORK_S)
    network.check()
    assert {order.outcome for order in orders} == {CallOutcome.ANSWERED}


class Disturbances:
    """Place orders and disturb daemons at random times that overlap."""

    SECONDS = 30.0
    ORDERS_PER_S = 4.0
    FAULTS_PER_S = 0.7

    def __init__(self, seed):
        self.random = Random(seed)
        # The others link to the one that needs no peer.
        passive = self.random.sample(ADDRESSES, self.random.randint(0, 1))
        self.network = FrameNetwork(passive=passive)
        # Most faults hit the same daemon, so that they meet each other.
        self._victim = self.random.choice(ADDRESSES)

    def run(self):
        for rate, event in (
            (self.ORDERS_PER_S, self._order),
            (self.FAULTS_PER_S, self._disturb),
        ):
            for _ in range(int(rate * self.SECONDS)):
                at_s = self.random.uniform(0.0, self.SECONDS)
                self.network.time.schedule(at_s, event)
        self.network.time.advance(self.SECONDS)
        self._end_faults()
        self.network.check()

    def _order(self):
        address = self._choose()
        if address in self.network.processes:
            self.network.order(address)

    def _disturb(self):
        fault = self.random.choice(
            [
                self._cut,
                self._cut,
                self._kill,
                self._pause,
                self._replace,
                self._silence,
            ]
        )
        fault(self._choose(), self.random.choice([0.2, 0.8, 1.5, 3.0]))

    def _choose(self):
        is_victim = self.random.random() < 0.7
        return self._victim if is_victim else self.random.choice(ADDRESSES)

    def _cut(self, address, seconds):
        """Cut a daemon off; each connection is held for a while longer."""
        held = self.network.cut(address)
        time = self.network.time
        time.schedule(seconds, lambda: self.network.heal(address))
        for connection in held:
            late_s = seconds + self.random.uniform(0.0, 5.0)
            time.schedule(late_s, partial(self.network.release, [connection]))

    def _kill(self, address, seconds):
        if address in self.network.processes:
            self.network.kill(address)
            step_ms = self.random.choice([0, 0, -60_000])
            start = partial(self.network.start, address, unix_step_ms=step_ms)
            self.network.time.schedule(seconds, start)

    def _pause(self, address, seconds):
        process = self.network.processes.get(address)
        if process is not None:
            process.timer.paused = True
            self.network.time.schedule(seconds, process.timer.resume)

    def _replace(self, address, seconds):
        for process in self.network.processes.values():
            if address in process.link.connections:
                process.timer.run(partial(process.link.reset, address))

    def _silence(self, address, seconds):
        """Let one link of a daemon carry nothing any more, for good."""
        if address in self.network.processes:
            hold(links(self.network, address, self.random.choice(ADDRESSES)))

    def _end_faults(self):
        """Let all faults end, and expect that all daemons are in touch."""
        self.network.time.advance(15.0)
        orders = [self.network.order(address) for address in ADDRESSES]
        self.network.time.advance(2 * WORK_S)
        assert [order.outcome for order in orders] == [CallOutcome.ANSWERED] * 3


@pytest.mark.parametrize("batch", range(8))
def test_orders_run_once_and_not_run_is_true_whatever_arrives_late(batch):
    """Guards against orders that run twice or are falsely refused.

    Links are cut and replaced, daemons killed, restarted and paused, and
    frames are delivered after newer ones.
    """
    for seed in range(SEEDS * batch, SEEDS * (batch + 1)):
        print("seed", seed)
        Disturbances(seed).run()
