"""Decide which entries of the store belong to daemons that are gone."""

from collections.abc import Iterable

from catkinhollow.mesh.rings import choose_by_rendezvous_hash
from catkinhollow.relay.peers import Peer

# An instance that restarts is back within seconds; one that is cut off writes
# its entry again when it sees the deletion.
GONE_S = 30.0


def find_gone(peers: Iterable[Peer], own: Peer, now_s: float) -> list[Peer]:
    """Return the peers whose entries this daemon should delete.

    One of the linked daemons is responsible for each entry. A daemon that
    has lost most of its peers has probably lost its own links.
    """
    known = list(peers)
    linked = [peer.record.address for peer in known if peer.linked]
    if len(linked) * 2 <= len(known):
        return []
    return [
        peer
        for peer in known
        if not peer.linked
        and now_s - peer.lost_s > GONE_S
        and choose_by_rendezvous_hash(linked, f"cleanup/{peer.record.name}", 1)
        == [own.record.address]
    ]
