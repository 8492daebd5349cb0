"""Simulate daemons whose connections hold frames up and deliver them late.

All daemons share one virtual time. A connection carries the frames of one
direction in order; what it holds is delivered even if its sender has been
killed or has replaced it, as the kernel does.
"""

import types
from collections import Counter, deque
from functools import partial
from heapq import heappop, heappush
from itertools import count
from math import inf

from attrs import define, field
from relay_builders import make_answer, make_call, make_gate, make_peer

from catkinhollow.events import EventManager
from catkinhollow.generated.relay import CallOutcome
from catkinhollow.mesh.links import LinkDown, LinkUp
from catkinhollow.relay.admission.gate_service import Submission
from catkinhollow.relay.documents.document_table import DocumentTable
from catkinhollow.relay.documents.follower_election import FollowerElection
from catkinhollow.relay.links.link_plan import LinkPlan
from catkinhollow.relay.links.network import PeerNetwork
from catkinhollow.relay.placement.peers import PeerDirectory
from catkinhollow.timer import Subscription

DELAY_S = 0.001
CONNECT_S = 0.004
RETRY_S = 0.2
UNIX_START_MS = 1_700_000_000_000
WORK_S = 1.0
BUDGET_MS = 4000
MAX_GATES = 3


class VirtualTime:
    """Run callbacks in the order of their virtual due times."""

    def __init__(self):
        self.now_s = 100.0
        self._due = []
        self._sequence = count()

    def schedule(self, delay_s, callback):
        heappush(self._due, (self.now_s + delay_s, next(self._sequence), callback))

    def advance(self, seconds):
        end_s = self.now_s + seconds
        while self._due and self._due[0][0] <= end_s:
            self.now_s, _, callback = heappop(self._due)
            callback()
        self.now_s = end_s


@define(eq=False)
class ProcessTimer:
    """Serve as the timer of one process, which may be paused or killed."""

    time: VirtualTime
    unix_step_ms: int = 0
    alive: bool = True
    paused: bool = False
    _waiting: deque = field(factory=deque)

    @property
    def clock(self):
        return self

    def monotonic(self):
        return self.time.now_s

    boottime = monotonic

    def unix_ms(self):
        return UNIX_START_MS + int(self.time.now_s * 1000) + self.unix_step_ms

    def run(self, callback):
        """Run a callback now, or when the process is continued."""
        if self.paused:
            self._waiting.append(callback)
        elif self.alive:
            callback()

    def resume(self):
        self.paused = False
        while self._waiting and not self.paused:
            self.run(self._waiting.popleft())

    def call_after(self, delay_s, callback):
        subscription = Subscription(callback, None)

        def run():
            if not subscription.cancelled:
                callback()

        self.time.schedule(delay_s, lambda: self.run(run))
        return subscription

    def subscribe(self, interval_s, callback):
        def run():
            callback()
            self.call_after(interval_s, run)

        return self.call_after(interval_s, run)


@define(eq=False)
class Connection:
    """Carry frames from one process to another, in order."""

    sender: "Process"
    address: str
    receiver: "Process | None" = None
    closed: bool = False
    held: bool = False
    frames: deque = field(factory=deque)

    def deliver(self):
        """Deliver what has been sent, unless it is held up."""
        while self.frames and not self.held:
            frame = self.frames.popleft()
            self.receiver.timer.run(partial(self.receiver.receive, frame))


class SimulatedLink:
    """Carry the frames of one process to its peers."""

    progress = types.MappingProxyType({})

    def __init__(self, network, process):
        self._network = network
        self._process = process
        self.connections = {}
        self.receiver = None

    def connect(self, address):
        if address not in self.connections:
            connection = Connection(self._process, address)
            self.connections[address] = connection
            self._process.timer.call_after(CONNECT_S, lambda: self._dial(connection))

    def disconnect(self, address):
        connection = self.connections.pop(address, None)
        if connection is not None:
            connection.closed = True
            if connection.receiver is not None:
                self.receiver(LinkDown(address=address))

    def reset(self, address):
        self.disconnect(address)
        self.connect(address)

    def contacted(self, address):
        pass

    def send(self, address, frame, expires_s=inf):
        connection = self.connections.get(address)
        if connection is None or connection.receiver is None:
            return False
        connection.frames.append(frame)
        self._network.time.schedule(DELAY_S, connection.deliver)
        return True

    async def run(self, receiver):
        self.receiver = receiver
        await _sleep_forever()

    def _dial(self, connection):
        if connection.closed:
            return
        receiver = self._network.processes.get(connection.address)
        is_cut = self._network.is_cut(self._process.address, connection.address)
        if receiver is None or is_cut:
            self._process.timer.call_after(RETRY_S, lambda: self._dial(connection))
            return
        connection.receiver = receiver
        self._network.connections.append(connection)
        self.receiver(LinkUp(address=connection.address))


@types.coroutine
def _sleep_forever():
    yield


class Gate:
    """Run each call at a target for a fixed time."""

    def __init__(self, timer, runs):
        self.gate = make_gate(timer.monotonic(), slots=9)
        self._timer = timer
        self._runs = runs

    def submit(self, call, on_answer):
        # The target goes on with a run when the daemon is killed.
        self._runs[call.request_id] += 1
        submission = Submission(job=None, on_answer=on_answer)
        self._timer.call_after(WORK_S, lambda: self._finish(call, submission))
        return submission

    def cancel(self, submission):
        submission.answered = True

    def depart(self, lifetime, started_ms):
        raise AssertionError("no target departs")

    def _finish(self, call, submission):
        if not submission.answered:
            submission.answered = True
            submission.on_answer(make_answer(call_id=call.call_id))


class Process:
    """Run the network of one daemon until it is killed."""

    def __init__(self, network, record, unix_step_ms):
        self.address = record.address
        self.timer = ProcessTimer(network.time, unix_step_ms)
        self.link = SimulatedLink(network, self)
        directory = PeerDirectory(record)
        for other in network.records:
            if other is not record:
                directory.put(other)
        plan = LinkPlan(directory)
        plan.set_services(["stock"])
        if record.address in network.passive:
            plan.wanted = lambda now_s: set()
        self.peers = PeerNetwork(
            incarnation=self.timer.unix_ms(),
            directory=directory,
            documents=DocumentTable(),
            gate=Gate(self.timer, network.runs),
            link=self.link,
            plan=plan,
            election=FollowerElection(directory, 0.0),
            timer=self.timer,
            events=EventManager(),
            accepts=lambda _: True,
            is_configured=lambda: True,
            store_reached_s=self.timer.monotonic,
        )
        self._running = self.peers.run()
        self._running.send(None)
        self.timer.call_after(0.0, self.peers.update_links)

    def receive(self, frame):
        if self.timer.alive:
            self.link.receiver(frame)

    def kill(self):
        self.timer.alive = False
        self._running.close()


@define(eq=False)
class Order:
    """Represent an order that must not run twice, and its outcome."""

    request_id: str
    process: Process
    outcome: CallOutcome | None = None
    tried: set = field(factory=set)
    sent: object = None


class FrameNetwork:
    """Run daemons, place orders at them and disturb their connections."""

    def __init__(self, names=("m1", "m2", "m3"), *, passive=()):
        self.time = VirtualTime()
        # Addresses of daemons that need no peer, so that they watch no link.
        self.passive = passive
        self.records = [make_peer(name).record for name in names]
        self.processes = {}
        self.connections = []
        self.runs = Counter()
        self.orders = []
        self._cut = set()
        for record in self.records:
            self.start(record.address)
        self.time.advance(3.0)

    def start(self, address, *, unix_step_ms=0):
        record = next(one for one in self.records if one.address == address)
        self.processes[address] = Process(self, record, unix_step_ms)

    def kill(self, address):
        """Kill a process; what it has sent stays in its connections.

        Over a connection that is held up, its sender does not learn of it.
        """
        process = self.processes.pop(address)
        process.kill()
        for connection in self.connections:
            if connection.receiver is process and not connection.held:
                self._break(connection)

    def is_cut(self, *addresses):
        return not self._cut.isdisjoint(addresses)

    def cut(self, address):
        """Hold the open connections of a daemon, and let it open no others."""
        self._cut.add(address)
        held = [
            connection
            for connection in self.connections
            if not connection.held
            and address in (connection.sender.address, connection.address)
        ]
        for connection in held:
            connection.held = True
        return held

    def heal(self, address):
        """Let new connections work; the held ones stay held."""
        self._cut.discard(address)

    def release(self, held):
        """Deliver what connections hold."""
        for connection in held:
            connection.held = False
            if connection.receiver.timer.alive:
                connection.deliver()
            else:
                self._break(connection)

    def order(self, address):
        """Place an order at a daemon."""
        order = Order(f"order-{len(self.orders)}", self.processes[address])
        self.orders.append(order)
        self._send(order)
        if order.outcome is None:
            timer = order.process.timer
            timer.call_after(BUDGET_MS / 1000.0, lambda: self._give_up(order))
        return order

    def check(self):
        """Check that orders run once and that "not run" is true."""
        for order in self.orders:
            runs = self.runs[order.request_id]
            assert runs <= 1, f"{order.request_id} ran {runs} times"
            if order.outcome is CallOutcome.NOT_RUN:
                assert runs == 0, f"{order.request_id} was refused and ran"
            if order.outcome is CallOutcome.ANSWERED:
                assert runs == 1, f"{order.request_id} was answered and did not run"

    def outcomes(self):
        return Counter(order.outcome for order in self.orders)

    def _break(self, connection):
        connection.frames.clear()
        connection.sender.timer.run(partial(self._on_broken, connection))

    def _on_broken(self, connection):
        link = connection.sender.link
        if link.connections.get(connection.address) is connection:
            link.reset(connection.address)

    def _send(self, order):
        peers = order.process.peers
        own = peers.directory.own
        peer = next(
            (
                peer
                for peer in peers.directory
                if peer is not own
                and peer.accepts_calls
                and peer.record.address not in order.tried
            ),
            None,
        )
        if peer is None or len(order.tried) >= MAX_GATES:
            order.outcome = CallOutcome.NOT_RUN
            return
        order.tried.add(peer.record.address)
        call = make_call(
            peers.next_call_id(),
            request_id=order.request_id,
            idempotent=False,
            budget_ms=BUDGET_MS,
        )
        order.sent = None
        sent = peers.call(peer, call, partial(self._on_answer, order))
        if order.outcome is None and order.sent is None:
            order.sent = sent

    def _on_answer(self, order, answer):
        assert order.outcome is None, "an order has two answers"
        if answer.outcome is CallOutcome.NOT_RUN:
            self._send(order)
        else:
            order.outcome = answer.outcome

    def _give_up(self, order):
        if order.outcome is None:
            order.outcome = CallOutcome.UNKNOWN
            order.process.peers.cancel(order.sent)
