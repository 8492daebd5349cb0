"""Simulated network in virtual time for many Mesh objects."""

from collections import Counter
from heapq import heappop, heappush
from itertools import count
from random import Random

from attrs import define, field

from catkinhollow.codec import encode_without_none
from catkinhollow.events import FloorRaised
from catkinhollow.generated.messages import MemberRecord
from catkinhollow.generated.settings import PeerSettings
from catkinhollow.mesh.dissemination import Mesh
from catkinhollow.mesh.mesh_commands import (
    Connect,
    Disconnect,
    Reconnect,
    Send,
    SnapshotArrived,
)


def snapshot_bytes(revision, size=100):
    return str(revision).encode().ljust(size)


@define(eq=False)
class Node:
    """Represent one process of a daemon, with the expectations of the test.

    `required` is the revision that the daemon has to enforce when it becomes
    ready; `heard` has the newest revision that each peer announced to it.
    """

    address: str
    mesh: Mesh
    enforced: int = 0
    floor: int = 0
    alive: bool = True
    stopped: bool = False
    due_s: float = 0.0
    wanted: set = field(factory=set)
    inbox: list = field(factory=list)
    closed: list = field(factory=list)
    heard: Counter = field(factory=Counter)
    required: int = 0
    has_been_ready: bool = False


class Network:
    """Deliver messages with delay, loss and partitions."""

    def __init__(self, seed, *, count_bytes=False):
        self.random = Random(seed)
        self.now_s = 0.0
        self.loss = 0.0
        self.partition_of = {}
        self.nodes = {}
        self.newest = 0
        self.snapshots = Counter()
        self.announcements = 0
        self.reconnects = Counter()
        self.bytes = Counter()
        self._count_bytes = count_bytes
        self._links = set()
        self._silent_directions = set()
        self._events = []
        self._order = count()

    def start(self, address, seeds, *, incarnation=None):
        self.kill(address)
        if incarnation is None:
            incarnation = int(self.now_s * 1000)
        record = self.make_record(address, incarnation)
        random = Random(self.random.random())
        mesh = Mesh(record, seeds, PeerSettings(), random, self.now_s)
        node = self.nodes[address] = Node(address, mesh)
        self._run(node, mesh.tick(self.now_s))
        return node

    def make_record(self, address, incarnation):
        return MemberRecord(
            address=address, incarnation=incarnation, failure_domain="a", region="r"
        )

    def kill(self, address):
        node = self.nodes.pop(address, None)
        if node is not None:
            node.alive = False
            for link in [link for link in self._links if address in link]:
                self._close(link)

    def resume(self, node):
        node.stopped = False
        inbox, node.inbox = node.inbox, []
        for sender, envelope in inbox:
            self._deliver(sender, node, envelope)
        closed, node.closed = node.closed, []
        for address in closed:
            self._link_down(node, address)
        self._tick(node, node.due_s)

    def is_reachable(self, one, other):
        return self.partition_of.get(one, 0) == self.partition_of.get(other, 0)

    def silence_links(self, *, direction=lambda sender, receiver: True):
        """Let open links carry nothing any more; new ones work."""
        for one, other in map(sorted, self._links):
            for pair in ((one, other), (other, one)):
                if direction(*pair):
                    self._silent_directions.add(pair)

    def enforce(self, node, revision, size=100):
        if revision <= node.enforced or revision < node.floor:
            return
        node.enforced = revision
        mesh, now_s = node.mesh, self.now_s
        data = snapshot_bytes(revision, size)
        self._run(node, mesh.update_own(now_s, enforced_revision=revision))
        self._run(node, mesh.revision_available(revision, data, now_s))

    def answer_from_store(self, node):
        self.enforce(node, self.newest)
        node.required = max(node.required, self.newest)
        self._run(node, node.mesh.store_answered(self.newest, self.now_s))

    def call(self, node, method, *args):
        self._run(node, getattr(node.mesh, method)(*args, self.now_s))

    def advance(self, delay_s):
        end_s = self.now_s + delay_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action, args = heappop(self._events)
            action(*args)
        self.now_s = end_s

    def _schedule(self, delay_s, action, *args):
        self._schedule_at(self.now_s + delay_s, action, *args)

    def _schedule_at(self, time_s, action, *args):
        heappush(self._events, (time_s, next(self._order), action, args))

    def _run(self, node, commands):
        for command in commands:
            match command:
                case Send(address=address, envelope=envelope):
                    self._send(node, address, envelope)
                case Connect(address=address):
                    node.wanted.add(address)
                    self._schedule(self._delay_s(), self._dial, node, address)
                case Disconnect(address=address):
                    node.wanted.discard(address)
                    self._drop_unwanted(node, address)
                case Reconnect(address=address):
                    self.reconnects[node.address] += 1
                    self._close(frozenset((node.address, address)))
                case SnapshotArrived(revision=revision, data=data):
                    assert int(data) == revision
                    self.enforce(node, revision, len(data))
                case FloorRaised(revision=revision):
                    node.floor = max(node.floor, revision)
        if node.mesh.ready and not node.has_been_ready:
            node.has_been_ready = True
            assert node.enforced >= node.required
        if node.due_s <= self.now_s or node.mesh.due_s < node.due_s:
            node.due_s = max(self.now_s + 0.001, node.mesh.due_s)
            self._schedule_at(node.due_s, self._tick, node, node.due_s)

    def _tick(self, node, due_s):
        if node.alive and not node.stopped and due_s == node.due_s:
            self._run(node, node.mesh.tick(self.now_s))

    def _delay_s(self):
        return self.random.uniform(0.001, 0.02)

    def _dial(self, node, address):
        if not node.alive or address not in node.wanted:
            return
        link = frozenset((node.address, address))
        if address in self.nodes and self.is_reachable(*link) and not node.stopped:
            self._links.add(link)
            self._run(node, node.mesh.link_up(address, self.now_s))
        else:
            self._schedule(1.0, self._dial, node, address)

    def _drop_unwanted(self, node, address):
        link = frozenset((node.address, address))
        peer = self.nodes.get(address)
        if link in self._links and (peer is None or node.address not in peer.wanted):
            self._close(link)

    def _close(self, link):
        self._links.discard(link)
        self._silent_directions -= {tuple(link), tuple(link)[::-1]}
        for address in sorted(link):
            node = self.nodes.get(address)
            (other,) = link - {address}
            if node is not None and node.stopped:
                node.closed.append(other)
            elif node is not None:
                self._link_down(node, other)

    def _link_down(self, node, address):
        if frozenset((node.address, address)) not in self._links:
            self._run(node, node.mesh.link_down(address, self.now_s))
            if address in node.wanted:
                self._schedule(0.1, self._dial, node, address)

    def _send(self, node, address, envelope):
        body = envelope.ack or envelope.join_reply
        known_revision = 0
        if body is not None and body.ready:
            known_revision = max(node.enforced, node.heard[address])
        if self._count_bytes:
            size = len(encode_without_none(envelope))
            gossip = envelope.gossip
            self.announcements += gossip is not None and gossip.revision > 0
            self.bytes[node.address] += size
            self.bytes[address] += size
        if self.random.random() >= self.loss:
            self._schedule(
                self._delay_s(), self._arrive, node, address, envelope, known_revision
            )

    def _arrive(self, sender, address, envelope, known_revision):
        node = self.nodes.get(address)
        link = frozenset((sender.address, address))
        if node is None or link not in self._links or not self.is_reachable(*link):
            return
        if (sender.address, address) in self._silent_directions:
            return
        if node.stopped:
            node.inbox.append((sender.address, envelope))
            return
        node.required = max(node.required, 0 if node.has_been_ready else known_revision)
        self._deliver(sender.address, node, envelope)

    def _deliver(self, sender, node, envelope):
        probe = envelope.ping or envelope.ack
        if probe is not None:
            node.heard[sender] = max(node.heard[sender], probe.revision)
        if envelope.snapshot_reply is not None and envelope.snapshot_reply.snapshot:
            self.snapshots[node.address] += 1
        if sender not in node.mesh.links:
            self._run(node, node.mesh.link_up(sender, self.now_s))
        self._run(node, node.mesh.receive(envelope, self.now_s))
