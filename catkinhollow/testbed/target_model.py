"""Admit the calls to a stand-in target and decide how each one runs."""

from collections import deque
from math import floor
from random import Random
from typing import Any, Generic, TypeVar

from attrs import define, frozen
from expression import Error, Ok, Result

from catkinhollow.generated.messages import HealthReport, LoadReport, TargetState
from catkinhollow.generated.testbed import (
    FaultMode,
    HealthLie,
    LoadLie,
    TargetFaults,
    TargetProfile,
)

# A cold target sustains at least this many calls, or it would serve nothing.
MIN_SUSTAINED_CALLS = 1

ReportT = TypeVar("ReportT")


@frozen(kw_only=True)
class Call:
    """Describe a call as a target reads it from a request."""

    request_id: str
    method: str
    path: str
    idempotency_key: str = ""
    deadline_s: float | None = None
    work_ms: float | None = None
    body_bytes: int = 0
    then: tuple[str, ...] = ()


@define(eq=False, kw_only=True)
class Work:
    """Represent an admitted call, which has a slot or waits for one."""

    call: Call
    arrived_s: float
    has_slot: bool = False


@frozen(kw_only=True)
class Plan:
    """Describe how one call runs."""

    duration_s: float
    status: int
    fault: FaultMode


@frozen(kw_only=True)
class Refusal:
    """Report why a call does not run."""

    reason: str


class ColdStart:
    """Compute the slowdown of a target while it warms up."""

    def __init__(self, profile: TargetProfile, now_s: float) -> None:
        self._profile = profile
        self._cold_since_s = now_s

    def turn_cold(self, now_s: float) -> None:
        """Restart the warm-up."""
        self._cold_since_s = now_s

    def factor(self, now_s: float) -> float:
        """Return the multiplier of the service time, 1 when warm."""
        warmup_s = self._profile.warmup_s
        remaining_s = self._cold_since_s + warmup_s - now_s
        if remaining_s <= 0:
            return 1.0
        return 1.0 + (self._profile.cold_factor - 1.0) * remaining_s / warmup_s

    def sustained_calls(self, now_s: float) -> int:
        """Return how many concurrent calls run without failures."""
        return max(MIN_SUSTAINED_CALLS, floor(self._profile.slots / self.factor(now_s)))


class _LaggingReport(Generic[ReportT]):
    """Repeat a report until it is as old as the lag."""

    def __init__(self) -> None:
        self._last: tuple[float, ReportT] | None = None

    def read(self, report: ReportT, now_s: float, lag_s: float) -> ReportT:
        if self._last is None or now_s - self._last[0] >= lag_s:
            self._last = (now_s, report)
        return self._last[1]


class TargetModel:
    """Assign slots, and apply the cold start and the injected faults."""

    def __init__(
        self, profile: TargetProfile, *, now_s: float, version: str = ""
    ) -> None:
        self._profile = profile
        self._version = version
        self._random = Random(profile.seed)
        self._actual_cold_start = ColdStart(profile, now_s)
        self._announced_cold_start = ColdStart(profile, now_s)
        self._running: set[Work] = set()
        self._waiting: deque[Work] = deque()
        self._faults = TargetFaults()
        self._faults_set_s = now_s
        self._draining = False
        self._refused = 0
        self._health: _LaggingReport[HealthReport] = _LaggingReport()
        self._load: _LaggingReport[LoadReport] = _LaggingReport()

    @property
    def profile(self) -> TargetProfile:
        """Return the capacity and the service times."""
        return self._profile

    @property
    def faults(self) -> TargetFaults:
        """Return the injected faults."""
        return self._faults

    @property
    def refused(self) -> int:
        """Return the number of calls refused without a run."""
        return self._refused

    def set_faults(self, faults: TargetFaults, now_s: float) -> None:
        """Set the faults to inject; their delay starts now."""
        self._faults = faults
        self._faults_set_s = now_s

    def drain(self) -> None:
        """Refuse new calls; admitted calls finish."""
        self._draining = True

    def undrain(self) -> None:
        """Accept new calls again."""
        self._draining = False

    def turn_cold(self, now_s: float, *, announced: bool) -> None:
        """Restart the warm-up, and announce it to the daemon or not."""
        self._actual_cold_start.turn_cold(now_s)
        if announced:
            self._announced_cold_start.turn_cold(now_s)

    def admit(self, call: Call, now_s: float) -> Result[Work, Refusal]:
        """Assign a slot or a place in the queue to the call, or refuse it."""
        if self._draining:
            return self._refuse("draining")
        work = Work(call=call, arrived_s=now_s)
        if len(self._running) < self._profile.slots and not self._waiting:
            if not self._can_meet_deadline(work, now_s):
                return self._refuse("the deadline is too near")
            work.has_slot = True
            self._running.add(work)
            return Ok(work)
        if len(self._waiting) >= self._profile.queue_length:
            return self._refuse("no free slot")
        if not self._can_meet_deadline(work, now_s + self._expected_wait_s(now_s)):
            return self._refuse("the deadline is too near to wait")
        self._waiting.append(work)
        return Ok(work)

    def begin(self, work: Work, now_s: float) -> Result[Plan, Refusal]:
        """Return how the call runs, or refuse it if it would end too late."""
        if not self._can_meet_deadline(work, now_s):
            return self._refuse("the deadline passed in the queue")
        fault = self._choose_fault(work.call, now_s)
        duration_s = self._expected_duration_s(work.call, now_s)
        duration_s *= 1.0 + self._profile.jitter * self._random.uniform(-1.0, 1.0)
        if fault is FaultMode.SLOW:
            duration_s *= self._faults.slow_factor
        failed = self._check_overload(now_s) or fault is FaultMode.FAIL
        return Ok(
            Plan(duration_s=duration_s, status=500 if failed else 200, fault=fault)
        )

    def release(self, work: Work) -> Work | None:
        """Remove the work and return the waiting work that gets its slot."""
        if work not in self._running:
            self._waiting.remove(work)
            return None
        self._running.discard(work)
        if not self._waiting:
            return None
        following = self._waiting.popleft()
        following.has_slot = True
        self._running.add(following)
        return following

    def announced_state(self, now_s: float) -> TargetState:
        """Return the state that the target announces to its daemon."""
        return self._state(self._announced_cold_start.factor(now_s))

    def health(self, now_s: float) -> HealthReport:
        """Return the health report, late or false if a fault says so."""
        state = self._state(self._actual_cold_start.factor(now_s))
        match self._faults.health_lie:
            case HealthLie.READY:
                state = TargetState.READY
            case HealthLie.FAILED:
                state = TargetState.FAILED
        report = HealthReport(state=state, version=self._version)
        return self._health.read(report, now_s, self._faults.report_lag_s)

    def load(self, now_s: float) -> LoadReport:
        """Return the load report, late or false if a fault says so."""
        slots = self._profile.slots
        running, waiting = len(self._running), len(self._waiting)
        match self._faults.load_lie:
            case LoadLie.IDLE:
                running, waiting = 0, 0
            case LoadLie.FULL:
                running, waiting = slots, self._profile.queue_length
        report = LoadReport(slots=slots, running=running, waiting=waiting)
        return self._load.read(report, now_s, self._faults.report_lag_s)

    def _state(self, factor: float) -> TargetState:
        if self._draining:
            return TargetState.DRAINING
        return TargetState.COLD if factor > 1.0 else TargetState.READY

    def _refuse(self, reason: str) -> Result[Any, Refusal]:
        self._refused += 1
        return Error(Refusal(reason=reason))

    def _expected_duration_s(self, call: Call, now_s: float) -> float:
        work_ms = self._profile.service_ms if call.work_ms is None else call.work_ms
        return work_ms / 1000 * self._actual_cold_start.factor(now_s)

    def _expected_wait_s(self, now_s: float) -> float:
        service_s = (
            self._profile.service_ms / 1000 * self._actual_cold_start.factor(now_s)
        )
        return service_s * (len(self._waiting) + 1) / self._profile.slots

    def _can_meet_deadline(self, work: Work, start_s: float) -> bool:
        if work.call.deadline_s is None:
            return True
        due_s = work.arrived_s + work.call.deadline_s
        return start_s + self._expected_duration_s(work.call, start_s) <= due_s

    def _check_overload(self, now_s: float) -> bool:
        """Return whether more calls run than a cold target sustains.

        This restarts the warm-up if the profile sets `collapse`.
        """
        if len(self._running) <= self._actual_cold_start.sustained_calls(now_s):
            return False
        if self._profile.collapse:
            self._actual_cold_start.turn_cold(now_s)
        return True

    def _choose_fault(self, call: Call, now_s: float) -> FaultMode:
        faults = self._faults
        is_affected = (
            now_s - self._faults_set_s >= faults.after_s
            and len(self._running) >= faults.min_load * self._profile.slots
            and call.path.startswith(faults.path_prefix)
            and self._random.random() < faults.rate
        )
        return faults.mode if is_affected else FaultMode.NONE
