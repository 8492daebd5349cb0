"""Admit the calls of one service, pick targets and record results."""

from collections import Counter

from attrs import define, field, frozen

from catkinhollow.calls.admission import ServiceAdmission, call_priority
from catkinhollow.calls.balancer import Picker
from catkinhollow.calls.call import Call, FinishedAttempt
from catkinhollow.calls.directory import TargetEntry
from catkinhollow.calls.evidence_counts import EvidenceCounts
from catkinhollow.calls.latency import RouteLatencies, RouteLatency
from catkinhollow.calls.pool import ServicePool
from catkinhollow.calls.retries import AttemptKind, RetryBudget
from catkinhollow.calls.targets import Sample
from catkinhollow.calls.waiting import WaitClass, WaitingList

# A timeout counts as a failure of the target only if the attempt had at least
# this fraction of the route's timeout; a caller's deadline may leave less time
# than any target needs.
FULL_TIMEOUT_FRACTION = 0.2

_SAMPLES = {
    AttemptKind.REFUSED: Sample.REFUSED,
    AttemptKind.NOT_CONNECTED: Sample.UNREACHABLE,
    AttemptKind.BROKEN: Sample.FAILED,
    AttemptKind.SILENT: Sample.IGNORED,
    AttemptKind.CANCELLED: Sample.IGNORED,
}


@frozen(kw_only=True)
class ServiceStatus:
    """Represent the state of one service for the metrics."""

    name: str
    in_flight: int
    waiting: int
    capacity: float
    targets: int
    cold: int
    ejected: int


@define(kw_only=True)
class CallCounters:
    """Represent the counters that all services of a router share."""

    in_flight: int = 0
    calls: int = 0
    attempts: int = 0
    retries: int = 0
    retries_denied: int = 0
    refusals: Counter[str] = field(factory=Counter)
    outcomes: Counter[str] = field(factory=Counter)


@define(kw_only=True, eq=False)
class ServiceCalls:
    """Represent the state of one service; implement `CallHost`."""

    name: str
    pool: ServicePool
    picker: Picker
    latencies: RouteLatencies
    evidence: EvidenceCounts
    counters: CallCounters
    slow_start_s: float = 0.0
    admission: ServiceAdmission = field(factory=ServiceAdmission)
    budget: RetryBudget = field(factory=lambda: RetryBudget(percent=0.0))
    waiting: WaitingList[Call] = field(factory=lambda: WaitingList[Call]())

    def begin(self) -> None:
        """Count a new call."""
        self.budget.earn()
        self.counters.in_flight += 1
        self.counters.calls += 1

    def admit(self, call: Call, now_s: float) -> bool:
        """Count the call as in flight; return False if there is no room."""
        capacity = self.pool.capacity
        priority = call_priority(call.route)
        return self.admission.admit(call.account, priority, capacity, now_s)

    def is_outranked(self, call: Call) -> bool:
        """Return whether a waiting call goes before this one."""
        return bool(self.waiting) and self.waiting.outranks(_wait_class(call))

    def enqueue(self, call: Call, now_s: float) -> bool:
        """Count the call as no longer in flight and queue it.

        Return False if the waiting list is full.
        """
        self._release_admission(call, now_s)
        dropped = self.waiting.add(_wait_class(call), call)
        if dropped is not None and dropped is not call:
            dropped.shed()
        return dropped is not call

    def dequeue(self, call: Call) -> None:
        """Remove the call from the waiting list."""
        self.waiting.remove(_wait_class(call), call)

    def wake(self, now_s: float) -> None:
        """Grant targets to the waiting calls, the highest priority first."""
        for calls in self.waiting.by_priority():
            for call in calls:
                # Later calls of the same class would be refused for the same
                # reason.
                if not call.grant(now_s):
                    break

    def pick_target(
        self, call: Call, excluded: list[TargetEntry], now_s: float
    ) -> TargetEntry | None:
        """Return a target with free capacity, or None."""
        self.pool.refresh(now_s)
        max_in_flight = call.policy.max_in_flight_per_target
        return self.picker.pick(self.pool, max_in_flight, excluded, now_s)

    def start(self, entry: TargetEntry) -> None:
        """Count an attempt as in flight."""
        entry.stats.start()
        self.pool.count_send(entry.record.version)

    def spend_retry(self, call: Call, cost: float) -> bool:
        """Return whether the budget allows a retry, and charge it."""
        allowed = self.budget.spend(cost)
        self.counters.retries += allowed
        self.counters.retries_denied += not allowed
        return allowed

    def median_latency_s(self, call: Call) -> float:
        """Return the median latency of the call's route, 0 if unknown.

        The median is that of the targets in this daemon's region.
        """
        region = self.pool.location.region
        return self.latencies.find(call.route.name, region).median_s

    def record_attempt(
        self, call: Call, attempt: FinishedAttempt, now_s: float
    ) -> None:
        """Record the result of an attempt that has ended."""
        entry, duration_s = attempt.entry, attempt.duration_s
        self.counters.attempts += 1
        latency = self.latencies.find(call.route.name, entry.region)
        ratio = latency.ratio(duration_s)
        sample = _classify(call, attempt, ratio)
        slow = self._is_slow_in_evidence(entry, sample, latency, duration_s, now_s)
        rate = self.pool.bad_sample_rate
        entry.stats.finish(sample, duration_s, ratio, rate, now_s)
        self.pool.record_sample(entry, sample, now_s)
        if sample in (Sample.CLEAN, Sample.SLOW):
            latency.add(duration_s)
        key = (self.name, entry.record.version, call.route.name)
        self.evidence.add(key, sample, duration_s, slow)

    def release(self, call: Call, now_s: float) -> None:
        """Count the end of the call and grant targets to waiting calls."""
        assert call.outcome is not None
        self._release_admission(call, now_s)
        self.counters.in_flight -= 1
        self.counters.outcomes[call.outcome.value] += 1
        if self.waiting:
            self.wake(now_s)

    def status(self, now_s: float) -> ServiceStatus:
        """Return the state for the metrics."""
        pool = self.pool
        return ServiceStatus(
            name=self.name,
            in_flight=self.admission.in_flight,
            waiting=len(self.waiting),
            capacity=pool.capacity,
            targets=len(pool.entries),
            cold=sum(entry.stats.is_cold for entry in pool.entries),
            ejected=len(pool.ejected(now_s)),
        )

    def _release_admission(self, call: Call, now_s: float) -> None:
        if call.admitted:
            call.admitted = False
            self.admission.release(call.account, call_priority(call.route), now_s)

    def _is_slow_in_evidence(
        self,
        entry: TargetEntry,
        sample: Sample,
        latency: RouteLatency,
        duration_s: float,
        now_s: float,
    ) -> bool:
        # Targets of a good version are slow as well while they are cold.
        warm = now_s - entry.started_s >= self.slow_start_s
        answered = sample in (Sample.CLEAN, Sample.SLOW)
        return warm and answered and duration_s > latency.slow_limit_s


def _wait_class(call: Call) -> WaitClass:
    return WaitClass(call_priority(call.route), call.route.name, call.account)


def _classify(call: Call, attempt: FinishedAttempt, ratio: float) -> Sample:
    result = attempt.result
    if result.is_server_error:
        return Sample.FAILED
    if result.kind is AttemptKind.ANSWERED:
        return Sample.SLOW if attempt.entry.stats.is_slow(ratio) else Sample.CLEAN
    if result.kind is AttemptKind.TIMEOUT:
        full_s = FULL_TIMEOUT_FRACTION * call.policy.timeout_ms / 1000
        return Sample.FAILED if attempt.timeout_s >= full_s else Sample.SLOW
    return _SAMPLES[result.kind]
