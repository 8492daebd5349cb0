"""Tests of membership and dissemination among many daemons."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from catkinhollow.generated.messages import (
    Envelope,
    Join,
    MemberRecord,
    MemberState,
    Quarantine,
)
from tests.mesh_network import Network

ADDRESSES = [f"127.0.0.1:{port}" for port in range(7001, 7006)]
NODES = st.sampled_from(ADDRESSES)


def make_quarantine(version):
    return Quarantine(service="s", version=version, move_started_ms=1, reason="bad")


class MeshMachine(RuleBasedStateMachine):
    """Guards against member tables that diverge and revisions that decrease.

    When a daemon becomes ready, the network asserts that it enforces at
    least the revision that any ready peer which answered it enforced, or
    knew to be enforced at its address.
    """

    @initialize(seed=st.integers(0, 1000))
    def set_up(self, seed):
        self.network = Network(seed)
        self.network.newest = 1
        for address in ADDRESSES:
            self.network.start(address, ADDRESSES)
        self.network.answer_from_store(self.network.nodes[ADDRESSES[0]])
        self.network.advance(10.0)

    @rule(address=NODES)
    def publish(self, address):
        self.network.newest += 1
        self.if_running(address, self.network.answer_from_store)

    @rule(address=NODES, incarnation=st.sampled_from([None, 0]))
    def restart(self, address, incarnation):
        self.network.start(address, ADDRESSES, incarnation=incarnation)

    @rule(address=NODES, leave=st.booleans())
    def end(self, address, leave):
        if leave:
            self.if_running(address, self.network.call, "leave")
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

    @rule(address=NODES, version=st.sampled_from("abc"))
    def quarantine(self, address, version):
        item = make_quarantine(version)
        self.if_running(address, self.network.call, "quarantine", item)

    @rule(sides=st.lists(st.integers(0, 1), min_size=5, max_size=5))
    def partition(self, sides):
        self.network.partition_of = dict(zip(ADDRESSES, sides, strict=True))

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
        network.partition_of, network.loss = {}, 0.0
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
        self.settle()
        node = self.network.nodes[ADDRESSES[0]]
        self.network.answer_from_store(node)
        self.network.advance(10.0)
        for node in self.network.nodes.values():
            assert node.enforced == self.network.newest
            assert node.mesh.ready

    def if_running(self, address, action, *arguments):
        node = self.network.nodes.get(address)
        if node is not None and not node.stopped:
            action(node, *arguments)

    def check_agreement(self):
        nodes = self.network.nodes
        newest = max((node.enforced for node in nodes.values()), default=0)
        expected = dict.fromkeys(nodes, MemberState.ALIVE)
        known = set()
        for node in nodes.values():
            present = node.mesh.table.present_members()
            assert {r.address: r.state for r in present} == expected
            assert node.enforced == newest
            known.add(frozenset(q.version for q in node.mesh.quarantines))
        assert len(known) <= 1


MeshMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=40, stateful_step_count=25
)
TestMesh = MeshMachine.TestCase


# Found by `make fuzz` in the round with seed 1209: (rule, arguments).
FUZZ_1209 = (
    *[("settle", {})] * 7,
    ("publish", {"address": ADDRESSES[0]}),
    *[("settle", {})] * 4,
    ("end", {"address": ADDRESSES[3], "leave": False}),
    ("resume", {"address": ADDRESSES[0]}),
    ("partition", {"sides": [0, 0, 0, 0, 0]}),
    ("end", {"address": ADDRESSES[2], "leave": False}),
    ("quarantine", {"address": ADDRESSES[0], "version": "a"}),
    ("partition", {"sides": [0, 0, 0, 0, 0]}),
    ("end", {"address": ADDRESSES[0], "leave": False}),
    ("lose", {"loss": 0.0}),
    ("lose", {"loss": 0.0}),
    ("end", {"address": ADDRESSES[0], "leave": True}),
    ("partition", {"sides": [0, 0, 0, 0, 0]}),
    ("partition", {"sides": [0, 1, 0, 0, 0]}),
    ("end", {"address": ADDRESSES[4], "leave": True}),
    ("resume", {"address": ADDRESSES[3]}),
    ("stop", {"address": ADDRESSES[3]}),
    ("restart", {"address": ADDRESSES[4], "incarnation": 0}),
    ("end", {"address": ADDRESSES[4], "leave": False}),
    ("lose", {"loss": 0.4}),
    ("quarantine", {"address": ADDRESSES[3], "version": "c"}),
    ("partition", {"sides": [1, 0, 1, 0, 0]}),
    ("publish", {"address": ADDRESSES[2]}),
    ("partition", {"sides": [0, 0, 0, 1, 1]}),
    ("quarantine", {"address": ADDRESSES[2], "version": "a"}),
    ("resume", {"address": ADDRESSES[0]}),
    ("stop", {"address": ADDRESSES[0]}),
    ("partition", {"sides": [0, 0, 1, 0, 0]}),
    ("partition", {"sides": [0, 1, 0, 0, 0]}),
    ("quarantine", {"address": ADDRESSES[2], "version": "a"}),
    ("quarantine", {"address": ADDRESSES[0], "version": "b"}),
    ("settle", {}),
)


def test_members_agree_after_most_have_ended():
    """Guards against a member that stays dead for others although it runs."""
    machine = MeshMachine()
    machine.set_up(seed=544)
    for name, arguments in FUZZ_1209:
        getattr(machine, name)(**arguments)
    machine.teardown()


def make_small_fleet():
    network = Network(3)
    network.newest = 1
    for address in ADDRESSES:
        network.start(address, ADDRESSES)
    network.answer_from_store(network.nodes[ADDRESSES[0]])
    network.advance(15.0)
    return network, [network.nodes[address] for address in ADDRESSES]


def present_states(node):
    return [record.state for record in node.mesh.table.present_members()]


def test_stopped_daemon_suspects_nobody_and_rejoins():
    """Guards against a resumed daemon that suspects others or stays dead."""
    network, (node, *others) = make_small_fleet()
    node.stopped = True
    network.advance(30.0)
    assert all(len(present_states(other)) == 4 for other in others)
    node.inbox.clear()
    network.resume(node)
    assert set(present_states(node)) == {MemberState.ALIVE}
    network.advance(1.0)
    assert all(present_states(other) == [MemberState.ALIVE] * 5 for other in others)


@pytest.mark.parametrize(
    "direction",
    [
        pytest.param(lambda sender, receiver: True, id="both ways"),
        pytest.param(lambda sender, receiver: sender < receiver, id="up"),
        pytest.param(lambda sender, receiver: sender > receiver, id="down"),
    ],
)
def test_links_that_go_silent_are_replaced(direction):
    """Guards against members that are lost for good with their links."""
    network = Network(4)
    network.newest = 1
    for address in ADDRESSES:
        network.start(address, ADDRESSES)
    network.answer_from_store(network.nodes[ADDRESSES[0]])
    network.advance(10.0)
    network.silence_links(direction=direction)
    network.newest = 2
    network.answer_from_store(network.nodes[ADDRESSES[0]])
    network.advance(6.0)
    nodes = network.nodes.values()
    assert [node.enforced for node in nodes] == [2] * len(ADDRESSES)
    network.advance(10.0)
    for node in nodes:
        states = {record.state for record in node.mesh.table.records.values()}
        assert states == {MemberState.ALIVE}
    assert sum(network.reconnects.values()) <= len(ADDRESSES) * len(ADDRESSES)


def test_links_at_rest_are_not_replaced():
    """Guards against new connections that no silence calls for."""
    network = Network(5)
    for address in ADDRESSES:
        network.start(address, ADDRESSES)
    network.answer_from_store(network.nodes[ADDRESSES[0]])
    network.advance(300.0)
    assert not network.reconnects


def test_leaving_daemon_tells_its_neighbours_at_once():
    """Guards against a leave message that waits for a tick after the exit."""
    network, (node, *others) = make_small_fleet()
    network.call(node, "leave")
    node.stopped = True
    network.advance(0.5)
    assert all(len(present_states(other)) == 4 for other in others)


def test_lost_quarantine_is_repaired():
    """Guards against a quarantine that is lost with its flooded messages."""
    network, nodes = make_small_fleet()
    network.loss = 1.0
    item = make_quarantine("v")
    network.call(nodes[0], "quarantine", item)
    network.advance(1.0)
    network.loss = 0.0
    network.advance(5.0)
    assert all(node.mesh.quarantines == [item] for node in nodes)


def test_joiner_learns_its_floor_from_a_neighbour():
    """Guards against a restarted daemon that serves an older revision."""
    network, nodes = make_small_fleet()
    for informed in nodes[:4]:
        network.start(ADDRESSES[4], [ADDRESSES[0]])
        informed.mesh.table.note_enforced_revision(ADDRESSES[4], 9)
        network.advance(5.0)
        joiner = network.nodes[ADDRESSES[4]]
        watched = informed.address in joiner.mesh.table.rings.successors(ADDRESSES[4])
        assert joiner.mesh.ready != (watched or informed is nodes[0])
        informed.mesh.table._enforced_revisions[ADDRESSES[4]] = 1


def test_join_replies_are_rate_limited_and_contain_the_floor():
    """Guards against a seed that sends its table to all daemons at once.

    Also guards against a joiner that does not learn its floor from the reply.
    """
    network, (seed, *_) = make_small_fleet()
    seed.mesh.table.note_enforced_revision("joiner", 9)
    seed.mesh.link_up("joiner", network.now_s)
    member = MemberRecord(
        address="joiner", incarnation=1, failure_domain="a", region="r"
    )
    join = Join(request_id=1, member=member)
    envelope = Envelope(sender="joiner", incarnation=1, join=join)
    replies = []
    for _ in range(25):
        commands = seed.mesh.receive(envelope, network.now_s)
        replies += [c.envelope.join_reply for c in commands if hasattr(c, "envelope")]
    assert [len(reply.members) for reply in replies] == [6] * 20 + [0] * 5
    assert all(reply.retry_after_ms >= 1000 for reply in replies[20:])
    assert replies[0].floor_revision == 9


def test_large_fleet_converges_within_the_stated_bounds():
    """Guards against traffic and links per daemon that grow with the fleet.

    Each daemon receives a snapshot once.
    """
    network = Network(7, count_bytes=True)
    addresses = [f"127.0.0.1:{port}" for port in range(8000, 8250)]
    network.newest = 1
    for address in addresses:
        network.start(address, addresses[:5])
    network.answer_from_store(network.nodes[addresses[0]])
    network.advance(20.0)
    nodes = list(network.nodes.values())
    assert all(node.mesh.ready for node in nodes)
    assert {len(node.mesh.table.present_members()) for node in nodes} == {len(nodes)}
    assert sum(len(node.mesh.links) for node in nodes) / len(nodes) < 8.5

    network.snapshots.clear()
    network.bytes.clear()
    network.announcements = 0
    network.enforce(nodes[100], 2, 20_000)
    network.advance(4.0)
    assert {node.enforced for node in nodes} == {2}
    assert set(network.snapshots.values()) == {1}
    assert len(network.snapshots) == len(nodes) - 1
    # Each daemon sends at most one announcement over each of its 8 links. The
    # traffic is one snapshot in, one out and 11 KB/s of other messages.
    assert 0 < network.announcements < 8 * len(nodes)
    assert sum(network.bytes.values()) / len(nodes) < 2 * 20_000 + 4 * 11_000
