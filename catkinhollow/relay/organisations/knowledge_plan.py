"""Decide whom to ask for, and tell of, the newest configuration.

One daemon that has asked the store tells its neighbours, which pass the news
on, so that about two calls of the store a second keep the whole fleet in
touch. The daemons that follow the store ask it first. Every other daemon asks
its peers, then the store, when the news has not come for longer than usual.

Load: hundreds of daemons, each with some ten neighbours; news twice a second;
a store that is away for all of them.
"""

from collections.abc import Collection, Iterable
from math import inf
from random import Random

from attrs import define, field, frozen

from catkinhollow.generated.relay import Knowledge
from catkinhollow.relay.organisations.freshness import Freshness
from catkinhollow.relay.organisations.peer_clocks import PeerClocks

# The times below are shares of the bound, 5 s on the users' platform.
# Age of the knowledge after which a follower asks the store.
FOLLOWER_SHARE = 0.1
# Random addition, so that mostly one follower asks.
FOLLOWER_SPREAD = 0.04
# The same for the other daemons.
OTHER_SHARE = 0.3
OTHER_SPREAD = 0.1
# Longest time between two calls of the store that fail; a follower does not
# increase it.
MAX_RETRY_SHARE = 0.8
# Age of the knowledge after which all linked peers are asked.
ASK_SHARE = 0.2
ASK_INTERVAL_SHARE = 0.2
# The same interval once requests with a key are refused.
LATE_ASK_INTERVAL_SHARE = 1.0
# News that are younger by less than this are not passed on. News of one source
# are further apart, so that each of them reaches all daemons at once.
STEP_SHARE = 0.05
# Each peer is asked after this time, which measures the bound of its clock
# again; by then that has lost 10 ms. What counts is the last question: its
# answer may give no better bound and must not cause the next one.
MEASURE_INTERVAL_S = 10.0


@frozen
class PollStore:
    """Request that the store is asked for changes of the configuration."""


@frozen
class Tell:
    """Request that a message is sent to a peer."""

    address: str
    message: Knowledge


Command = PollStore | Tell


@define(eq=False, kw_only=True)
class KnowledgePlan:
    """Exchange the knowledge of the newest configuration with peers.

    The incarnation is that of the own process.
    """

    freshness: Freshness
    incarnation: int
    random: Random
    started_s: float
    _clocks: PeerClocks = field(factory=PeerClocks)
    _told_s: dict[str, float] = field(factory=dict)
    """Own time of the latest knowledge that each peer has told or was told."""
    _questioned_s: dict[str, float] = field(factory=dict)
    """When each peer was last asked to answer at once."""
    _poll_due_s: float = field(default=-inf)
    """No call of the store before this time."""
    _failures: int = 0
    _spread: float = 0.0
    _asked_s: float = -inf

    def next_check_s(self, *, is_follower: bool) -> float:
        """Return when `check` must be called next."""
        return min(self._next_poll_s(is_follower), self._next_ask_s())

    def check(
        self, now_s: float, linked: Iterable[str], *, is_follower: bool
    ) -> list[Command]:
        """Return what is due because the knowledge is old."""
        commands: list[Command] = []
        if now_s >= self._next_poll_s(is_follower):
            self._schedule_retry(now_s, is_follower)
            commands.append(PollStore())
        if now_s >= self._next_ask_s():
            self._asked_s = now_s
            commands += [self._tell(address, now_s, asks=True) for address in linked]
        return commands

    def store_answered(
        self, newest: int, asked_s: float, now_s: float, neighbours: Collection[str]
    ) -> list[Command]:
        """Record the newest revision that the store had when it was asked."""
        return self._prove(newest, asked_s, now_s, neighbours)

    def settled(
        self,
        revision: int,
        now_s: float,
        neighbours: Collection[str],
        *,
        enforced: bool,
    ) -> list[Command]:
        """Record a configuration that has come into force or is refused."""
        before_s = self.freshness.known_s
        if enforced:
            self.freshness.enforced(revision)
        else:
            self.freshness.settled(revision)
        if self.freshness.known_s == before_s:
            return []
        return self._on_progress(now_s, neighbours)

    def link_up(self, address: str, now_s: float) -> list[Command]:
        """Exchange the knowledge with a peer that was not linked."""
        self._told_s.pop(address, None)
        return [self._tell(address, now_s, asks=True)]

    def forget(self, address: str) -> None:
        """Forget a peer whose link is down."""
        self._told_s.pop(address, None)
        self._questioned_s.pop(address, None)
        self._clocks.forget(address)

    def heard(
        self,
        address: str,
        incarnation: int,
        message: Knowledge,
        now_s: float,
        neighbours: Collection[str],
    ) -> list[Command]:
        """Process the message of a peer."""
        is_echo = message.receiver == self.incarnation and message.heard_ms > 0
        echoed_s = message.heard_ms / 1000.0 if is_echo else None
        self._clocks.record(address, incarnation, message.sent_ms, echoed_s, now_s)
        commands: list[Command] = []
        if message.known_ms is not None:
            known_s = self._clocks.to_own_s(address, message.known_ms, now_s)
            known_s = min(known_s, now_s)
            if known_s > -inf:
                told_s = max(self._told_s.get(address, -inf), known_s)
                self._told_s[address] = told_s
                commands = self._prove(message.revision, known_s, now_s, neighbours)
        if message.asks:
            commands.append(self._tell(address, now_s))
        return commands

    def _prove(
        self, revision: int, known_s: float, now_s: float, neighbours: Collection[str]
    ) -> list[Command]:
        if not self.freshness.prove(revision, known_s):
            return []
        return self._on_progress(now_s, neighbours)

    def _on_progress(self, now_s: float, neighbours: Collection[str]) -> list[Command]:
        self._failures = 0
        self._poll_due_s = -inf
        self._spread = self.random.random()
        newer_s = self.freshness.known_s - STEP_SHARE * self.freshness.bound_s
        return [
            self._tell(address, now_s)
            for address in neighbours
            if self._told_s.get(address, -inf) <= newer_s
        ]

    def _tell(self, address: str, now_s: float, *, asks: bool = False) -> Tell:
        known_s = self.freshness.known_s
        incarnation, heard_ms = self._clocks.heard_ms(address)
        if known_s > -inf:
            self._told_s[address] = max(self._told_s.get(address, -inf), known_s)
        questioned_s = self._questioned_s.get(address, -inf)
        asks = asks or now_s - questioned_s > MEASURE_INTERVAL_S
        if asks:
            self._questioned_s[address] = now_s
        return Tell(
            address,
            Knowledge(
                # Later than it was, as a receiver takes the difference to it.
                sent_ms=int(now_s * 1000) + 1,
                known_ms=None if known_s == -inf else max(0, int(known_s * 1000)),
                revision=self.freshness.enforced_revision,
                receiver=incarnation,
                heard_ms=heard_ms,
                asks=asks,
            ),
        )

    def _next_poll_s(self, is_follower: bool) -> float:
        if is_follower:
            share, spread = FOLLOWER_SHARE, FOLLOWER_SPREAD
            # A follower that has started knows nothing yet.
            known_s = self.freshness.known_s
        else:
            share, spread = OTHER_SHARE, OTHER_SPREAD
            known_s = max(self.freshness.known_s, self.started_s)
        age_s = (share + spread * self._spread) * self.freshness.bound_s
        return max(known_s + age_s, self._poll_due_s)

    def _schedule_retry(self, now_s: float, is_follower: bool) -> None:
        share = FOLLOWER_SHARE
        if not is_follower:
            share = min(MAX_RETRY_SHARE, 2 * FOLLOWER_SHARE * 2**self._failures)
        self._failures += 1
        jitter = self.random.uniform(1.0, 1.5)
        self._poll_due_s = now_s + share * jitter * self.freshness.bound_s

    def _next_ask_s(self) -> float:
        bound_s = self.freshness.bound_s
        known_s = max(self.freshness.known_s, self.started_s)
        share = ASK_INTERVAL_SHARE
        if self._asked_s - known_s > bound_s:
            share = LATE_ASK_INTERVAL_SHARE
        return max(known_s + ASK_SHARE * bound_s, self._asked_s + share * bound_s)
