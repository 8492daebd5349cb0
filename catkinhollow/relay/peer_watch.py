"""Detect unresponsive peers and dead links.

A connection may stay open although it no longer carries any data. Only missing
answers reveal this, so statuses are sent to each peer at regular intervals,
and more often while calls to it are open.
"""

from math import inf

from attrs import define, frozen

# Interval of statuses to a peer without open calls.
IDLE_INTERVAL_S = 1.0
# Interval of statuses to a peer with open calls.
BUSY_INTERVAL_S = 0.25
# Limit of the statuses per second that one daemon sends to idle peers; with
# more peers the interval grows. Together with the answers to the peers'
# statuses this takes 5 KB/s of the 11 KB/s that a daemon may use for control
# traffic.
MAX_STATUSES_PER_S = 12.0
# A peer gets no new calls while a status has been unanswered for this long.
# Any frame from it ends this state.
UNRESPONSIVE_S = 0.4
# A link is considered dead when a status has been unanswered for this long.
# A daemon on a slow instance answers within 1 s.
DEAD_LINK_S = 1.5


@frozen
class SendStatus:
    """Request that a status is sent to a peer."""

    address: str


@frozen
class ResetLink:
    """Request a new connection to a peer; its open calls are lost."""

    address: str


WatchCommand = SendStatus | ResetLink


@define
class _WatchedPeer:
    """Represent the latest contacts with a peer."""

    last_contact_s: float
    status_sent_s: float = -inf
    unanswered_since_s: float = inf


class PeerWatch:
    """Schedule statuses to linked peers and find dead links."""

    def __init__(self) -> None:
        self._peers: dict[str, _WatchedPeer] = {}

    def link_up(self, address: str, now_s: float) -> None:
        """Start watching a peer."""
        self._peers[address] = _WatchedPeer(last_contact_s=now_s)

    def link_down(self, address: str) -> None:
        """Stop watching a peer."""
        self._peers.pop(address, None)

    def record_contact(self, address: str, now_s: float) -> None:
        """Record that a frame has arrived from a peer."""
        watched = self._peers.get(address)
        if watched is not None:
            watched.last_contact_s = now_s
            watched.unanswered_since_s = inf

    def is_unresponsive(self, address: str, now_s: float) -> bool:
        """Return whether a peer should get no new calls for now."""
        watched = self._peers.get(address)
        return watched is None or now_s - watched.unanswered_since_s > UNRESPONSIVE_S

    def check(self, busy: set[str], now_s: float) -> list[WatchCommand]:
        """Return due commands; `busy` holds the peers with open calls."""
        commands: list[WatchCommand] = []
        idle_s = max(IDLE_INTERVAL_S, len(self._peers) / MAX_STATUSES_PER_S)
        for address, watched in list(self._peers.items()):
            if now_s - watched.unanswered_since_s > DEAD_LINK_S:
                del self._peers[address]
                commands.append(ResetLink(address))
                continue
            interval_s = BUSY_INTERVAL_S if address in busy else idle_s
            last_activity_s = max(
                watched.status_sent_s,
                watched.last_contact_s if address in busy else -inf,
            )
            if now_s - last_activity_s >= interval_s:
                watched.status_sent_s = now_s
                watched.unanswered_since_s = min(watched.unanswered_since_s, now_s)
                commands.append(SendStatus(address))
        return commands
