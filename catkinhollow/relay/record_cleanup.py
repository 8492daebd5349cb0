"""Decide which daemon records in the store are stale."""

from collections.abc import Iterable

from catkinhollow.mesh.rings import choose_by_rendezvous_hash
from catkinhollow.relay.peers import Peer

# An instance that restarts is back within seconds; a daemon that was only
# partitioned writes its record again when it sees the deletion.
STALE_RECORD_S = 30.0


def find_stale_peers(peers: Iterable[Peer], own: Peer, now_s: float) -> list[Peer]:
    """Return the peers whose records this daemon should delete.

    One of the linked daemons is responsible for each record. A daemon that
    has lost most of its peers deletes none, because it is probably
    partitioned itself.
    """
    known = list(peers)
    linked = [peer.record.address for peer in known if peer.linked]
    if len(linked) * 2 <= len(known):
        return []
    return [
        peer
        for peer in known
        if not peer.linked
        and now_s - peer.disconnected_s > STALE_RECORD_S
        and choose_by_rendezvous_hash(linked, f"cleanup/{peer.record.name}", 1)
        == [own.record.address]
    ]
