"""Tests of the order and the parts of frames that wait for a peer."""

from itertools import count

from attrs import evolve
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from relay_builders import make_answer, make_report

from catkinhollow.codec import decode_message
from catkinhollow.generated.relay import Documents, Fragment, Frame, Status
from catkinhollow.relay.links.frame_queue import (
    MAX_PART_BYTES,
    MAX_PARTIAL_BYTES,
    MAX_PARTIAL_FRAMES,
    FrameAssembler,
    FrameQueue,
    Lane,
    choose_lane,
    split_frame,
)


def make_frame(body_bytes, call_id=1):
    answer = make_answer(call_id=call_id, body=bytes(body_bytes))
    return Frame(sender="p:1", incarnation=1, answer=answer)


def make_status():
    status = Status(digest=1, report=make_report())
    return Frame(sender="p:1", incarnation=1, status=status)


NUMBERS = count()


def split(frame):
    return split_frame(frame, next(NUMBERS))


def decode_all(messages, assembler):
    """Return the whole frames in the order in which they are complete."""
    whole = []
    for message in messages:
        frame = decode_message(message, Frame).ok
        if frame.fragment is not None:
            data = assembler.add(frame.sender, frame.incarnation, frame.fragment)
            if data is None:
                continue
            frame = decode_message(data, Frame).ok
        whole.append(frame)
    return whole


def drain(queue):
    messages = []
    while queue:
        messages.append(queue.peek())
        queue.pop()
    return messages


def test_status_goes_before_bodies_that_wait():
    """Guards against daemons that seem dead because their links are full."""
    queue = FrameQueue()
    queue.append(split(make_frame(500_000)), Lane.BULK)
    queue.append(split(make_status()), Lane.STATUS)
    messages = drain(queue)
    assert decode_message(messages[0], Frame).ok.status is not None
    assert max(map(len, messages)) <= MAX_PART_BYTES + 200
    assert queue.size_bytes == 0


def test_answer_that_nobody_waits_for_is_not_sent():
    """Guards against a full link that carries answers to closed requests.

    A frame whose transfer has begun is completed.
    """
    queue = FrameQueue()
    begun, late, open_ = (split(make_frame(100_000, n)) for n in (1, 2, 3))
    queue.append(begun[1:], Lane.BULK, expires_s=1.0, started=True)
    queue.append(late, Lane.BULK, expires_s=1.0)
    queue.append(open_, Lane.BULK, expires_s=5.0)
    assert queue.drop_expired(0.9) == 0
    assert queue.drop_expired(1.0) == 1
    assert drain(queue) == [*begun[1:], *open_]
    assert queue.size_bytes == 0


def test_documents_and_small_frames_go_before_bodies():
    """Guards against a configuration that waits behind downloads."""
    documents = Frame(sender="p:1", incarnation=1, documents=Documents())
    assert choose_lane(make_status(), 300) is Lane.STATUS
    assert choose_lane(documents, 60_000) is Lane.CONTROL
    assert choose_lane(make_frame(400), 500) is Lane.CONTROL
    assert choose_lane(make_frame(90_000), 90_100) is Lane.BULK
    queue = FrameQueue()
    for lane in (Lane.BULK, Lane.CONTROL, Lane.STATUS):
        assert not queue.has_before(lane)
        queue.append([lane.name.encode()], lane)
    assert drain(queue) == [b"STATUS", b"CONTROL", b"BULK"]


def test_parts_around_a_status_form_the_whole_frame():
    """Guards against answers that a status in between damages."""
    frame = make_frame(100_000)
    messages = split(frame)
    messages[1:1] = split(make_status())
    frames = decode_all(messages, FrameAssembler())
    assert [one.status is not None for one in frames] == [True, False]
    assert frames[1] == frame


def test_frame_whose_beginning_was_lost_is_dropped():
    """Guards against a body that is joined from two frames."""
    assembler = FrameAssembler()
    old, new = make_frame(100_000, 1), make_frame(100_000, 2)
    messages = [*split(old)[:2], *split(new)]
    assert decode_all(messages, assembler) == [new]
    assert decode_all(split(old)[1:], assembler) == []
    assert decode_all(split(new), assembler) == [new]


def test_parts_of_an_old_and_a_new_link_are_not_mixed():
    """Guards against an order that runs with the beginning of another one.

    After a link was replaced, its old and its new connection are read in
    turns. The frames have the same length.
    """
    old, new = make_frame(100_000, 1), make_frame(100_000, 2)
    old_parts, new_parts = split(old), split(new)
    messages = [
        part for pair in zip(old_parts, new_parts, strict=True) for part in pair
    ]
    assert decode_all(messages, FrameAssembler()) == [old, new]
    messages = [old_parts[0], new_parts[0], *old_parts[1:], *new_parts[1:]]
    assert decode_all(messages, FrameAssembler()) == [old, new]
    # The end of the old frame was lost with its connection.
    messages = [*old_parts[:2], *new_parts[:1], old_parts[2], *new_parts[1:]]
    assert decode_all(messages, FrameAssembler()) == [new]


def test_parts_of_an_earlier_process_are_not_mixed_with_those_of_the_next():
    """Guards against frame numbers that start again with each process."""
    old, new = make_frame(100_000, 1), make_frame(100_000, 2)
    new = evolve(new, incarnation=2)
    old_parts, new_parts = split_frame(old, 0), split_frame(new, 0)
    messages = [*old_parts[:2], *new_parts[:2], *old_parts[2:], *new_parts[2:]]
    assert decode_all(messages, FrameAssembler()) == [old, new]


def test_incomplete_frames_take_limited_memory():
    """Guards against memory that is held for peers that have ended."""
    assembler = FrameAssembler()
    part = bytes(MAX_PART_BYTES)
    parts = MAX_PARTIAL_BYTES // MAX_PART_BYTES // 2
    for sender in ("p:1", "p:2", "p:3"):
        for number in range(2 * MAX_PARTIAL_FRAMES):
            fragment = Fragment(frame=number, index=0, data=part)
            assert assembler.add(sender, 1, fragment) is None
    assert assembler.size_bytes == 3 * MAX_PARTIAL_FRAMES * MAX_PART_BYTES
    for sender in ("p:1", "p:2", "p:3"):
        for index in range(parts):
            assembler.add(sender, 1, Fragment(frame=99, index=index, data=part))
            assert assembler.size_bytes <= MAX_PARTIAL_BYTES
    last = Fragment(frame=99, index=parts, data=b"", last=True)
    assert assembler.add("p:1", 1, last) is None
    assert len(assembler.add("p:3", 1, last)) == parts * MAX_PART_BYTES


class LinkMachine(RuleBasedStateMachine):
    """Read two connections of one peer in turns; lose and double parts."""

    def __init__(self):
        super().__init__()
        self.assembler = FrameAssembler()
        self.connections = [[], []]
        self.sent = []
        self.delivered = []

    @rule(connection=st.integers(0, 1), size=st.sampled_from([40_000, 100_000, 7]))
    def send(self, connection, size):
        number = len(self.sent)
        body = bytes([number % 256]) * size
        answer = make_answer(call_id=number, body=body)
        frame = Frame(sender="p:1", incarnation=1, answer=answer)
        self.sent.append(frame)
        self.connections[connection] += split_frame(frame, number)

    @rule(connection=st.integers(0, 1), count=st.integers(1, 4))
    def read(self, connection, count):
        messages = self.connections[connection][:count]
        del self.connections[connection][:count]
        self.delivered += decode_all(messages, self.assembler)

    @rule(connection=st.integers(0, 1), position=st.integers(0, 8))
    def lose(self, connection, position):
        del self.connections[connection][position : position + 1]

    @rule(connection=st.integers(0, 1), position=st.integers(0, 8))
    def double(self, connection, position):
        parts = self.connections[connection]
        parts[position:position] = parts[position : position + 1]

    @rule(position=st.integers(0, 8))
    def delay(self, position):
        late = self.connections[0][position : position + 1]
        del self.connections[0][position : position + 1]
        self.connections[0] += late

    @rule()
    def replace(self):
        self.connections = [self.connections[1], []]

    @invariant()
    def delivered_frames_were_sent(self):
        assert all(frame in self.sent for frame in self.delivered)
        assert self.assembler.size_bytes <= MAX_PARTIAL_FRAMES * 200_000


LinkMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=40
)
TestLinks = LinkMachine.TestCase
