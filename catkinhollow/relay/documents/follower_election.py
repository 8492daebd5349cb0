"""Decide whether this daemon follows the store.

A waiting watch and each change that it returns are calls of the store, so only
a few daemons of each failure domain follow it and pass changes on. Rendezvous
hashing chooses them. The statuses between daemons tell how long ago a follower
was known to reach the store. If that becomes too long, more daemons follow it,
one after the other. Two followers too many do no harm.
"""

from math import ceil

from catkinhollow.mesh.rings import choose_by_rendezvous_hash
from catkinhollow.relay.placement.peers import PeerDirectory

# Followers in the whole fleet, evenly spread over the failure domains. The
# loss of a failure domain, or of the followers in it, leaves some.
MIN_FOLLOWERS = 4
# Longest age of the news about the store while followers reach it: statuses
# are sent once a second and need up to five hops.
MAX_STORE_AGE_S = 6.0
# Each later daemon of a failure domain waits longer before it replaces the
# followers, so that mostly one daemon does.
TAKEOVER_INTERVAL_S = 0.5


class FollowerElection:
    """Track whether the store is followed and by whom it should be."""

    def __init__(self, directory: PeerDirectory, now_s: float) -> None:
        self._directory = directory
        self._reached_s = now_s

    def store_age_s(self, now_s: float) -> float:
        """Return how long ago a follower was known to reach the store."""
        return now_s - self._reached_s

    def store_reached(self, reached_s: float) -> None:
        """Record when the store last answered this daemon."""
        self._reached_s = max(self._reached_s, reached_s)

    def hear(self, age_s: float, now_s: float) -> None:
        """Record the news of a peer about the store."""
        self._reached_s = max(self._reached_s, now_s - age_s)

    def is_followed(self, now_s: float) -> bool:
        """Return whether a daemon is known to reach the store."""
        return self.store_age_s(now_s) <= MAX_STORE_AGE_S

    def is_reached_since(self, time_s: float) -> bool:
        """Return whether a daemon is known to have reached the store later."""
        return self._reached_s > time_s

    def should_follow(self, now_s: float) -> bool:
        """Return whether this daemon should follow the store."""
        rank, count = self._rank(now_s), self._follower_count
        if rank < count:
            return True
        patience_s = MAX_STORE_AGE_S + (rank - count) * TAKEOVER_INTERVAL_S
        return self.store_age_s(now_s) > patience_s

    @property
    def _follower_count(self) -> int:
        """Return the number of followers in each failure domain."""
        domains = {peer.record.failure_domain for peer in self._directory}
        return ceil(MIN_FOLLOWERS / len(domains))

    def _rank(self, now_s: float) -> int:
        own = self._directory.own.record
        addresses = [
            peer.record.address
            for peer in self._directory
            if peer.record.failure_domain == own.failure_domain
            and not peer.is_failed(now_s)
        ]
        ranked = choose_by_rendezvous_hash(
            addresses, f"follow/{own.failure_domain}", len(addresses)
        )
        return ranked.index(own.address)
