"""Tests of the deletion of stale daemon records."""

from relay_builders import make_peer

from catkinhollow.relay.documents.record_cleanup import (
    DELETION_SPREAD_S,
    STALE_RECORD_S,
    find_stale_peers,
)


def make_fleet(lost=1):
    peers = [make_peer(f"p{number}") for number in range(6)]
    for peer in peers[:lost]:
        peer.linked = False
        peer.missing_since_s = 0.0
    return peers


def deletion_s(peers, own):
    """Return when a daemon deletes the record of the lost peer."""
    for step in range(1000):
        now_s = STALE_RECORD_S + step * DELETION_SPREAD_S / 1000
        if find_stale_peers(peers, own, now_s):
            return now_s
    return None


def test_one_neighbour_deletes_a_record_before_the_others():
    """Guards against records that no daemon or every daemon deletes.

    The deletion reaches the other neighbours within half a second.
    """
    peers = make_fleet()
    times = sorted(deletion_s(peers, own) for own in peers[1:])
    assert times[0] >= STALE_RECORD_S
    assert times[1] - times[0] > 0.5
    assert times[-1] <= STALE_RECORD_S + DELETION_SPREAD_S


def test_record_of_a_restarting_daemon_is_kept():
    """Guards against a daemon that must be rediscovered after each restart."""
    peers = make_fleet()
    assert not any(
        find_stale_peers(peers, own, STALE_RECORD_S - 1) for own in peers[1:]
    )


def test_daemon_that_lost_most_peers_deletes_nothing():
    """Guards against a partitioned daemon that deletes all records."""
    peers = make_fleet(lost=4)
    assert not any(
        find_stale_peers(peers, own, STALE_RECORD_S + DELETION_SPREAD_S)
        for own in peers[4:]
    )
