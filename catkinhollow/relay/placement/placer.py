"""Choose the gate that a call is sent to.

Many ingress daemons place calls at the same time and see the same reports,
which are slightly out of date. Each daemon therefore adds the calls that it
has sent since a report and randomizes its estimates; otherwise all of them
would send a burst to the one target that looked free. In a large fleet
reports are rare, so the load in an old report has less weight and the random
part more.
"""

from collections.abc import Collection, Sequence
from math import ceil, exp
from random import Random
from typing import Protocol

from attrs import frozen

from catkinhollow.generated.relay import GateState, TargetReport
from catkinhollow.relay.links.link_pacer import MIN_BULK_BYTES
from catkinhollow.relay.placement.expected_end import (
    RunEstimate,
    estimate_run,
    mean_run_ms,
    targets_differ,
)
from catkinhollow.relay.placement.peers import Peer
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
# Random part of the expected end where targets differ in speed: at least, and
# for a target that is full or whose report is old. With half of it a burst of
# 78 daemons fills the fast targets first, and 0.02 more of the calls are late.
MIN_SPREAD = 0.1
SPREAD = 0.8
# Cost of full utilization where targets differ in speed. Free slots are then
# filled at all targets instead of those of the fastest first, so that a
# target that slows down holds fewer runs.
SPEED_BUSY_SHARE = 1.0
# Share of the targets at the best distance among which a call is placed, a
# random one for each call, where targets differ in speed. It bounds the share
# of all daemons that choose the one target that looks best in all reports.
SAMPLE_SHARE = 0.34
MIN_SAMPLE = 4
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
    """Configure how long a call waits nearby rather than go far away.

    Times are in milliseconds. The cost of another failure domain includes the
    price of the transferred bytes: a download of 90 KB should rather wait for
    a whole run at a target nearby than be served from there.
    """

    other_domain_ms: float = 20.0
    other_domain_ms_per_kb: float = 1.0
    other_region_ms: float = 60.0
    spare_time_share: float = 0.1
    """Least cost as a share of the time that a call can wait."""


@frozen(kw_only=True)
class CallProfile:
    """Describe what is known about a call before it is placed."""

    answer_kb: float = 1.0
    """Expected size of the answer in KiB."""
    target_latency_ms: float = 0.0
    """Time from the request to its soft deadline."""
    route: str = ""


class Placer(Protocol):
    """Choose a peer for a call."""

    def choose(
        self,
        candidates: Sequence[Peer],
        excluded: Collection[str],
        profile: CallProfile,
    ) -> Peer | None:
        """Return the peer that should run the call, None if none can."""


@frozen
class _Candidate:
    """Represent a gate that can take a call."""

    peer: Peer
    report: TargetReport
    load: float
    """Estimated number of running and waiting calls."""
    freshness: float
    transfer_ms: float
    """Expected wait of the answer for the link of the gate's instance."""
    run: RunEstimate | None = None
    """Expected run times, None if the targets are equally fast."""

    @property
    def slots(self) -> int:
        return max(1, self.report.slots)

    @property
    def service_ms(self) -> float:
        if self.run is not None:
            return self.run.run_ms or DEFAULT_SERVICE_MS
        return self.report.service_ms or DEFAULT_SERVICE_MS

    @property
    def wait_ms(self) -> float:
        """Return the expected wait for a slot, and of the answer."""
        excess = max(0.0, self.load + 1 - self.slots)
        held_ms = self.service_ms
        if self.run is not None:
            held_ms = self.run.held_run_ms or DEFAULT_SERVICE_MS
        return held_ms * excess / self.slots + self.transfer_ms

    @property
    def end_ms(self) -> float:
        """Return the time by which targets of different speed are compared."""
        return self.wait_ms + self.service_ms if self.run else self.wait_ms


class LeastWaitPlacer:
    """Choose the gate with the shortest estimated wait.

    A call stays in its failure domain while a target there has a free slot,
    and after that until the wait costs more than the distance.
    """

    def __init__(
        self, own: Peer, distances: Distances, clock: Clock, random: Random
    ) -> None:
        self._own = own
        self._distances = distances
        self._clock = clock
        self._random = random

    def choose(
        self,
        candidates: Sequence[Peer],
        excluded: Collection[str],
        profile: CallProfile,
    ) -> Peer | None:
        """Return the peer that should run the call, None if none can."""
        now_s = self._clock.monotonic()
        available = [
            (peer, peer.report)
            for peer in candidates
            if peer.report is not None
            and peer.accepts_calls
            and peer.record.address not in excluded
        ]
        best = self._choose_new(available, now_s)
        if best is None and available:
            estimated = self._estimate(available, profile, now_s)
            nearest = self._find_nearest(estimated, profile)
            if nearest[0].run is not None:
                count = max(MIN_SAMPLE, ceil(SAMPLE_SHARE * len(nearest)))
                nearest = self._random.sample(nearest, min(len(nearest), count))
            best = min(nearest, key=self._cost_ms).peer
        if best is not None:
            best.last_called_s = now_s
        return best

    def _estimate(
        self,
        available: Sequence[tuple[Peer, TargetReport]],
        profile: CallProfile,
        now_s: float,
    ) -> list[_Candidate]:
        mean_utilization = _mean_utilization(available)
        has_body = profile.answer_kb * 1024 > MIN_BULK_BYTES
        candidates = []
        differ = targets_differ(available, profile.route)
        run_ms = 0.0
        if differ:
            run_ms = mean_run_ms((peer for peer, _ in available), profile.route)
        for peer, report in available:
            freshness = exp((peer.reported_s - now_s) / REPORT_MEMORY_S)
            load: float = freshness * (report.running + report.waiting)
            load += (1.0 - freshness) * mean_utilization * max(1, report.slots)
            load += UNREPORTED_WEIGHT * peer.sent_since_report
            if report.state is GateState.COLD:
                load = load * COLD_FACTOR + 1
            transfer_ms = freshness * report.transfer_ms if has_body else 0.0
            run = None
            if differ:
                run = estimate_run(peer, report, profile.route, run_ms, freshness)
            candidates.append(
                _Candidate(peer, report, load, freshness, transfer_ms, run)
            )
        return candidates

    def _find_nearest(
        self, candidates: list[_Candidate], profile: CallProfile
    ) -> list[_Candidate]:
        """Return the gates of the distance at which the call should run."""
        tiers: dict[int, list[_Candidate]] = {}
        for candidate in candidates:
            tiers.setdefault(self._distance(candidate.peer), []).append(candidate)
        return min(
            (tiers[distance] for distance in sorted(tiers)),
            key=lambda tier: self._tier_cost_ms(tier, profile),
        )

    def _tier_cost_ms(self, tier: list[_Candidate], profile: CallProfile) -> float:
        best = min(tier, key=lambda candidate: candidate.end_ms)
        distance = self._distance(best.peer)
        if not distance:
            return best.end_ms
        distances = self._distances
        cost_ms = distances.other_domain_ms_per_kb * profile.answer_kb
        cost_ms += distances.other_domain_ms
        spare_ms = profile.target_latency_ms - best.service_ms
        cost_ms = max(cost_ms, distances.spare_time_share * spare_ms)
        if distance > 1:
            cost_ms += distances.other_region_ms
        return best.end_ms + cost_ms

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

    def _cost_ms(self, candidate: _Candidate) -> float:
        """Return the randomized cost of a gate among those equally near."""
        utilization = candidate.load / candidate.slots
        uncertainty = max(min(1.0, utilization), 1.0 - candidate.freshness)
        if candidate.run is not None:
            return self._random_end_ms(candidate, utilization, uncertainty)
        share = BUSY_SHARE * utilization
        share += JITTER_SHARE * uncertainty * self._random.random()
        return candidate.wait_ms + candidate.service_ms * share

    def _random_end_ms(
        self, candidate: _Candidate, utilization: float, uncertainty: float
    ) -> float:
        """Return the randomized cost of a gate where targets differ in speed.

        The least of exponentially distributed costs falls on each target in
        inverse proportion to its mean, so that fast targets get more of a
        burst and none gets all of it.
        """
        end_ms = candidate.end_ms
        end_ms += candidate.service_ms * SPEED_BUSY_SHARE * utilization
        spread = max(MIN_SPREAD, SPREAD * uncertainty)
        return end_ms * (1.0 - spread + spread * self._random.expovariate(1.0))

    def _distance(self, peer: Peer) -> int:
        """Return 0 in the failure domain, 1 in the region, 2 elsewhere."""
        own, other = self._own.record, peer.record
        if own.failure_domain == other.failure_domain:
            return 0
        return 1 if own.region == other.region else 2


def _mean_utilization(available: Sequence[tuple[Peer, TargetReport]]) -> float:
    """Return the load of all targets as a share of their slots."""
    load = sum(report.running + report.waiting for _, report in available)
    return load / max(1, sum(report.slots for _, report in available))
