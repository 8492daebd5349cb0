"""Choose the gate that a call is sent to.

Load it answers: bursts from many entries at once. Each report is a moment
old and all entries see the same one, so an entry adds what it has sent since
the report and varies its estimates; otherwise every entry would send a burst
to the one target that looked free.
"""

from collections.abc import Collection, Sequence
from random import Random
from typing import Protocol

from attrs import frozen

from catkinhollow.generated.relay import GateState, TargetReport
from catkinhollow.relay.peers import Peer

# Time of a run that is assumed for a target that has not told one.
ASSUMED_SERVICE_MS = 100.0
# Cost of a busy slot as a share of a run: a target with free slots still
# answers more slowly when it is nearly full.
BUSY_SHARE = 0.5
# Random part of an estimate, as a share of a run; about half of the cost of a
# full target, so that entries with equal reports choose different targets.
JITTER_SHARE = 0.3
# Weight of a call sent after the report: other entries, which saw the same
# report, have probably sent there too.
UNREPORTED_WEIGHT = 2.0
# Factor on the load of a cold target, which crashes when it is overrun.
COLD_FACTOR = 2.0


@frozen(kw_only=True)
class Distances:
    """Hold the cost of a call's way, as milliseconds of waiting.

    The cost of leaving the failure domain contains the price of its bytes.
    """

    same_domain_ms: float = 1.0
    other_domain_ms: float = 15.0
    other_region_ms: float = 60.0


class Placer(Protocol):
    """Choose a peer for a call."""

    def choose(
        self, candidates: Sequence[Peer], excluded: Collection[str]
    ) -> Peer | None:
        """Return the peer that should run the call, None if none can."""


class LeastWaitPlacer:
    """Choose the gate with the shortest estimated wait."""

    def __init__(self, own: Peer, distances: Distances, random: Random) -> None:
        self._own = own
        self._distances = distances
        self._random = random

    def choose(
        self, candidates: Sequence[Peer], excluded: Collection[str]
    ) -> Peer | None:
        """Return the peer that should run the call, None if none can."""
        best: Peer | None = None
        best_ms = 0.0
        for peer in candidates:
            report = peer.report
            if report is None or not peer.accepts_calls:
                continue
            if peer.record.address in excluded:
                continue
            cost_ms = self._cost_ms(peer, report)
            if best is None or cost_ms < best_ms:
                best, best_ms = peer, cost_ms
        return best

    def _cost_ms(self, peer: Peer, report: TargetReport) -> float:
        service_ms = report.service_ms or ASSUMED_SERVICE_MS
        slots = max(1, report.slots)
        load: float = report.running + report.waiting
        load += UNREPORTED_WEIGHT * peer.sent_since_report
        if report.state is GateState.COLD:
            load = load * COLD_FACTOR + 1
        waiting = max(0.0, load + 1 - slots)
        cost_ms = service_ms * (waiting / slots + BUSY_SHARE * load / slots)
        jitter_ms = JITTER_SHARE * service_ms * self._random.random()
        return cost_ms + jitter_ms + self._distance_ms(peer)

    def _distance_ms(self, peer: Peer) -> float:
        own, other = self._own.record, peer.record
        if peer is self._own:
            return 0.0
        if own.failure_domain == other.failure_domain:
            return self._distances.same_domain_ms
        if own.region == other.region:
            return self._distances.other_domain_ms
        return self._distances.other_region_ms
