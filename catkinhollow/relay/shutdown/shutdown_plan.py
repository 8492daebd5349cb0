"""Decide when a daemon that is stopped gives up which work.

Callers and other daemons need some time to notice that the daemon ends. Until
then it accepts requests, but none that could still run when it is killed: such
a request would be cut off, and whether it may be repeated would be unknown.
"""

from attrs import frozen

# Minimum time of a shutdown. The platform checks readiness once per second and
# needs two failed checks.
MIN_DRAIN_S = 2.2
# Requests of callers that keep sending, although the instance is not ready,
# are refused after this time. A request that has been sent within 3 s may run
# to the end of the grace period; later ones must not be accepted.
ACCEPT_REQUESTS_S = 2.8
# Time during which the gate still accepts calls. Callers on the instance need
# it to stop in any case, and the target behind the gate may be healthy.
ACCEPT_CALLS_S = 1.9
# Part of the grace period that is reserved for the last responses and for the
# exit of the process, which is killed at the end of the period.
EXIT_MARGIN_S = 0.9
# Requests are not aborted before this share of the grace period.
MIN_ABORT_SHARE = 5.0 / 6.0


@frozen
class ShutdownPlan:
    """Schedule a shutdown; all times are relative to its start."""

    grace_s: float

    @property
    def refuse_calls_s(self) -> float:
        """Return when the gate refuses further calls."""
        return min(ACCEPT_CALLS_S, 0.3 * self.grace_s)

    @property
    def refuse_requests_s(self) -> float:
        """Return when further requests of callers are refused."""
        return min(ACCEPT_REQUESTS_S, 0.5 * self.grace_s)

    @property
    def min_end_s(self) -> float:
        """Return when the daemon may end if it has no more work."""
        return min(MIN_DRAIN_S, self.abort_s)

    @property
    def abort_s(self) -> float:
        """Return when open requests are answered with an error."""
        return max(MIN_ABORT_SHARE * self.grace_s, self.grace_s - EXIT_MARGIN_S)
