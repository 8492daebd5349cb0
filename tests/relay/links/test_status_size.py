"""Tests of the size of statuses between daemons."""

from relay_builders import make_report

from catkinhollow.codec import decode_message, encode_without_none
from catkinhollow.generated.relay import Frame, Status
from catkinhollow.relay.links.frame_queue import split_frame


def make_frame(**changes):
    report = make_report(started_ms=1792187410000, running=3, runs=100)
    values = {
        "digest": 2**63,
        "report": report,
        "receiver": 1792187410000,
        "configured": True,
        "store_age_ms": 100,
        "sent_ms": 123456,
        "heard_ms": 123400,
        "received": 99,
        **changes,
    }
    status = Status(**values)
    return Frame(sender="10.1.0.26:7220", incarnation=1792187410000, status=status)


def test_status_without_its_defaults_is_the_same_status():
    """Guards against fields that get lost with those that have defaults."""
    for frame in (make_frame(), make_frame(report=None, reply=True, open_calls=[7])):
        (data,) = split_frame(frame, 1)
        assert decode_message(data, Frame).ok == frame


def test_fields_with_defaults_are_not_sent():
    """Guards against statuses that are mostly names of unused fields."""
    frame = make_frame()
    (data,) = split_frame(frame, 1)
    assert b"departures" not in data
    assert b"transfer_ms" not in data
    assert len(data) <= 0.75 * len(encode_without_none(frame))
