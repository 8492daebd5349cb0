"""Choose the gate that a call is sent to.

Many ingress daemons place calls at the same time and see the same reports,
which are slightly out of date. Each daemon therefore adds the calls that it
has sent since a report and randomizes its estimates; otherwise all of them
would send a burst to the one target that looked free. In a large fleet
reports are rare, so the load in an old report has less weight and the random
part more.
"""

from collections.abc import Collection, Sequence
from math import exp
from random import Random
from typing import Protocol

from attrs import frozen

from catkinhollow.generated.relay import GateState, TargetReport
from catkinhollow.relay.peers import Peer
from catkinhollow.timer import Clock

# Run time assumed for a target that has not reported one.
DEFAULT_SERVICE_MS = 100.0
# Cost of full utilization as a share of the run time: a target with free slots
# still answers more slowly when it is nearly full.
BUSY_SHARE = 0.5
# Random part of an estimate, as a share of the run time, for a target that is
# full or whose report is old. Daemons with equal reports must choose different
# targets when these are busy, while a target in the same failure domain that
# has just reported free slots is always a good choice.
JITTER_SHARE = 0.3
# Time constant with which the load in a report loses weight, several run
# times long.
REPORT_MEMORY_S = 1.0
# A new target that this daemon has not called for this long may get its next
# call, so that new targets are used from all failure domains.
EXPLORE_S = 10.0
# Runs after which a target is no longer new. Without this limit 90 ingress
# daemons sent most of their calls to targets in other failure domains, one
# after another.
EXPLORE_RUNS = 10
# The share of a daemon's calls that go to new targets, while there are any, is
# this number divided by the number of available targets. Otherwise all daemons
# of a large fleet would send all calls to new targets until the next reports.
EXPLORE_CALLS = 4.0
# Weight of a call sent after the report: other ingress daemons, which have
# the same report, have probably sent calls there too.
UNREPORTED_WEIGHT = 2.0
# Factor on the load of a cold target, which crashes when it is overloaded.
COLD_FACTOR = 2.0


@frozen(kw_only=True)
class Distances:
    """Configure the cost of a call's distance as milliseconds of waiting.

    The cost of another failure domain includes the price of the transferred
    bytes: a download of 90 KB should rather wait for a whole run at a target
    nearby than be served from there.
    """

    same_domain_ms: float = 0.5
    other_domain_ms: float = 20.0
    other_domain_ms_per_kb: float = 1.0
    other_region_ms: float = 60.0


class Placer(Protocol):
    """Choose a peer for a call."""

    def choose(
        self, candidates: Sequence[Peer], excluded: Collection[str], answer_kb: float
    ) -> Peer | None:
        """Return the peer that should run the call, None if none can.

        `answer_kb` is the expected size of the answer in KiB.
        """


class LeastWaitPlacer:
    """Choose the gate with the shortest estimated wait."""

    def __init__(
        self, own: Peer, distances: Distances, clock: Clock, random: Random
    ) -> None:
        self._own = own
        self._distances = distances
        self._clock = clock
        self._random = random

    def choose(
        self, candidates: Sequence[Peer], excluded: Collection[str], answer_kb: float
    ) -> Peer | None:
        """Return the peer that should run the call, None if none can.

        `answer_kb` is the expected size of the answer in KiB.
        """
        now_s = self._clock.monotonic()
        available = [
            (peer, peer.report)
            for peer in candidates
            if peer.report is not None
            and peer.accepts_calls
            and peer.record.address not in excluded
        ]
        mean_utilization = _mean_utilization(available)
        best = self._choose_new(available, now_s)
        best_ms = 0.0
        for peer, report in available if best is None else ():
            freshness = exp((peer.reported_s - now_s) / REPORT_MEMORY_S)
            cost_ms = self._cost_ms(peer, report, freshness, mean_utilization)
            cost_ms += self._distance_ms(peer, answer_kb)
            if best is None or cost_ms < best_ms:
                best, best_ms = peer, cost_ms
        if best is not None:
            best.last_called_s = now_s
        return best

    def _choose_new(
        self, available: Sequence[tuple[Peer, TargetReport]], now_s: float
    ) -> Peer | None:
        """Return a new target that should get this call, if any."""
        unexplored = [
            peer
            for peer, report in available
            if self._needs_exploration(peer, report, now_s)
        ]
        if not unexplored or self._random.random() * len(available) >= EXPLORE_CALLS:
            return None
        return self._random.choice(unexplored)

    def _needs_exploration(
        self, peer: Peer, report: TargetReport, now_s: float
    ) -> bool:
        """Return whether a target is new, free and not recently called."""
        free = report.running + peer.sent_since_report < report.slots
        new = report.runs < EXPLORE_RUNS and now_s - peer.last_called_s > EXPLORE_S
        return new and free and not report.waiting

    def _cost_ms(
        self,
        peer: Peer,
        report: TargetReport,
        freshness: float,
        mean_utilization: float,
    ) -> float:
        service_ms = report.service_ms or DEFAULT_SERVICE_MS
        slots = max(1, report.slots)
        load: float = freshness * (report.running + report.waiting)
        load += (1.0 - freshness) * mean_utilization * slots
        load += UNREPORTED_WEIGHT * peer.sent_since_report
        if report.state is GateState.COLD:
            load = load * COLD_FACTOR + 1
        utilization = load / slots
        waiting = max(0.0, load + 1 - slots)
        cost_ms = service_ms * (waiting / slots + BUSY_SHARE * utilization)
        uncertainty = max(min(1.0, utilization), 1.0 - freshness)
        return cost_ms + JITTER_SHARE * service_ms * uncertainty * self._random.random()

    def _distance_ms(self, peer: Peer, answer_kb: float) -> float:
        own, other = self._own.record, peer.record
        distances = self._distances
        if peer is self._own:
            return 0.0
        if own.failure_domain == other.failure_domain:
            return distances.same_domain_ms
        bytes_ms = distances.other_domain_ms_per_kb * answer_kb
        if own.region == other.region:
            return distances.other_domain_ms + bytes_ms
        return distances.other_region_ms + bytes_ms


def _mean_utilization(available: Sequence[tuple[Peer, TargetReport]]) -> float:
    """Return the load of all targets as a share of their slots."""
    load = sum(report.running + report.waiting for _, report in available)
    return load / max(1, sum(report.slots for _, report in available))
