"""Decide how often a daemon tries to connect to a peer."""

from attrs import define, frozen

# A connect to an instance without power blocks in the kernel for minutes,
# while a new connect succeeds as soon as the instance is back.
MIN_ATTEMPT_S = 1.0
# Records of removed instances remain in the store for half a minute, and a
# daemon must not spend its processor time on connects to them. A peer that
# comes back connects to this daemon, which then dials at once.
MAX_ATTEMPT_S = 8.0
# Attempts of the minimum length: a daemon that is restarted, or that was
# partitioned for a moment, is back within these.
QUICK_ATTEMPTS = 2
# Longest pause after the first refused connect of a quick attempt; it doubles
# with each further connect. Longer attempts pause for up to their length.
MIN_RECONNECT_S = 0.3
# Minimum age of an attempt before contact with the peer replaces it.
MIN_RETRY_INTERVAL_S = 0.3


@frozen(kw_only=True)
class DialAttempt:
    """Describe one attempt to connect; times are in seconds."""

    started_s: float
    length_s: float
    """Time after which a new socket replaces that of the attempt."""
    min_reconnect_s: float
    max_reconnect_s: float


@define
class DialSchedule:
    """Lengthen the attempts to connect to a peer while they fail."""

    _attempt: DialAttempt | None = None
    _failures: int = 0

    def start(self, now_s: float) -> DialAttempt:
        """Return the next attempt."""
        doublings = max(0, self._failures - QUICK_ATTEMPTS + 1)
        self._failures += 1
        length_s = min(MAX_ATTEMPT_S, MIN_ATTEMPT_S * 2.0**doublings)
        self._attempt = DialAttempt(
            started_s=now_s,
            length_s=length_s,
            min_reconnect_s=length_s if doublings else MIN_RECONNECT_S,
            max_reconnect_s=length_s,
        )
        return self._attempt

    def connected(self) -> None:
        """Record that the peer has accepted the connection."""
        self._failures = 0

    def contacted(self, now_s: float) -> bool:
        """Return whether to replace the attempt, because the peer is alive."""
        self._failures = 0
        attempt = self._attempt
        return attempt is not None and now_s - attempt.started_s >= MIN_RETRY_INTERVAL_S

    def is_over(self, now_s: float) -> bool:
        """Return whether the attempt has failed."""
        attempt = self._attempt
        return attempt is not None and now_s - attempt.started_s > attempt.length_s
