"""Tests of the links between daemons on real loopback sockets."""

import trio
from silent_proxy import SilentProxy

from catkinhollow.generated.messages import Envelope, Ping
from catkinhollow.mesh.links import LinkDown, LinkUp
from catkinhollow.mesh.peers import NngPeerLink
from catkinhollow.testbed.processes import free_ports


def free_address():
    return f"127.0.0.1:{free_ports(1)[0]}"


class Peer:
    def __init__(self, address):
        self.address = address
        self.link = NngPeerLink(address)
        self.scope = trio.CancelScope()
        self.sender, self.events = trio.open_memory_channel(1000)

    async def run(self):
        with self.scope:
            await self.link.run(self.sender.send_nowait)

    def send(self, address, **body):
        envelope = Envelope(sender=self.address, incarnation=1, **body)
        return self.link.send(address, envelope)

    async def expect(self, wanted):
        with trio.fail_after(10):
            async for event in self.events:
                if event == wanted:
                    return


def make_ping(sender, sequence):
    body = Ping(sequence=sequence, revision=0, digest=0)
    return Envelope(sender=sender, incarnation=1, ping=body)


async def test_link_reconnects_to_a_restarted_peer(nursery):
    """Guards against pipes mapped to a wrong peer or kept after its end."""
    one, other = Peer(free_address()), Peer(free_address())
    one.link.connect(other.address)
    nursery.start_soon(one.run)
    assert not one.send(other.address, ping=make_ping("", 0).ping)
    for sequence in range(3):
        nursery.start_soon(other.run)
        await one.expect(LinkUp(address=other.address))
        assert one.send(other.address, ping=make_ping("", sequence).ping)
        await other.expect(LinkUp(address=one.address))
        await other.expect(make_ping(one.address, sequence))
        assert other.send(one.address, ping=make_ping("", sequence).ping)
        await one.expect(make_ping(other.address, sequence))
        other.scope.cancel()
        await one.expect(LinkDown(address=other.address))
        other = Peer(other.address)
    one.scope.cancel()


async def test_both_ends_dial_and_disconnect(nursery):
    """Guards against a lost link when only one end disconnects."""
    # Only the pipe that the lower address dialed is kept. When that end
    # disconnects, the other end has to dial again.
    one, other = map(Peer, sorted([free_address(), free_address()]))
    pairs = [(one, other), (other, one)]
    for peer, remote in pairs:
        peer.link.connect(remote.address)
        nursery.start_soon(peer.run)
    for sequence in range(3):
        for peer, remote in pairs:
            with trio.fail_after(10):
                while not peer.send(remote.address, ping=make_ping("", sequence).ping):
                    await trio.sleep(0.01)
            await remote.expect(make_ping(peer.address, sequence))
        one.link.disconnect(other.address)
        await trio.sleep(0.05)
        # An accepted pipe has no address until the dialing end has sent.
        pairs = [(other, one), (one, other)]
    other.link.disconnect(one.address)
    await one.expect(LinkDown(address=other.address))
    one.scope.cancel()
    other.scope.cancel()


async def exchange(one, other):
    for sender, receiver in ((one, other), (other, one)):
        with trio.fail_after(10):
            while not sender.send(receiver.address, ping=make_ping("", 0).ping):
                await trio.sleep(0.01)
        await receiver.expect(make_ping(sender.address, 0))


async def test_reconnect_replaces_a_silent_connection(nursery):
    """Guards against a peer that is lost, and connections that pile up."""
    one, other = Peer(free_address()), Peer(free_address())
    proxy = SilentProxy(int(other.address.rpartition(":")[2]))
    other.address = f"127.0.0.1:{await proxy.start(nursery)}"
    nursery.start_soon(other.run)
    nursery.start_soon(one.run)
    await trio.testing.wait_all_tasks_blocked(0.05)
    one.link.connect(other.address)
    await exchange(one, other)
    for _ in range(3):
        proxy.silence()
        one.link.reconnect(other.address)
        await one.expect(LinkDown(address=other.address))
        await one.expect(LinkUp(address=other.address))
        await exchange(one, other)
    await trio.sleep(0.2)
    assert proxy.connections == 4
    assert proxy.open_clients == 1
    assert proxy.open_servers == 1
    one.scope.cancel()
    other.scope.cancel()
