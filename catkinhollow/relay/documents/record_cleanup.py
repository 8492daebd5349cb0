"""Decide which daemon records in the store are stale."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from catkinhollow.relay.placement.peers import Peer

# An instance that restarts is back within seconds; a daemon that was only
# partitioned writes its record again when it sees the deletion.
STALE_RECORD_S = 30.0
# The ring neighbours of a daemon delete its record at different times within
# this span, so that mostly one of them makes the call.
DELETION_SPREAD_S = 10.0


def find_stale_peers(neighbours: Iterable[Peer], own: Peer, now_s: float) -> list[Peer]:
    """Return the ring neighbours whose records this daemon should delete.

    A daemon that has lost most of its neighbours deletes none, because it is
    probably partitioned itself.
    """
    known = list(neighbours)
    if sum(peer.linked for peer in known) * 2 <= len(known):
        return []
    return [
        peer
        for peer in known
        if not peer.linked
        and now_s - peer.missing_since_s > STALE_RECORD_S + _delay_s(peer, own)
    ]


def _delay_s(peer: Peer, own: Peer) -> float:
    key = f"{own.record.address} {peer.record.address}"
    return DELETION_SPREAD_S * xxh3_64_intdigest(key.encode()) / 2**64
