"""Fuzz the frames of peers and the objects of the store.

A frame that can be decoded may still hold values that no daemon sends.
"""

import math
from copy import deepcopy

import msgspec
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st
from relay_builders import make_answer, make_call, make_peer, make_report
from test_peer_directory import AnsweringGate, RecordingLink, make_network

from catkinhollow.clock import TrioClock
from catkinhollow.codec import decode_message, to_plain
from catkinhollow.generated.relay import (
    Cancel,
    Departure,
    Document,
    DocumentAnnouncement,
    DocumentIndex,
    DocumentRequest,
    Documents,
    DocumentVersion,
    Fragment,
    Frame,
    Status,
)
from catkinhollow.mesh.links import LinkUp
from catkinhollow.relay.links.frame_queue import FrameAssembler
from catkinhollow.timer import Timer

VERSION = DocumentVersion(name="configuration/main", revision=7)
DOCUMENT = Document(name="daemons/p", revision=7, body=b"\x80")
BODIES = [
    {"call": make_call(1)},
    {"answer": make_answer(report=make_report())},
    {"cancel": Cancel(call_id=1)},
    {
        "status": Status(
            digest=5,
            report=make_report(),
            resumed=True,
            configured=True,
            store_age_ms=3,
            open_calls=[1, 2],
            departures=[Departure(lifetime="t1", started_ms=5)],
        )
    },
    {"document_index": DocumentIndex(versions=[VERSION])},
    {"documents": Documents(documents=[DOCUMENT], compressed=b"x")},
    {"announcement": DocumentAnnouncement(versions=[VERSION])},
    {"document_request": DocumentRequest(names=["configuration/main"])},
    {"fragment": Fragment(frame=1, index=0, last=True, data=b"\x80")},
]
ODD_VALUES = [
    None,
    True,
    -1,
    0,
    2**31,
    2**63,
    2**64 - 1,
    -(2**63),
    1e308,
    math.inf,
    math.nan,
    "",
    "x" * 10_000,
    "10.0.0.1:70000",
    "\udcff".encode("utf-8", "surrogatepass"),
    b"",
    b"\xc1",
    [],
    [[]] * 100,
    {},
    {"a": {"b": []}},
]


def paths(value, path=()):
    """Return the path of each value inside a message."""
    found = [path]
    items = []
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        found += paths(inner, (*path, key))
    return found


def replace_value(message, path, value):
    inner = message
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value


def encode_odd_frame(body, choices):
    """Return the encoded frame with some of its values replaced."""
    message = msgspec.to_builtins(
        Frame(sender="peer:1", incarnation=1, **body),
        builtin_types=(bytes,),
    )
    message = {name: value for name, value in message.items() if value is not None}
    for choice, value in choices:
        candidates = paths(message)[1:]
        replace_value(message, candidates[choice % len(candidates)], deepcopy(value))
    return msgspec.msgpack.encode(message)


async def receive(data):
    """Let a network receive an encoded frame and use what it has learned."""
    link = RecordingLink()
    timer = Timer(TrioClock())
    network = make_network(link, timer, AnsweringGate())
    network.directory.put(make_peer("peer").record)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(timer.run)
        nursery.start_soon(network.run)
        await trio.sleep(0.1)
        link.receive(LinkUp(address="peer:1"))
        assembler = FrameAssembler()
        decoded = decode_message(data, Frame)
        if decoded.is_ok():
            frame = decoded.ok
            if frame.fragment is not None:
                assembler.add(frame.sender, frame.incarnation, frame.fragment)
            link.receive(frame)
        await trio.sleep(3.0)
        for _, frame in link.sent:
            msgspec.msgpack.encode(to_plain(frame))
        nursery.cancel_scope.cancel()


ODD_FRAMES = st.builds(
    encode_odd_frame,
    st.sampled_from(BODIES),
    st.lists(st.tuples(st.integers(0, 200), st.sampled_from(ODD_VALUES)), max_size=3),
)


def play_frame(data):
    """Let a network receive an encoded frame in virtual time."""
    trio.run(receive, data, clock=trio.testing.MockClock(autojump_threshold=0))


@given(ODD_FRAMES)
@settings(derandomize=True, deadline=None, max_examples=400)
def test_odd_frame_ends_no_daemon(data):
    """Guards against one malformed frame that takes a process down."""
    play_frame(data)


@given(st.binary(max_size=200))
@settings(derandomize=True, deadline=None, max_examples=200)
def test_bytes_that_are_no_frame_are_refused(data):
    """Guards against bytes that the decoder can't handle."""
    decode_message(data, Frame)
