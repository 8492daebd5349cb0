"""Tests of the decision which process of a peer runs."""

from catkinhollow.generated.relay import Frame, Status
from catkinhollow.relay.links.peer_processes import (
    FORGET_S,
    QUESTION_INTERVAL_S,
    FrameOrigin,
    PeerProcesses,
)

OWN, FIRST, SECOND = 7, 100, 200


def make_frame(incarnation, *, link=1, receiver=OWN, heard_ms=0):
    status = Status(digest=0, receiver=receiver, sent_ms=1, heard_ms=heard_ms)
    return Frame(sender="a:1", incarnation=incarnation, link=link, status=status)


def make_processes():
    """Return processes of which the first one is known since 10 s."""
    processes = PeerProcesses(OWN)
    assert processes.record(make_frame(FIRST), 10.0) is FrameOrigin.CURRENT
    return processes


def test_only_an_answer_to_a_later_status_shows_that_a_process_runs():
    """Guards against a process that ended before the known one began."""
    processes = make_processes()
    before = make_frame(SECOND, heard_ms=10_000)
    assert processes.record(before, 11.0) is FrameOrigin.OTHER_PROCESS
    # The time belongs to an earlier process of this daemon.
    foreign = make_frame(SECOND, receiver=OWN - 1, heard_ms=99_000)
    assert processes.record(foreign, 11.0) is FrameOrigin.OTHER_PROCESS
    after = make_frame(SECOND, heard_ms=10_001)
    assert processes.record(after, 11.0) is FrameOrigin.RESTARTED
    assert processes.record(make_frame(FIRST), 12.0) is FrameOrigin.OTHER_PROCESS


def test_process_is_asked_once_in_an_interval():
    """Guards against a status for each late frame of an ended process."""
    processes = make_processes()
    assert processes.take_question("a:1", 11.0) is None
    processes.record(make_frame(SECOND), 11.0)
    assert processes.take_question("a:1", 11.0).incarnation == SECOND
    processes.record(make_frame(SECOND), 11.0)
    assert processes.take_question("a:1", 11.0) is None
    assert processes.take_question("a:1", 11.0 + QUESTION_INTERVAL_S) is not None


def test_processes_of_earlier_releases_are_ordered_by_their_start():
    """Guards against daemons that are ignored during an upgrade."""
    processes = PeerProcesses(OWN)
    origins = [
        processes.record(make_frame(incarnation, link=0, receiver=0), 10.0)
        for incarnation in (FIRST, SECOND, FIRST)
    ]
    assert origins == [
        FrameOrigin.CURRENT,
        FrameOrigin.RESTARTED,
        FrameOrigin.OTHER_PROCESS,
    ]


def test_peers_are_remembered_while_late_frames_may_arrive():
    """Guards against late frames that are the first ones, and lost memory."""
    processes = make_processes()
    processes.forget_silent(10.0 + FORGET_S)
    assert processes.running("a:1") is not None
    processes.forget_silent(10.1 + FORGET_S)
    assert processes.running("a:1") is None
