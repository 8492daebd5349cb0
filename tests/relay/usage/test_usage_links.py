"""Tests of the links that carry counts to the holder."""

import trio
from relay_builders import make_gate, make_peer

from catkinhollow.clock import TrioClock
from catkinhollow.events import EventManager
from catkinhollow.generated.relay import Frame, Status, UsageBeacon, UsageMessage
from catkinhollow.mesh.links import LinkUp
from catkinhollow.relay.documents.document_table import DocumentTable
from catkinhollow.relay.documents.follower_election import FollowerElection
from catkinhollow.relay.links.link_plan import LinkPlan
from catkinhollow.relay.links.network import PeerNetwork
from catkinhollow.relay.placement.peers import PeerDirectory
from catkinhollow.timer import Timer

BEACON = UsageBeacon(address="holder:1", epoch=3, renewal=8)
FLEET = 40
MESSAGE = UsageMessage(beacon=BEACON, asks=True)


class RecordingLink:
    """Record what the network does with its links."""

    def __init__(self):
        self.connected = set()
        self.sent = []
        self.resets = []
        self.progress = {}
        self.receive = None

    def connect(self, address):
        self.connected.add(address)

    def disconnect(self, address):
        self.connected.discard(address)

    def contacted(self, address):
        pass

    def reset(self, address):
        self.resets.append(address)

    def send(self, address, frame, expires_s=0.0):
        self.sent.append((address, frame))
        return True

    async def run(self, receiver):
        self.receive = receiver
        await trio.sleep_forever()


class RecordingNews:
    """Record what the network passes on."""

    def __init__(self):
        self.beacon = BEACON
        self.heard = []
        self.received = []

    def hear(self, beacon):
        self.heard.append(beacon)

    def receive(self, address, incarnation, message):
        self.received.append((address, incarnation, message))


class StubGate:
    """Hold the gate whose reports are sent."""

    def __init__(self):
        self.gate = make_gate()

    def depart(self, lifetime, started_ms):
        pass


async def start_network(nursery, news):
    directory = PeerDirectory(make_peer("own").record)
    for number in range(FLEET):
        directory.put(make_peer(f"peer{number}").record)
    link = RecordingLink()
    timer = Timer(TrioClock())
    network = PeerNetwork(
        incarnation=1,
        directory=directory,
        documents=DocumentTable(),
        gate=StubGate(),
        link=link,
        plan=LinkPlan(directory),
        election=FollowerElection(directory, 0.0),
        timer=timer,
        events=EventManager(),
        accepts=lambda _: True,
        is_configured=lambda: False,
        store_reached_s=lambda: 0.0,
    )
    if news is not None:
        network.attach_usage(news)
    nursery.start_soon(timer.run)
    nursery.start_soon(network.run)
    await trio.sleep(0.1)
    return network, link


async def test_link_to_the_holder_is_opened_kept_and_closed(autojump_clock, nursery):
    """Guards against counts without a link, and links that stay for ever."""
    network, link = await start_network(nursery, RecordingNews())
    await trio.sleep(1.5)
    planned = set(link.connected)
    holder = next(
        address
        for number in range(FLEET)
        if (address := f"peer{number}:1") not in planned
    )
    assert not network.send_usage(holder, MESSAGE)
    assert holder in link.connected
    link.receive(LinkUp(address=holder))
    link.sent.clear()
    for _ in range(24):
        assert network.send_usage(holder, MESSAGE)
        await trio.sleep(1.25)
    assert holder in link.connected
    frames = [frame for address, frame in link.sent if address == holder]
    assert not any(frame.status for frame in frames)
    assert len(frames) == 24
    await trio.sleep(12.0)
    assert holder not in link.connected
    nursery.cancel_scope.cancel()


async def test_only_a_link_that_is_up_is_reset(autojump_clock, nursery):
    """Guards against connects that are broken off by their own reset."""
    network, link = await start_network(nursery, RecordingNews())
    network.send_usage("holder:1", MESSAGE)
    network.reset_usage("holder:1")
    assert link.resets == []
    link.receive(LinkUp(address="holder:1"))
    network.reset_usage("holder:1")
    assert link.resets == ["holder:1"]
    nursery.cancel_scope.cancel()


async def test_beacons_travel_in_statuses(autojump_clock, nursery):
    """Guards against daemons that do not know the holder."""
    news = RecordingNews()
    _, link = await start_network(nursery, news)
    link.receive(LinkUp(address="peer:1"))
    (status,) = [frame.status for _, frame in link.sent if frame.status]
    assert status.usage == BEACON
    heard = UsageBeacon(address="other:1", epoch=4, renewal=1)
    status = Status(reply=True, digest=0, usage=heard)
    link.receive(Frame(sender="peer:1", incarnation=5, status=status))
    link.receive(Frame(sender="peer:1", incarnation=5, usage=MESSAGE))
    assert news.heard == [heard]
    assert news.received == [("peer:1", 5, MESSAGE)]
    nursery.cancel_scope.cancel()


async def test_daemon_without_reports_ignores_them(autojump_clock, nursery):
    """Guards against a fleet in which only some daemons count."""
    _, link = await start_network(nursery, None)
    link.receive(LinkUp(address="peer:1"))
    status = Status(reply=True, digest=0, usage=BEACON)
    link.receive(Frame(sender="peer:1", incarnation=5, status=status))
    link.receive(Frame(sender="peer:1", incarnation=5, usage=MESSAGE))
    assert all(frame.usage is None for _, frame in link.sent)
    nursery.cancel_scope.cancel()
