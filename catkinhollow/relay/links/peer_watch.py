"""Detect unresponsive peers and dead links.

A link carries frames one way. It may stay open although it no longer carries
any data, and only missing answers reveal this. Statuses are sent to each peer
at regular intervals, and more often while calls to it are open.

A daemon that hears nothing from a peer can't tell which direction is dead. It
replaces its own link and tells the peer, which replaces the other one. A
daemon that still gets frames learns from the peer's statuses whether its own
have arrived.
"""

from collections import deque
from enum import StrEnum
from math import inf

from attrs import define, field, frozen
from xxhash import xxh3_64_intdigest

# Interval of statuses to a planned peer without open calls.
IDLE_INTERVAL_S = 1.0
# Interval for a peer in another failure domain as a multiple of that for a
# near one; traffic between failure domains is expensive.
FAR_INTERVAL_RATIO = 3.0
# Interval of statuses to a peer with open calls, or to one that is silent.
BUSY_INTERVAL_S = 0.25
# Limit of the statuses per second that one daemon sends to idle peers; with
# more peers the interval grows. Together with the answers to the peers'
# statuses this takes 9 KB/s of the 11 KB/s that a daemon may use for control
# traffic.
MAX_STATUSES_PER_S = 12.0
# A peer gets no new calls while a status has been unanswered for this long.
# Any frame from it ends this state, unless it tells that it lacks the status.
UNRESPONSIVE_S = 0.4
# Answers arrive within this time unless a link or an instance is slow.
LATE_ANSWER_S = 0.25
# A link is considered dead when a status has been unanswered for this long.
# A daemon on a slow instance answers within 1 s.
DEAD_LINK_S = 1.3
# The same limit for a peer that sends calls and answers meanwhile: its status
# may wait behind their bodies.
BULK_DEAD_LINK_S = 4.0
# A link is known to work for this long after a message that has arrived.
CONFIRMED_S = 2.0
# Many links may go silent at once. When one peer is unresponsive all others
# are asked, at most once in this time. It doubles while no other one is
# unresponsive, as a single slow instance says nothing about the others.
ALARM_INTERVAL_S = 3.0
MAX_ALARM_INTERVAL_S = 48.0
# With a longer time between two checks this process has been paused, and the
# answers that it lacks may have arrived meanwhile.
PAUSE_S = 1.0
# Statuses to one peer whose delivery is tracked.
MAX_UNDELIVERED = 64


class Silence(StrEnum):
    """Tell what shows that a link may be dead."""

    NO_FRAMES = "no frames"
    """The peer sends nothing: either direction may be dead, or the peer."""
    NOT_DELIVERED = "not delivered"
    """The peer sends frames, but has not received this daemon's statuses."""
    REPORTED = "reported"
    """The peer has received nothing from this daemon, although it asked."""


@frozen
class SendStatus:
    """Request that a status is sent to a peer."""

    address: str


@frozen
class ResetLink:
    """Request a new connection to a peer; its open calls are lost."""

    address: str
    silence: Silence = field(default=Silence.NO_FRAMES, eq=False)
    silent_s: float = field(default=0.0, eq=False)
    """How long a status has been unanswered or not delivered."""
    link_age_s: float = field(default=0.0, eq=False)


WatchCommand = SendStatus | ResetLink


@define
class _WatchedPeer:
    """Represent the latest contacts with a peer over the present link."""

    up_s: float
    last_contact_s: float
    """When the last frame from the peer arrived."""
    last_delivery_s: float
    """When the last message was sent that is known to have arrived."""
    asked_s: float
    """When the last status was sent that the peer has to answer."""
    unanswered_since_s: float
    """When the first status was sent that no frame has followed."""
    unconfirmed_since_s: float = inf
    """When the first status was sent that the peer has not answered."""
    bulk_s: float = -inf
    """When a frame last arrived that may delay the statuses of the peer."""
    progress_s: float = -inf
    undelivered_ms: deque[int] = field(factory=lambda: deque(maxlen=MAX_UNDELIVERED))
    """When statuses were sent that are not known to have arrived."""
    lacking_s: float = -inf
    """When a status of the peer last showed that it lacks the oldest one."""
    heard_s: float = -inf
    """When the last status of the peer arrived."""
    least_offset_s: float = inf
    """Least difference of the own time to that in a status of the peer."""
    received: int = -1
    """Messages that the peer had received according to its last status."""

    @property
    def is_calm(self) -> bool:
        """Return whether nothing is expected from the peer."""
        return (
            self.unanswered_since_s == inf
            and self.unconfirmed_since_s == inf
            and self.lacking_s == -inf
        )

    def unanswered_s(self, now_s: float) -> float:
        """Return how long the peer has sent nothing although it was asked."""
        return now_s - max(self.unanswered_since_s, self.progress_s)

    @property
    def undelivered_s(self) -> float:
        """Return for how long the peer is known to have lacked a status."""
        if not self.undelivered_ms:
            return -inf
        sent_s = self.undelivered_ms[0] / 1000.0
        return self.lacking_s - max(sent_s, self.progress_s)

    def silence_s(self, now_s: float) -> float:
        """Return how long nothing has shown that both directions work."""
        return max(self.unanswered_s(now_s), self.undelivered_s)

    def find_fault(self, now_s: float) -> tuple[Silence, float] | None:
        """Return why and for how long the link is dead, None if it is not."""
        if self.undelivered_s > DEAD_LINK_S:
            return Silence.NOT_DELIVERED, self.undelivered_s
        unanswered_s = self.unanswered_s(now_s)
        if unanswered_s > DEAD_LINK_S:
            return Silence.NO_FRAMES, unanswered_s
        unconfirmed_s = now_s - max(self.unconfirmed_since_s, self.progress_s)
        has_bulk = self.bulk_s >= self.unconfirmed_since_s
        if unconfirmed_s <= (BULK_DEAD_LINK_S if has_bulk else DEAD_LINK_S):
            return None
        silent_s = now_s - self.last_contact_s
        if silent_s > UNRESPONSIVE_S:
            return Silence.NO_FRAMES, silent_s
        return Silence.NOT_DELIVERED, unconfirmed_s

    def ask(self, now_s: float, *, is_reporting: bool) -> None:
        """Record that a status is sent that the peer has to answer."""
        self.asked_s = now_s
        self.unanswered_since_s = min(self.unanswered_since_s, now_s)
        if is_reporting:
            # Statuses tell their times in whole milliseconds.
            asked_s = int(now_s * 1000) / 1000.0
            self.unconfirmed_since_s = min(self.unconfirmed_since_s, asked_s)

    def expect_nothing(self) -> None:
        """Record that the peer is not asked and need not send anything."""
        self.unanswered_since_s = self.unconfirmed_since_s = inf

    def restart(self, now_s: float) -> None:
        """Disregard what may have arrived while this process was paused."""
        if self.unanswered_since_s < now_s:
            self.unanswered_since_s = now_s
        if self.unconfirmed_since_s < now_s:
            self.unconfirmed_since_s = now_s
        self.undelivered_ms.clear()
        self.lacking_s = -inf


class PeerWatch:
    """Schedule statuses to linked peers and find dead links."""

    def __init__(self) -> None:
        self._peers: dict[str, _WatchedPeer] = {}
        # Peers whose statuses tell what they have received.
        self._reporting: set[str] = set()
        self._checked_s = inf
        self._paused_s = -inf
        self._alarm_s = -inf
        self._alarm_interval_s = ALARM_INTERVAL_S

    def link_up(self, address: str, now_s: float) -> None:
        """Start watching a peer, to which a status is sent now."""
        # Links come up together; statuses at different times find a fault of
        # all of them sooner.
        phase = xxh3_64_intdigest(address.encode()) / 2**64
        self._peers[address] = _WatchedPeer(
            up_s=now_s,
            last_contact_s=now_s,
            last_delivery_s=now_s,
            asked_s=now_s - phase * IDLE_INTERVAL_S,
            unanswered_since_s=now_s,
        )

    def link_down(self, address: str) -> None:
        """Stop watching a peer."""
        self._peers.pop(address, None)

    def forget(self, address: str) -> None:
        """Forget a peer to which no link is maintained any more."""
        self._peers.pop(address, None)
        self._reporting.discard(address)

    def record_contact(
        self, address: str, now_s: float, *, is_bulk: bool = False
    ) -> None:
        """Record that a frame has arrived from a peer.

        Calls and answers are bulk, as their bodies may be large.
        """
        watched = self._peers.get(address)
        if watched is not None:
            watched.last_contact_s = now_s
            watched.unanswered_since_s = inf
            if is_bulk:
                watched.bulk_s = now_s

    def record_status_sent(self, address: str, sent_ms: int) -> None:
        """Record that a status was sent to a peer, at a steady time."""
        watched = self._peers.get(address)
        if watched is not None:
            watched.undelivered_ms.append(sent_ms)

    def record_heard(
        self,
        address: str,
        heard_ms: int,
        received: int,
        now_s: float,
        sent_s: float,
    ) -> None:
        """Record what a status of a peer tells about the link to it.

        `heard_ms` is when the last status was sent that has arrived there,
        `received` the number of all messages that have arrived, and `sent_s`
        when the peer sent its status, by its own clock.
        """
        self._reporting.add(address)
        watched = self._peers.get(address)
        if watched is None:
            return
        undelivered = watched.undelivered_ms
        while undelivered and undelivered[0] <= heard_ms:
            undelivered.popleft()
        # The status may have been delayed on its way.
        offset_s = now_s - sent_s
        watched.least_offset_s = min(watched.least_offset_s, offset_s)
        delay_s = offset_s - watched.least_offset_s
        watched.lacking_s = now_s - delay_s if undelivered else -inf
        if watched.received not in (-1, received):
            # They may have arrived just after the status before.
            watched.progress_s = max(watched.progress_s, watched.heard_s)
        watched.received, watched.heard_s = received, now_s
        self.record_delivery(address, heard_ms / 1000.0)

    def record_delivery(self, address: str, sent_s: float) -> None:
        """Record that a message sent to a peer at a time has arrived."""
        watched = self._peers.get(address)
        if watched is not None:
            watched.last_delivery_s = max(watched.last_delivery_s, sent_s)
            if sent_s >= watched.unconfirmed_since_s:
                watched.unconfirmed_since_s = inf

    def record_progress(self, address: str, progress_s: float) -> None:
        """Record when the full link to a peer last transferred data."""
        watched = self._peers.get(address)
        if watched is not None:
            watched.progress_s = max(watched.progress_s, progress_s)

    def is_unresponsive(self, address: str, now_s: float) -> bool:
        """Return whether a peer should get no new calls for now."""
        watched = self._peers.get(address)
        return watched is None or watched.silence_s(now_s) > UNRESPONSIVE_S

    def is_confirmed(self, address: str, now_s: float) -> bool:
        """Return whether a message is known to have reached a peer lately."""
        watched = self._peers.get(address)
        return watched is not None and now_s - watched.last_delivery_s <= CONFIRMED_S

    def check_report(
        self, address: str, silent_s: float, now_s: float
    ) -> ResetLink | None:
        """Return how to replace a link that its peer reports as silent.

        The peer has received nothing for a time in which it asked.
        """
        watched = self._peers.get(address)
        if watched is None:
            return None
        self._detect_pause(now_s)
        # A peer reports no shorter silence of a link that it has asked over.
        silent_since_s = now_s - max(silent_s, DEAD_LINK_S)
        explained_s = max(watched.up_s, watched.progress_s, self._paused_s)
        if explained_s >= silent_since_s:
            return None
        return self._reset(address, Silence.REPORTED, silent_s, now_s)

    def reset_undelivered(
        self, address: str, silent_s: float, now_s: float
    ) -> ResetLink | None:
        """Return how to replace a link whose questions have no answer."""
        if address not in self._peers:
            return None
        return self._reset(address, Silence.NOT_DELIVERED, silent_s, now_s)

    def find_unresponsive(self, now_s: float) -> set[str]:
        """Return the watched peers that should get no new calls for now."""
        return {
            address
            for address, watched in self._peers.items()
            if not watched.is_calm and watched.silence_s(now_s) > UNRESPONSIVE_S
        }

    def is_due(self, calm_interval_s: float, now_s: float) -> bool:
        """Return whether a check is due, at once if a peer is late."""
        age_s = now_s - self._checked_s
        # Intervals of the timer vary slightly.
        if self._checked_s == inf or age_s >= 0.9 * calm_interval_s:
            return True
        return any(
            watched.silence_s(now_s) > LATE_ANSWER_S
            for watched in self._peers.values()
            if not watched.is_calm
        )

    def may_be_late(self, delay_s: float, now_s: float) -> bool:
        """Return whether a peer may be late with an answer after a delay."""
        return any(
            watched.silence_s(now_s) + delay_s > LATE_ANSWER_S
            for watched in self._peers.values()
            if not watched.is_calm
        )

    def check(
        self, near: set[str], far: set[str], busy: set[str], now_s: float
    ) -> list[WatchCommand]:
        """Return due commands.

        `near` and `far` hold the peers that this daemon needs in its own and
        in other failure domains, `busy` those with open calls. Other peers ask
        for a status if they need one.
        """
        paused = self._detect_pause(now_s)
        self._checked_s = now_s
        if paused:
            # A status sent before the frames that wait have been read would
            # tell the peers that their links are dead.
            return []
        needed = near | far | busy
        for address, watched in self._peers.items():
            if address not in needed:
                watched.expect_nothing()
        resets = self._reset_dead_links(now_s)
        silent = self.find_unresponsive(now_s)
        is_alarm = self._starts_alarm(len(silent), now_s)
        idle_s = max(IDLE_INTERVAL_S, (len(near) + len(far)) / MAX_STATUSES_PER_S)
        due: list[WatchCommand] = []
        for address in needed:
            peer = self._peers.get(address)
            if peer is None:
                continue
            interval_s = idle_s if address in near else FAR_INTERVAL_RATIO * idle_s
            if address in busy:
                interval_s = _busy_interval_s(peer, now_s)
            if is_alarm or address in silent:
                interval_s = min(interval_s, BUSY_INTERVAL_S)
            if now_s - peer.asked_s >= interval_s:
                peer.ask(now_s, is_reporting=address in self._reporting)
                due.append(SendStatus(address))
        return [*resets, *due]

    def _detect_pause(self, now_s: float) -> bool:
        """Return whether this process has been paused since the last check."""
        if now_s - self._checked_s <= PAUSE_S:
            return False
        self._paused_s = now_s
        for watched in self._peers.values():
            watched.restart(now_s)
        return True

    def _reset_dead_links(self, now_s: float) -> list[ResetLink]:
        return [
            self._reset(address, *fault, now_s)
            for address, watched in list(self._peers.items())
            if not watched.is_calm and (fault := watched.find_fault(now_s)) is not None
        ]

    def _reset(
        self, address: str, silence: Silence, silent_s: float, now_s: float
    ) -> ResetLink:
        watched = self._peers.pop(address)
        return ResetLink(
            address,
            silence=silence,
            silent_s=silent_s,
            link_age_s=now_s - watched.up_s,
        )

    def _starts_alarm(self, silent: int, now_s: float) -> bool:
        """Return whether to ask all peers because some are unresponsive."""
        age_s = now_s - self._alarm_s
        if silent > 1 or age_s > MAX_ALARM_INTERVAL_S:
            self._alarm_interval_s = ALARM_INTERVAL_S
        if not silent or age_s < self._alarm_interval_s:
            return False
        self._alarm_s = now_s
        doubled_s = 2 * self._alarm_interval_s
        self._alarm_interval_s = min(doubled_s, MAX_ALARM_INTERVAL_S)
        return True


def _busy_interval_s(watched: _WatchedPeer, now_s: float) -> float:
    """Return the interval of statuses to a peer with open calls.

    Its answers show that it is alive, and that the calls have arrived.
    """
    if now_s - watched.last_contact_s >= BUSY_INTERVAL_S:
        return BUSY_INTERVAL_S
    if now_s - watched.last_delivery_s >= IDLE_INTERVAL_S:
        return IDLE_INTERVAL_S
    return inf
