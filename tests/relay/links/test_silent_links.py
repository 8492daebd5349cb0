"""Tests of connections between daemons that stay open and carry nothing.

Daemons exchange frames through a network in virtual time. A connection carries
the frames of one direction.
"""

from collections import Counter
from math import inf

import pytest
import trio
from attrs import define, evolve
from relay_builders import make_answer, make_call, make_gate, make_peer

from catkinhollow.clock import TrioClock
from catkinhollow.events import EventManager
from catkinhollow.generated.relay import CallOutcome, Document
from catkinhollow.mesh.links import LinkDown, LinkUp
from catkinhollow.relay.admission.gate_service import Submission
from catkinhollow.relay.documents.document_table import STORE_SOURCE, DocumentTable
from catkinhollow.relay.documents.follower_election import FollowerElection
from catkinhollow.relay.links.link_plan import LinkPlan
from catkinhollow.relay.links.network import PeerNetwork
from catkinhollow.relay.placement.peers import PeerDirectory
from catkinhollow.timer import Timer

DELAY_S = 0.001
CONNECT_S = 0.004
# Time after which an acknowledged version is in force on every daemon.
APPLY_S = 2.0
# Time after a fault of the connections in which a version may be late.
UNSTABLE_S = 3.0
VERSIONS = 8
LARGE_BODY = bytes(60_000)


@define(eq=False)
class Connection:
    """Represent the connection that carries the frames to one peer."""

    up: bool = False
    silent: bool = False


class SimulatedLink:
    """Carry the frames of one daemon to its peers."""

    def __init__(self, network, address, timer):
        self.network = network
        self.address = address
        self.timer = timer
        self.connections = {}
        self.receiver = None
        self.resets = []
        self.progress = {}
        # What an earlier release would send in place of a status.
        self.release = lambda status: status

    def connect(self, address):
        if address not in self.connections:
            connection = Connection()
            self.connections[address] = connection
            self.timer.call_after(
                CONNECT_S, lambda: self._connected(address, connection)
            )

    def disconnect(self, address):
        connection = self.connections.pop(address, None)
        if connection is not None and connection.up:
            self.receiver(LinkDown(address=address))

    def reset(self, address):
        self.resets.append((trio.current_time(), address))
        self.disconnect(address)
        self.connect(address)

    def contacted(self, address):
        pass

    def send(self, address, frame, expires_s=inf):
        connection = self.connections.get(address)
        if connection is None or not connection.up:
            return False
        if frame.status is not None:
            frame = evolve(frame, status=self.release(frame.status))
        if not connection.silent:
            other = self.network.links[address]
            self.timer.call_after(DELAY_S, lambda: other.receiver(frame))
        return True

    async def run(self, receiver):
        self.receiver = receiver
        await trio.sleep_forever()

    def _connected(self, address, connection):
        if self.connections.get(address) is connection:
            connection.up = True
            self.receiver(LinkUp(address=address))


class Gate:
    """Report about a target, and answer each call at once."""

    def __init__(self):
        self.gate = make_gate()

    def submit(self, call, on_answer):
        on_answer(make_answer(call_id=call.call_id))
        return Submission(job=None, on_answer=on_answer, answered=True)

    def depart(self, lifetime, started_ms):
        raise AssertionError("no target departs")


class Fleet:
    """Run the networks of several daemons."""

    def __init__(self, nursery, names):
        self.timer = Timer(TrioClock())
        self.links = {}
        self.daemons = {}
        self.tables = {}
        nursery.start_soon(self.timer.run)
        records = [
            make_peer(name, failure_domain="abc"[number % 3]).record
            for number, name in enumerate(names)
        ]
        for own in records:
            link = SimulatedLink(self, own.address, self.timer)
            self.links[own.address] = link
            self.tables[own.address] = DocumentTable()
            network = self._make_network(own, records, link)
            self.daemons[own.address] = network
            nursery.start_soon(network.run)
        for network in self.daemons.values():
            self.timer.call_after(0.0, network.update_links)

    def _make_network(self, own, records, link):
        directory = PeerDirectory(own)
        for record in records:
            if record is not own:
                directory.put(record)
        plan = LinkPlan(directory)
        plan.set_services(["stock"])
        return PeerNetwork(
            incarnation=1 + len(self.daemons),
            directory=directory,
            documents=self.tables[own.address],
            gate=Gate(),
            link=link,
            plan=plan,
            election=FollowerElection(directory, 0.0),
            timer=self.timer,
            events=EventManager(),
            accepts=lambda _: True,
            is_configured=lambda: True,
            store_reached_s=lambda: trio.current_time(),
        )

    def write(self, revision):
        """Let the first daemon read a new version from the store."""
        document = Document(
            name="configuration/main", revision=revision, body=LARGE_BODY
        )
        next(iter(self.daemons.values())).offer_document(document, STORE_SOURCE)

    def revisions(self):
        return {
            address: table.revision("configuration/main")
            for address, table in self.tables.items()
        }

    def silence(self, is_silent):
        """Stop the open connections that the function chooses, for good."""
        for sender, link in self.links.items():
            for receiver, connection in link.connections.items():
                if is_silent(sender, receiver):
                    connection.silent = True

    def most_resets(self):
        """Return how often one connection was replaced at most."""
        resets = Counter(
            (link.address, address)
            for link in self.links.values()
            for _, address in link.resets
        )
        return max(resets.values(), default=0)


FIRST = "d0:1"
FAULTS = {
    "none": lambda sender, receiver: False,
    "all": lambda sender, receiver: True,
    "from one": lambda sender, receiver: sender == FIRST,
    "to one": lambda sender, receiver: receiver == FIRST,
    "one way": lambda sender, receiver: sender < receiver,
    "other way": lambda sender, receiver: sender > receiver,
    "some": lambda sender, receiver: int(sender[1:-2]) % 2 == 0,
}


@pytest.mark.parametrize("daemons", [9, 60])
@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("phase_s", [0.0, 0.35, 0.8])
async def test_versions_reach_all_daemons_after_open_links_went_silent(
    nursery, autojump_clock, daemons, fault, phase_s
):
    """Guards against daemons that stay behind their peers' dead links."""
    fleet = Fleet(nursery, [f"d{number}" for number in range(daemons)])
    await trio.sleep(8.0 + phase_s)
    fleet.write(1)
    await trio.sleep(APPLY_S)
    assert set(fleet.revisions().values()) == {1}
    fleet.silence(FAULTS[fault])
    late = []
    await trio.sleep(UNSTABLE_S - APPLY_S)
    for revision in range(2, 2 + VERSIONS):
        fleet.write(revision)
        await trio.sleep(APPLY_S)
        late += [
            (revision, address)
            for address, known in fleet.revisions().items()
            if known < revision
        ]
    assert late == []
    assert fleet.most_resets() <= 1
    nursery.cancel_scope.cancel()


def find_pair(fleet):
    """Return a daemon and a peer that it needs and that does not need it."""
    wanted = {address: network._wanted for address, network in fleet.daemons.items()}
    return next(
        (one, other)
        for one, peers in wanted.items()
        for other in sorted(peers)
        if one not in wanted[other] and one in fleet.links[other].connections
    )


async def test_call_lost_on_a_silent_link_is_reported_as_not_run(
    nursery, autojump_clock
):
    """Guards against orders of unknown outcome that never reached a gate."""
    fleet = Fleet(nursery, [f"d{number}" for number in range(60)])
    await trio.sleep(8.0)
    one, other = find_pair(fleet)
    fleet.silence(lambda sender, receiver: (sender, receiver) == (one, other))
    network, answers = fleet.daemons[one], []
    call = make_call(call_id=network.next_call_id(), budget_ms=5000)
    network.call(network.directory.by_address(other), call, answers.append)
    await trio.sleep(UNSTABLE_S)
    assert [answer.outcome for answer in answers] == [CallOutcome.NOT_RUN]
    nursery.cancel_scope.cancel()


async def test_announcements_of_a_peer_do_not_hide_a_dead_link(nursery, autojump_clock):
    """Guards against calls into a dead link while versions are written."""
    fleet = Fleet(nursery, [f"d{number}" for number in range(60)])
    await trio.sleep(8.0)
    one, other = find_pair(fleet)
    fleet.silence(lambda sender, receiver: (sender, receiver) == (one, other))
    fault_s = trio.current_time()
    network, answers = fleet.daemons[one], []
    peer = network.directory.by_address(other)
    for step in range(50):
        if step % 6 == 0:
            fleet.write(step + 1)
        call = make_call(call_id=network.next_call_id(), budget_ms=1000)
        network.call(peer, call, answers.append)
        await trio.sleep(0.1)
    resets = [at_s for at_s, address in fleet.links[one].resets if address == other]
    assert resets and resets[0] - fault_s <= UNSTABLE_S
    nursery.cancel_scope.cancel()


async def test_link_to_a_daemon_of_an_earlier_release_is_kept(nursery, autojump_clock):
    """Guards against resets without end while a release is rolled out."""
    fleet = Fleet(nursery, [f"d{number}" for number in range(9)])
    old = fleet.links[FIRST]
    old.release = lambda status: evolve(
        status, sent_ms=0, heard_ms=0, received=0, silent_ms=0
    )
    await trio.sleep(30.0)
    others = [link for link in fleet.links.values() if link is not old]
    assert not any(address == FIRST for link in others for _, address in link.resets)
    nursery.cancel_scope.cancel()
