"""Tests of membership and dissemination between many daemons."""

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from catkinhollow.generated.messages import MemberState, Quarantine
from tests.mesh_network import Network

ADDRESSES = [f"127.0.0.1:{port}" for port in range(7001, 7006)]
NODES = st.sampled_from(ADDRESSES)


class MeshMachine(RuleBasedStateMachine):
    """Guards against tables that diverge and revisions that go back.

    The network asserts at each start of service that the daemon enforces
    at least what any ready peer that answered had enforced or had heard
    of this address.
    """

    @initialize(seed=st.integers(0, 1000))
    def set_up(self, seed):
        self.network = Network(seed)
        self.network.newest = 1
        self.quarantines = set()
        for address in ADDRESSES:
            self.network.start(address, ADDRESSES)
        self.network.answer_from_store(self.network.nodes[ADDRESSES[0]])
        self.network.advance(10.0)

    @rule(address=NODES)
    def publish(self, address):
        self.network.newest += 1
        self.with_running(address, self.network.answer_from_store)

    @rule(address=NODES)
    def restart(self, address):
        self.network.start(address, ADDRESSES)

    @rule(address=NODES)
    def restart_with_clock_behind(self, address):
        self.network.start(address, ADDRESSES, incarnation=0)

    @rule(address=NODES)
    def kill(self, address):
        self.network.kill(address)

    @rule(address=NODES)
    def stop(self, address):
        if address in self.network.nodes:
            self.network.nodes[address].stopped = True

    @rule(address=NODES)
    def resume(self, address):
        node = self.network.nodes.get(address)
        if node is not None and node.stopped:
            self.network.resume(node)

    @rule(address=NODES)
    def leave(self, address):
        self.with_running(address, lambda node: self.network.call(node, "leave"))
        self.network.kill(address)

    @rule(address=NODES, version=st.integers(0, 3))
    def quarantine(self, address, version):
        item = Quarantine(
            service="s", version=str(version), move_started_ms=1, reason="bad"
        )
        node = self.network.nodes.get(address)
        if node is not None and not node.stopped:
            self.network.call(node, "quarantine", item)

    @rule(sides=st.lists(st.integers(0, 1), min_size=5, max_size=5))
    def partition(self, sides):
        self.network.sides = dict(zip(ADDRESSES, sides, strict=True))

    @rule(loss=st.sampled_from([0.0, 0.1, 0.4]))
    def lose(self, loss):
        self.network.loss = loss

    @rule(delay_s=st.sampled_from([0.01, 0.1, 1.0, 4.0, 15.0]))
    def advance(self, delay_s):
        before = {a: node.enforced for a, node in self.network.nodes.items()}
        self.network.advance(delay_s)
        for address, node in self.network.nodes.items():
            assert node.enforced >= before[address]

    @rule()
    def settle(self):
        network = self.network
        network.sides, network.loss = {}, 0.0
        for node in list(network.nodes.values()):
            if node.stopped:
                network.resume(node)
        network.advance(40.0)
        self.check_agreement()

    def teardown(self):
        if not hasattr(self, "network"):
            return
        for address in ADDRESSES:
            if address not in self.network.nodes:
                self.network.start(address, ADDRESSES)
        node = self.network.nodes[ADDRESSES[0]]
        if not node.stopped:
            self.network.answer_from_store(node)
        self.settle()
        self.network.answer_from_store(node)
        self.network.advance(10.0)
        for node in self.network.nodes.values():
            assert node.enforced == self.network.newest
            assert node.mesh.ready

    def with_running(self, address, action):
        node = self.network.nodes.get(address)
        if node is not None and not node.stopped:
            action(node)

    def check_agreement(self):
        nodes = self.network.nodes
        newest = max((node.enforced for node in nodes.values()), default=0)
        expected = dict.fromkeys(nodes, MemberState.ALIVE)
        known = set()
        for node in nodes.values():
            present = node.mesh.table.present()
            assert {r.address: r.state for r in present} == expected
            assert node.enforced == newest
            known.add(frozenset(q.version for q in node.mesh.quarantines))
        assert len(known) <= 1


MeshMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=40, stateful_step_count=25
)
TestMesh = MeshMachine.TestCase


def test_large_fleet_converges_within_the_stated_bounds():
    """Guards against floods, repeated snapshots and links that grow with N."""
    network = Network(7, count_bytes=True)
    addresses = [f"127.0.0.1:{port}" for port in range(8000, 8250)]
    network.newest = 1
    for address in addresses:
        network.start(address, addresses[:5])
    network.answer_from_store(network.nodes[addresses[0]])
    network.advance(20.0)
    nodes = list(network.nodes.values())
    assert all(node.mesh.ready for node in nodes)
    assert {len(node.mesh.table.present()) for node in nodes} == {len(nodes)}
    assert sum(len(node.mesh.links) for node in nodes) / len(nodes) < 8.5

    network.snapshots, network.messages, network.bytes = Counter(), Counter(), Counter()
    network.enforce(nodes[100], 2, 20_000)
    network.advance(4.0)
    assert {node.enforced for node in nodes} == {2}
    assert set(network.snapshots.values()) == {1}
    assert len(network.snapshots) == len(nodes) - 1
    # Besides one snapshot in and one out: 11 KB/s, and per second 8 pings
    # and acks, plus one announcement over each of 8 links.
    assert sum(network.bytes.values()) / len(nodes) < 2 * 20_000 + 4 * 11_000
    assert sum(network.messages.values()) / len(nodes) < 4 * 8 + 2 + 8 * 3
