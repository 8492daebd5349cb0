"""Tests of the directory of daemons and of the network between them."""

from math import inf

import trio
from attrs import evolve
from relay_builders import (
    make_announcement,
    make_answer,
    make_call,
    make_gate,
    make_peer,
    make_report,
)

from catkinhollow.clock import TrioClock
from catkinhollow.codec import encode_message
from catkinhollow.events import EventManager
from catkinhollow.generated.relay import Departure, Document, Frame, GateState, Status
from catkinhollow.mesh.links import LinkDown, LinkUp
from catkinhollow.relay.admission.gate import Gate
from catkinhollow.relay.admission.gate_service import Submission
from catkinhollow.relay.documents.document_handler import (
    DocumentHandler,
    DocumentValidator,
)
from catkinhollow.relay.documents.document_sync import DocumentChanged
from catkinhollow.relay.documents.document_table import DocumentTable
from catkinhollow.relay.documents.follower_election import FollowerElection
from catkinhollow.relay.links.link_keeper import KEEP_CONTACTED_S
from catkinhollow.relay.links.link_plan import LinkPlan
from catkinhollow.relay.links.network import PeerNetwork
from catkinhollow.relay.links.remote_calls import ANSWER_TRANSFER_S
from catkinhollow.relay.organisations.access import AccessPolicy
from catkinhollow.relay.placement.peers import PeerDirectory
from catkinhollow.timer import Timer

FLEET = 40


class RecordingLink:
    """Record the peers that the network connects to."""

    def __init__(self):
        self.connects = []
        self.disconnects = []
        self.sent = []
        self.unreachable = set()
        self.receive = None
        self.resets = []
        self.progress = {}

    def connect(self, address):
        self.connects.append(address)

    def disconnect(self, address):
        self.disconnects.append(address)

    def contacted(self, address):
        pass

    def reset(self, address):
        self.resets.append(address)

    def send(self, address, frame, expires_s=inf):
        if address in self.unreachable:
            return False
        self.sent.append((address, frame))
        return True

    async def run(self, receiver):
        self.receive = receiver
        await trio.sleep_forever()


def make_directory(*names):
    directory = PeerDirectory(make_peer("own").record)
    for name in names:
        directory.put(make_peer(name).record)
    return directory


def names(peers):
    return sorted(peer.record.name for peer in peers)


def make_document(record, revision, *, deleted=False):
    return Document(
        name=f"daemons/{record.name}",
        revision=revision,
        deleted=deleted,
        body=b"" if deleted else encode_message(record),
    )


def test_daemon_always_knows_itself():
    """Guards against a daemon that can't place calls at its own target."""
    directory = make_directory("one")
    directory.put(evolve(directory.own.record, name="earlier name"))
    directory.remove("own")
    assert names(directory.for_service("stock")) == ["one", "own"]


def test_unchanged_record_keeps_the_state_of_the_peer():
    """Guards against a link that counts as down after a listing."""
    directory = make_directory("one")
    peer = directory.by_address("one:1")
    directory.put(make_peer("one").record)
    assert directory.by_address("one:1") is peer


def test_report_that_waited_for_the_link_does_not_replace_a_newer_one():
    """Guards against calls that are placed by the load of a second ago."""
    peer = make_peer("one")
    peer.update_report(make_report(running=1, taken_ms=2000), 2.1)
    peer.update_report(make_report(running=9, taken_ms=1000), 2.2)
    assert peer.report.running == 1
    peer.update_report(make_report(running=2, taken_ms=2100), 2.3)
    assert peer.report.running == 2


def test_changed_record_keeps_the_link_to_its_daemon():
    """Guards against calls that fail because a target has departed."""
    directory = make_directory("one")
    peer = directory.by_address("one:1")
    departure = Departure(lifetime="t1", started_ms=1)
    directory.put(evolve(peer.record, departures=[departure]))
    assert directory.by_address("one:1") is peer
    assert peer.record.departures == [departure]


def test_changed_record_moves_the_daemon():
    """Guards against calls to a daemon for the service that it had before."""
    directory = make_directory("one")
    record = make_peer("one", service="orders").record
    directory.put(evolve(record, address="one:2"))
    assert directory.by_address("one:1") is None
    assert names(directory.for_service("stock")) == ["own"]
    assert names(directory.for_service("orders")) == ["one"]


def test_reused_address_belongs_to_the_newest_record():
    """Guards against a peer that is never linked, beside another one."""
    directory = make_directory("old", "other")
    directory.put(evolve(make_peer("new").record, address="old:1"))
    assert directory.by_address("old:1").record.name == "new"
    assert names(directory.for_service("stock")) == ["new", "other", "own"]
    directory.remove("new")
    assert directory.by_address("old:1").record.name == "old"
    directory.remove("old")
    assert directory.by_address("old:1") is None
    assert names(directory.for_service("stock")) == ["other", "own"]


def make_network(link, timer, gate=None):
    directory = make_directory()
    return PeerNetwork(
        incarnation=1,
        directory=directory,
        documents=DocumentTable(),
        gate=gate,
        link=link,
        plan=LinkPlan(directory),
        election=FollowerElection(directory, 0.0),
        timer=timer,
        events=EventManager(),
        accepts=lambda _: True,
        is_configured=lambda: False,
        store_reached_s=lambda: -inf,
    )


async def test_listing_of_a_fleet_updates_each_link_once(autojump_clock):
    """Guards against starts whose cost is quadratic in the fleet."""
    timer = Timer(TrioClock())
    link = RecordingLink()
    network = make_network(link, timer)
    handler = DocumentHandler(
        failure_domain="a",
        validator=DocumentValidator(),
        table=DocumentTable(),
        ingress=None,
        gate=None,
        network=network,
        plan=None,
        versions=None,
        moves=None,
        access=AccessPolicy(),
    )
    records = [make_peer(f"peer{n}").record for n in range(FLEET)]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(timer.run)
        for revision, record in enumerate(records):
            document = make_document(record, revision)
            handler.apply(DocumentChanged(document=document, source="store"))
        await trio.sleep(0.1)
        linked = set(link.connects)
        assert len(link.connects) == len(linked)
        assert linked <= {record.address for record in records}
        removed = next(record for record in records if record.address in linked)
        document = make_document(removed, FLEET, deleted=True)
        handler.apply(DocumentChanged(document=document, source="store"))
        await trio.sleep(0.1)
        assert link.disconnects == [removed.address]
        nursery.cancel_scope.cancel()


def make_status(sender):
    status = Status(reply=True, digest=5, configured=True)
    return Frame(sender=sender, incarnation=1, status=status)


async def start_network(nursery, gate=None):
    """Return the link of a network that lacks documents and the store."""
    link = RecordingLink()
    network = make_network(link, Timer(TrioClock()), gate)
    nursery.start_soon(network.run)
    await trio.sleep(0.1)
    return link


async def test_documents_are_requested_from_the_next_peer_if_one_is_unreachable(
    nursery, autojump_clock
):
    """Guards against a request that was never sent and delays the next one."""
    link = await start_network(nursery)
    link.unreachable.add("gone:1")
    link.receive(make_status("gone:1"))
    link.receive(make_status("other:1"))
    assert [address for address, _ in link.sent] == ["other:1"]


async def test_documents_are_requested_from_the_next_peer_if_one_ends(
    nursery, autojump_clock
):
    """Guards against a request that is lost and delays the next one."""
    link = await start_network(nursery)
    link.receive(make_status("first:1"))
    link.receive(make_status("other:1"))
    assert [address for address, _ in link.sent] == ["first:1"]
    link.receive(LinkDown(address="first:1"))
    link.receive(make_status("other:1"))
    assert [address for address, _ in link.sent] == ["first:1", "other:1"]


class AnsweringGate:
    """Answer each call at once."""

    def __init__(self):
        self.gate = make_gate()
        self.departed = []

    def depart(self, lifetime, started_ms):
        self.departed.append((lifetime, started_ms))

    def submit(self, call, on_answer):
        on_answer(make_answer(call_id=call.call_id))
        return Submission(job=None, on_answer=on_answer, answered=True)


async def test_answer_on_a_replaced_link_is_sent_again(nursery, autojump_clock):
    """Guards against callers that wait for an answer that was dropped."""
    link = await start_network(nursery, AnsweringGate())
    link.receive(Frame(sender="peer:1", incarnation=1, call=make_call(7)))
    link.receive(LinkDown(address="peer:1"))
    link.receive(LinkUp(address="peer:1"))
    await trio.sleep(1.0)
    answers = [frame.answer.call_id for _, frame in link.sent if frame.answer]
    assert answers == [7, 7]


async def test_restarted_daemon_learns_that_its_target_has_left(
    nursery, autojump_clock
):
    """Guards against a target that is used again after a restart.

    A late announcement of the time before its departure reaches the new
    process, which has never heard of the departure.
    """
    gate = make_gate(lifetime="t1", started_ms=1000)
    gate.depart("t1", 1000)
    link = RecordingLink()
    network = make_network(link, Timer(TrioClock()), AnsweringGate())
    network.directory.put(make_peer("peer").record)
    nursery.start_soon(network.run)
    await trio.sleep(0.1)
    status = Status(reply=True, digest=0, report=gate.report(0.0))
    link.receive(Frame(sender="peer:1", incarnation=1, status=status))
    link.receive(LinkDown(address="peer:1"))
    link.sent.clear()
    link.receive(LinkUp(address="peer:1"))
    departures = link.sent[0][1].status.departures
    restarted = Gate()
    for departure in departures:
        restarted.depart(departure.lifetime, departure.started_ms)
    restarted.announce(make_announcement("t1", started_ms=1000), 0.2)
    assert restarted.state(0.2) is GateState.DRAINING
    restarted.announce(make_announcement("t1", started_ms=2000), 0.3)
    assert restarted.state(0.3) is GateState.SERVING


async def test_departures_of_a_status_reach_the_gate(nursery, autojump_clock):
    """Guards against departures that a peer reports in vain."""
    gate = AnsweringGate()
    link = await start_network(nursery, gate)
    departure = Departure(lifetime="t9", started_ms=5)
    status = Status(reply=True, digest=0, departures=[departure])
    link.receive(Frame(sender="peer:1", incarnation=1, status=status))
    assert gate.departed == [("t9", 5)]


async def test_link_that_lost_an_answer_is_replaced_unless_it_is_slow(
    nursery, autojump_clock
):
    """Guards against answers on a connection that silently carries nothing."""
    link = await start_network(nursery, AnsweringGate())
    link.receive(LinkUp(address="peer:1"))
    link.receive(Frame(sender="peer:1", incarnation=1, call=make_call(7)))
    status = Status(reply=True, digest=0, open_calls=[7])
    waiting = Frame(sender="peer:1", incarnation=1, status=status)
    link.receive(waiting)
    assert link.resets == []
    await trio.sleep(ANSWER_TRANSFER_S)
    link.progress = {"peer:1": 0.0}
    link.receive(waiting)
    assert link.resets == []
    link.progress = {}
    link.receive(waiting)
    assert link.resets == ["peer:1"]


async def test_link_is_not_closed_under_an_open_call(nursery, autojump_clock):
    """Guards against callers who lose an order to an idle link.

    Links that were opened for an early view of the fleet are closed later. On
    the calm large day one of them had just been chosen for a call.
    """
    link = RecordingLink()
    timer = Timer(TrioClock())
    network = make_network(link, timer, AnsweringGate())
    nursery.start_soon(timer.run)
    nursery.start_soon(network.run)
    await trio.sleep(0.1)
    # 40 daemons, of which this one does not need all.
    for number in range(FLEET):
        network.directory.put(make_peer(f"peer{number}", failure_domain="b").record)
    network.update_links()
    spare = next(
        peer
        for peer in network.directory
        if peer.record.address not in [*link.connects, "own:1"]
    )
    address = spare.record.address
    link.receive(make_status(address))
    link.receive(LinkUp(address=address))
    await trio.sleep(KEEP_CONTACTED_S - 1.5)
    answers = []
    network.call(spare, make_call(network.next_call_id()), answers.append)
    await trio.sleep(2 * KEEP_CONTACTED_S)
    assert address not in link.disconnects
    call = next(frame.call for _, frame in reversed(link.sent) if frame.call)
    answer = make_answer(call_id=call.call_id)
    link.receive(Frame(sender=address, incarnation=1, answer=answer))
    assert len(answers) == 1
    await trio.sleep(2 * KEEP_CONTACTED_S)
    assert address in link.disconnects
