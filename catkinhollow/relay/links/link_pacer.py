"""Decide when bulk data may go onto the network link of the instance.

All connections of a daemon share one link. Bodies that are sent as fast as
the connections take them wait on the link by the megabyte, and everything that
is sent later waits behind them: statuses, requests for a new configuration,
answers to readiness checks. The pacer lets as much bulk data through as the
link can carry, so that the rest waits in the daemon, where small messages go
first. It answers the load of downloads on a link of a few Mbit/s.
"""

from math import inf

from attrs import define, field

# Calls and answers above this size are bulk data. Smaller ones take a few
# milliseconds of a slow link.
MIN_BULK_BYTES = 4096
# Share of the link that paced data may use; the rest is left for headers, and
# for the link to empty its queue.
PACED_SHARE = 0.9
# Time for which the link may be idle or overdrawn. Longer bursts would delay
# small messages by as much.
BURST_S = 0.05
# The debt that unpaced data, such as responses to callers on the instance, can
# leave. A higher one would stop all bulk data to peers under a load of
# responses.
MAX_DEBT_S = 0.25
BITS_PER_MEGABYTE = 8.0
BYTES_PER_MEGABYTE = 1e6


@define
class LinkPacer:
    """Track how much data the link can take."""

    link_mbps: float
    """Capacity of the link in Mbit/s, 0 if it is unknown."""
    _bytes_per_s: float = field(init=False)
    _credit: float = field(init=False)
    _updated_s: float = field(init=False, default=0.0)

    def __attrs_post_init__(self) -> None:
        megabytes_per_s = self.link_mbps * PACED_SHARE / BITS_PER_MEGABYTE
        self._bytes_per_s = megabytes_per_s * BYTES_PER_MEGABYTE or inf
        self._credit = self._bytes_per_s * BURST_S

    def wait_s(self, now_s: float) -> float:
        """Return the time until bulk data may be sent, in seconds."""
        if self._bytes_per_s == inf:
            return 0.0
        self._update(now_s)
        return max(0.0, -self._credit / self._bytes_per_s)

    def transfer_s(self, size_bytes: int, now_s: float) -> float:
        """Return the time until this much queued data has been sent."""
        return self.wait_s(now_s) + size_bytes / self._bytes_per_s

    def sent(self, size_bytes: int, now_s: float) -> None:
        """Record data of any kind that was sent."""
        if self._bytes_per_s == inf:
            return
        self._update(now_s)
        lowest = -self._bytes_per_s * MAX_DEBT_S
        self._credit = max(lowest, self._credit - size_bytes)

    def _update(self, now_s: float) -> None:
        earned = max(0.0, now_s - self._updated_s) * self._bytes_per_s
        self._credit = min(self._bytes_per_s * BURST_S, self._credit + earned)
        self._updated_s = now_s
