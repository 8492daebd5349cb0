"""Tests of the order and the parts of frames that wait for a peer."""

from relay_builders import make_answer, make_report

from catkinhollow.codec import decode_message
from catkinhollow.generated.relay import Documents, Fragment, Frame, Status
from catkinhollow.relay.frame_queue import (
    MAX_PART_BYTES,
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


def decode_all(messages, assembler):
    """Return the whole frames in the order in which they are complete."""
    whole = []
    for message in messages:
        frame = decode_message(message, Frame).ok
        if frame.fragment is not None:
            data = assembler.add(frame.sender, frame.fragment)
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
    queue.append(split_frame(make_frame(500_000)), Lane.BULK)
    queue.append(split_frame(make_status()), Lane.STATUS)
    messages = drain(queue)
    assert decode_message(messages[0], Frame).ok.status is not None
    assert max(map(len, messages)) <= MAX_PART_BYTES + 200
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
    messages = split_frame(frame)
    messages[1:1] = split_frame(make_status())
    frames = decode_all(messages, FrameAssembler())
    assert [one.status is not None for one in frames] == [True, False]
    assert frames[1] == frame


def test_frame_whose_beginning_was_lost_is_dropped():
    """Guards against a body that is joined from two frames."""
    assembler = FrameAssembler()
    old, new = make_frame(100_000, 1), make_frame(100_000, 2)
    messages = [*split_frame(old)[:2], *split_frame(new)]
    assert decode_all(messages, assembler) == [new]
    assert decode_all(split_frame(old)[1:], assembler) == []
    assert decode_all(split_frame(new), assembler) == [new]


def test_parts_of_a_closed_link_are_dropped():
    """Guards against memory that is held for peers that have ended."""
    assembler = FrameAssembler()
    assembler.add("p:1", Fragment(index=0, data=b"a"))
    assembler.remove("p:1")
    assert assembler.add("p:1", Fragment(index=1, data=b"b", last=True)) is None
