"""Let the kernel end TCP connections that have gone silent.

The kernel probes a connection without traffic, and ends one whose peer does
not acknowledge. A peer that acknowledges may take as long as it likes.
"""

import socket
from typing import Protocol

from attrs import frozen

from catkinhollow.logs import get_logger

logger = get_logger(__name__)


class OptionSocket(Protocol):
    """Set options of a socket."""

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Set one option."""


@frozen(kw_only=True)
class SilenceLimits:
    """Configure when the kernel ends a connection."""

    probe_interval_s: int
    """Time without traffic before each keep-alive probe."""
    lost_probes: int
    """Unanswered probes after which an idle connection ends."""
    unacknowledged_ms: int
    """Time after which a connection with unacknowledged bytes ends.

    With a value below the time that the probes take, fewer of them are sent.
    """


# The other end is on the same machine, where no packet is lost.
LOCAL_LIMITS = SilenceLimits(probe_interval_s=1, lost_probes=2, unacknowledged_ms=1000)
# A lost packet must not end a connection.
REMOTE_LIMITS = SilenceLimits(probe_interval_s=1, lost_probes=3, unacknowledged_ms=3500)
# A caller may read the body of its answer with pauses.
CALLER_LIMITS = SilenceLimits(
    probe_interval_s=5, lost_probes=3, unacknowledged_ms=15_000
)


def limit_silence(sock: OptionSocket, limits: SilenceLimits) -> None:
    """Let the kernel end a connection that has gone silent."""
    tcp = socket.IPPROTO_TCP
    _set_option(sock, socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    _set_option(sock, tcp, socket.TCP_KEEPIDLE, limits.probe_interval_s)
    _set_option(sock, tcp, socket.TCP_KEEPINTVL, limits.probe_interval_s)
    _set_option(sock, tcp, socket.TCP_KEEPCNT, limits.lost_probes)
    limit_unacknowledged(sock, limits.unacknowledged_ms)


def limit_unacknowledged(sock: OptionSocket, limit_ms: int) -> None:
    """Limit how long written bytes may stay unacknowledged, 0 for no limit.

    The limit also ends a connection whose peer acknowledges but reads nothing.
    """
    _set_option(sock, socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)


def _set_option(sock: OptionSocket, level: int, option: int, value: int) -> None:
    try:
        sock.setsockopt(level, option, value)
    except OSError as error:
        # The next read or write reports a connection that has ended.
        logger.warning("socket option not set", option=option, reason=str(error))
