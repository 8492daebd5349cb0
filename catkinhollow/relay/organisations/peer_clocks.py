"""Convert times of peers to lower bounds in the own clock.

A message of a peer names the own message that the peer had received before.
The peer sent it after that one, so its time of sending is at least that of the
own message. The difference of the two clocks that follows stays valid: it is
worth as much for a message that arrives minutes late.

Load: one conversion for each message about the configuration.
"""

from math import inf

from attrs import define

# Two clocks that run freely differ by less than this share of the time.
MAX_DRIFT = 0.001
# Times are sent in whole milliseconds.
ROUNDING_S = 0.002


@define(eq=False)
class _PeerClock:
    """Represent what is known of the clock of one process of a peer."""

    incarnation: int
    ahead_s: float = -inf
    """The own clock is ahead of the peer's by at least this."""
    measured_s: float = -inf
    """Own time for which this bound was found."""
    heard_ms: int = 0
    """Latest time of sending that has arrived."""

    def bound_s(self, now_s: float) -> float:
        if self.ahead_s == -inf:
            return -inf
        return self.ahead_s - MAX_DRIFT * max(0.0, now_s - self.measured_s)


class PeerClocks:
    """Keep the best bound for the clock of each peer."""

    def __init__(self) -> None:
        self._clocks: dict[str, _PeerClock] = {}

    def heard_ms(self, address: str) -> tuple[int, int]:
        """Return the incarnation of a peer and its last time of sending."""
        clock = self._clocks.get(address)
        return (0, 0) if clock is None else (clock.incarnation, clock.heard_ms)

    def record(
        self,
        address: str,
        incarnation: int,
        sent_ms: int,
        echoed_s: float | None,
        now_s: float,
    ) -> None:
        """Record a message; the peer has sent it after the own time echoed."""
        clock = self._clocks.get(address)
        if clock is None or clock.incarnation != incarnation:
            clock = self._clocks[address] = _PeerClock(incarnation)
        clock.heard_ms = max(clock.heard_ms, sent_ms)
        if echoed_s is None:
            return
        ahead_s = echoed_s - sent_ms / 1000.0 - ROUNDING_S
        if ahead_s >= clock.bound_s(now_s):
            clock.ahead_s, clock.measured_s = ahead_s, echoed_s

    def to_own_s(self, address: str, peer_ms: int, now_s: float) -> float:
        """Return a lower bound of a peer's time in the own clock."""
        clock = self._clocks.get(address)
        return -inf if clock is None else peer_ms / 1000.0 + clock.bound_s(now_s)

    def forget(self, address: str) -> None:
        """Forget a peer."""
        self._clocks.pop(address, None)
