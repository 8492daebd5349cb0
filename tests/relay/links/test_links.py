"""Tests of the links between relay daemons on loopback sockets."""

import trio
import trio.testing
from relay_builders import make_answer, make_call, make_report

from catkinhollow.clock import TrioClock
from catkinhollow.generated.relay import Cancel, DocumentRequest, Frame, Status
from catkinhollow.mesh.links import LinkUp
from catkinhollow.relay.links.link_pacer import LinkPacer
from catkinhollow.relay.links.nng_link import NngFrameLink
from catkinhollow.testbed.processes import free_ports
from catkinhollow.timer import Timer

BODY = bytes(range(256)) * 4096


class Peer:
    """Collect the frames that a daemon receives."""

    def __init__(self, timer, link_mbps=0.0):
        self.address = f"127.0.0.1:{free_ports(1)[0]}"
        self.sent = []
        self.link = NngFrameLink(
            self.address,
            timer,
            LinkPacer(link_mbps),
            lambda *counted: self.sent.append(counted),
        )
        self.sender, self.events = trio.open_memory_channel(1000)

    async def run(self):
        await self.link.run(self.sender.send_nowait)

    def frame(self, **body):
        return Frame(sender=self.address, incarnation=1, **body)

    async def receive(self, count):
        """Return the next whole frames."""
        frames = []
        with trio.fail_after(10):
            while len(frames) < count:
                event = await self.events.receive()
                if isinstance(event, Frame) and event.fragment is None:
                    frames.append(event)
        return frames


async def test_statuses_pass_large_answers_on_a_full_link(nursery):
    """Guards against peers that seem dead behind their own answers."""
    timer = Timer(TrioClock())
    nursery.start_soon(timer.run)
    one, other = Peer(timer), Peer(timer)
    nursery.start_soon(one.run)
    nursery.start_soon(other.run)
    one.link.connect(other.address)
    with trio.fail_after(10):
        while await one.events.receive() != LinkUp(address=other.address):
            pass
    answers = [make_answer(call_id=n, body=BODY) for n in range(1, 25)]
    status = Status(digest=1, report=make_report())
    for answer in answers:
        assert one.link.send(other.address, one.frame(answer=answer))
    assert list(one.link.progress) == [other.address]
    assert one.link.send(other.address, one.frame(status=status))
    frames = await other.receive(25)
    # Some answers were in the buffers of the sockets when it was sent.
    assert frames.index(one.frame(status=status)) <= 12
    assert [frame.answer for frame in frames if frame.answer] == answers
    assert one.link.progress == {}
    assert sum(size for _, _, size in one.sent) >= 24 * len(BODY)
    nursery.cancel_scope.cancel()


async def connect(nursery, timer, one, *others):
    for peer in (one, *others):
        nursery.start_soon(peer.run)
    for other in others:
        one.link.connect(other.address)
    up = set()
    with trio.fail_after(10):
        while len(up) < len(others):
            event = await one.events.receive()
            if isinstance(event, LinkUp):
                up.add(event.address)


async def test_small_frames_pass_the_downloads_to_other_peers(nursery):
    """Guards against a configuration that arrives seconds late.

    A target of downloads fills the link of its instance. The request for a
    new configuration goes to another peer, but over the same link.
    """
    timer = Timer(TrioClock())
    nursery.start_soon(timer.run)
    one, caller, neighbour = Peer(timer, link_mbps=40.0), Peer(timer), Peer(timer)
    await connect(nursery, timer, one, caller, neighbour)
    answers = [make_answer(call_id=n, body=BODY) for n in range(1, 5)]
    for answer in answers:
        assert one.link.send(caller.address, one.frame(answer=answer))
    request = one.frame(document_request=DocumentRequest(names=["configuration/main"]))
    assert one.link.send(neighbour.address, request)
    assert await neighbour.receive(1) == [request]
    # 4 MB take 0.8 s on the link, so that most of them are still here.
    assert list(one.link.progress) == [caller.address]
    frames = await caller.receive(4)
    assert [frame.answer for frame in frames] == answers
    nursery.cancel_scope.cancel()


async def test_cancellation_does_not_overtake_its_call(nursery):
    """Guards against runs for callers who have given up."""
    timer = Timer(TrioClock())
    nursery.start_soon(timer.run)
    one, gate = Peer(timer, link_mbps=40.0), Peer(timer)
    await connect(nursery, timer, one, gate)
    call = make_call(1, body=BODY)
    assert one.link.send(gate.address, one.frame(call=call))
    assert one.link.send(gate.address, one.frame(cancel=Cancel(call_id=1)))
    frames = await gate.receive(2)
    assert [frame.call for frame in frames] == [call, None]
    nursery.cancel_scope.cancel()


async def test_bytes_that_are_no_frame_do_not_end_the_link(nursery):
    """Guards against one malformed message that takes a process down."""
    timer = Timer(TrioClock())
    nursery.start_soon(timer.run)
    peer = Peer(timer)
    nursery.start_soon(peer.run)
    await trio.testing.wait_all_tasks_blocked()
    for data in (b"", b"\xc1", b"\x91" * 100_000 + b"\xc0", b"\xff" * 50):
        peer.link._decode_frame(data)
    assert not peer.link.progress
    nursery.cancel_scope.cancel()
