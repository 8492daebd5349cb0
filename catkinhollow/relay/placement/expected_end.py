"""Estimate when a call ends at targets that differ in speed.

Made for 80 ingress daemons that place calls at targets with speeds between
0.6 and 1.6, each of which slows down by a factor of 1.5 to 5 for moments. The
shortest wait is then not the earliest end: a free slow target takes longer
than a short queue at a fast one.
"""

from collections.abc import Iterable, Sequence

from attrs import frozen

from catkinhollow.generated.relay import TargetReport
from catkinhollow.relay.placement.peers import Peer

# Ratio of the longest to the shortest run time of a route from which on
# targets count as different. Means of varying run times differ by less.
DIFFERENT_RUN_TIMES = 1.5
# Ratio of the fastest to the slowest current speed for the same.
DIFFERENT_SPEEDS = 1.25
# Least speed that is assumed: reports below it would keep a target from calls
# that show that it has recovered.
MIN_SPEED = 0.1


@frozen
class RunEstimate:
    """Represent the expected run times at one target."""

    run_ms: float
    """Expected run time of the call that is placed."""
    held_run_ms: float
    """Mean expected run time of the calls that are already there."""


def targets_differ(available: Sequence[tuple[Peer, TargetReport]], route: str) -> bool:
    """Return whether the targets differ in speed, as far as is known."""
    shortest_ms = longest_ms = 0
    slowest = fastest = 1.0
    for peer, report in available:
        run_ms = peer.route_ms.get(route)
        if run_ms:
            shortest_ms = min(shortest_ms, run_ms) if shortest_ms else run_ms
            longest_ms = max(longest_ms, run_ms)
        if report.speed:
            slowest = min(slowest, report.speed)
            fastest = max(fastest, report.speed)
    return (
        longest_ms > DIFFERENT_RUN_TIMES * shortest_ms
        or fastest > DIFFERENT_SPEEDS * slowest
    )


def mean_run_ms(peers: Iterable[Peer], route: str) -> float:
    """Return the mean run time of a route over the targets that know it."""
    known = [run_ms for peer in peers if (run_ms := peer.route_ms.get(route))]
    return sum(known) / len(known) if known else 0.0


def estimate_run(
    peer: Peer, report: TargetReport, route: str, mean_ms: float, freshness: float
) -> RunEstimate:
    """Return the expected run times at a target.

    The speed in an old report has less weight, because slow-downs end.
    """
    speed = 1.0
    if report.speed:
        speed = max(MIN_SPEED, 1.0 + freshness * (report.speed - 1.0))
    usual_ms = peer.route_ms.get(route) or mean_ms
    run_ms = usual_ms / speed if usual_ms else report.service_ms
    held = report.running + report.waiting
    held_ms = report.service_ms
    if report.held_ms and held:
        held_ms = report.held_ms / held / speed
    return RunEstimate(run_ms, held_ms or run_ms)
