"""Tests of the share of the link that bulk data may take."""

import pytest

from catkinhollow.relay.links.link_pacer import (
    BURST_S,
    MAX_DEBT_S,
    PACED_SHARE,
    LinkPacer,
)

LINK_BYTES_PER_S = 5.5e6 / 8
PART_BYTES = 32 * 1024


def send_bulk(pacer, until_s, *, step_s=0.01):
    """Send parts as soon as the pacer lets them; return their bytes."""
    sent_bytes = 0
    for step in range(int(until_s / step_s)):
        while pacer.wait_s(step * step_s) <= 0:
            pacer.sent(PART_BYTES, step * step_s)
            sent_bytes += PART_BYTES
    return sent_bytes


def test_bulk_data_leaves_the_link_free_for_small_messages():
    """Guards against a queue on the link that delays statuses by seconds.

    A part that was just sent takes 50 ms on a link of 5.5 Mbit/s.
    """
    sent_bytes = send_bulk(LinkPacer(5.5), 10.0)
    allowed = LINK_BYTES_PER_S * PACED_SHARE * (10.0 + BURST_S) + PART_BYTES
    assert 0.95 * LINK_BYTES_PER_S * PACED_SHARE * 10.0 < sent_bytes <= allowed


def test_responses_to_callers_take_their_share_of_the_link():
    """Guards against answers and responses that fill the link together."""
    pacer = LinkPacer(5.5)
    sent_bytes = 0
    for step in range(1000):
        now_s = step * 0.01
        pacer.sent(int(LINK_BYTES_PER_S * 0.005), now_s)
        while pacer.wait_s(now_s) <= 0:
            pacer.sent(PART_BYTES, now_s)
            sent_bytes += PART_BYTES
    assert sent_bytes <= LINK_BYTES_PER_S * (PACED_SHARE - 0.5) * 10.1 + PART_BYTES


def test_responses_never_stop_bulk_data_for_long():
    """Guards against answers to peers that starve behind a burst."""
    pacer = LinkPacer(5.5)
    pacer.sent(50_000_000, 1.0)
    assert pacer.wait_s(1.0) == pytest.approx(MAX_DEBT_S)


def test_unknown_link_is_not_paced():
    """Guards against a daemon that sends nothing without this setting."""
    pacer = LinkPacer(0.0)
    for step in range(100):
        pacer.sent(50_000_000, step * 0.001)
        assert pacer.wait_s(step * 0.001) == 0.0
