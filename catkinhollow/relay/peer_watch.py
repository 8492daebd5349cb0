"""Detect unresponsive peers and dead links.

A connection may stay open although it no longer carries any data. Only missing
answers reveal this, so statuses are sent to each peer at regular intervals,
and more often while calls to it are open.
"""

from math import inf

from attrs import define, field, frozen

# Interval of statuses to a planned peer without open calls.
IDLE_INTERVAL_S = 1.0
# Interval for a peer in another failure domain as a multiple of that for a
# near one; traffic between failure domains is expensive.
FAR_INTERVAL_RATIO = 3.0
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
# With a longer time between two checks this process has been paused, and the
# answers that it lacks may have arrived meanwhile.
PAUSE_S = 1.0


@frozen
class SendStatus:
    """Request that a status is sent to a peer."""

    address: str


@frozen
class ResetLink:
    """Request a new connection to a peer; its open calls are lost."""

    address: str
    silent_s: float = field(default=0.0, eq=False)
    """How long a status has been unanswered."""
    link_age_s: float = field(default=0.0, eq=False)


WatchCommand = SendStatus | ResetLink


@define
class _WatchedPeer:
    """Represent the latest contacts with a peer."""

    up_s: float
    """When the link to the peer came up."""
    last_contact_s: float
    status_sent_s: float = -inf
    unanswered_since_s: float = inf
    progress_s: float = -inf

    def silence_s(self, now_s: float) -> float:
        """Return how long nothing has shown that the link works."""
        return now_s - max(self.unanswered_since_s, self.progress_s)


class PeerWatch:
    """Schedule statuses to linked peers and find dead links."""

    def __init__(self) -> None:
        self._peers: dict[str, _WatchedPeer] = {}
        self._checked_s = inf

    def link_up(self, address: str, now_s: float) -> None:
        """Start watching a peer."""
        self._peers[address] = _WatchedPeer(up_s=now_s, last_contact_s=now_s)

    def link_down(self, address: str) -> None:
        """Stop watching a peer."""
        self._peers.pop(address, None)

    def record_contact(self, address: str, now_s: float) -> None:
        """Record that a frame has arrived from a peer."""
        watched = self._peers.get(address)
        if watched is not None:
            watched.last_contact_s = now_s
            watched.unanswered_since_s = inf

    def record_progress(self, address: str, progress_s: float) -> None:
        """Record when the full link to a peer last transferred data."""
        watched = self._peers.get(address)
        if watched is not None:
            watched.progress_s = progress_s

    def is_unresponsive(self, address: str, now_s: float) -> bool:
        """Return whether a peer should get no new calls for now."""
        watched = self._peers.get(address)
        return watched is None or watched.silence_s(now_s) > UNRESPONSIVE_S

    def check(
        self, near: set[str], far: set[str], busy: set[str], now_s: float
    ) -> list[WatchCommand]:
        """Return due commands.

        `near` and `far` hold the peers that this daemon needs in its own and
        in other failure domains, `busy` those with open calls. Other peers ask
        for a status if they need one.
        """
        commands: list[WatchCommand] = []
        if now_s - self._checked_s > PAUSE_S:
            self._restart_silence(now_s)
        self._checked_s = now_s
        idle_s = max(IDLE_INTERVAL_S, (len(near) + len(far)) / MAX_STATUSES_PER_S)
        for address, watched in list(self._peers.items()):
            if watched.silence_s(now_s) > DEAD_LINK_S:
                del self._peers[address]
                commands.append(
                    ResetLink(
                        address,
                        silent_s=watched.silence_s(now_s),
                        link_age_s=now_s - watched.up_s,
                    )
                )
                continue
            if address in busy:
                interval_s = BUSY_INTERVAL_S
            elif address in near:
                interval_s = idle_s
            elif address in far:
                interval_s = FAR_INTERVAL_RATIO * idle_s
            else:
                # A peer that is not asked must not seem silent.
                watched.unanswered_since_s = inf
                continue
            last_activity_s = max(
                watched.status_sent_s,
                watched.last_contact_s if address in busy else -inf,
            )
            if now_s - last_activity_s >= interval_s:
                watched.status_sent_s = now_s
                watched.unanswered_since_s = min(watched.unanswered_since_s, now_s)
                commands.append(SendStatus(address))
        return commands

    def _restart_silence(self, now_s: float) -> None:
        for watched in self._peers.values():
            if watched.unanswered_since_s < now_s:
                watched.unanswered_since_s = now_s
