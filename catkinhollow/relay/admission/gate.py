"""Control the admission of calls to one target.

The gate protects a target from bursts and from sustained overload. Every call
to a target passes its gate, so its number of slots, its rate limit while it is
cold and its draining are enforced exactly, and a call that the gate refuses
has not run. Waiting calls are ordered by rank (0 first), then by their arrival
plus a share of the time to their soft deadline: short lookups that a running
request waits for start before new long work, but not before work that has
waited for a long time. Calls of organisations that are ahead of their share
wait for their turn. A call that cannot start in time is refused as soon as
that is known.
"""

from collections.abc import Callable
from math import inf

from attrs import define, field

from catkinhollow.calls.retries import SERVER_ERROR, AttemptKind
from catkinhollow.generated.relay import (
    Departure,
    GateState,
    OverloadControl,
    PaceControl,
    TargetReport,
)
from catkinhollow.relay.admission.gate_jobs import (
    OPEN_STATES,
    Admitted,
    Announcement,
    Decision,
    GateJob,
    Queued,
    Refused,
)
from catkinhollow.relay.admission.gate_rates import estimate_overtaken_wait_s
from catkinhollow.relay.admission.offered_load import OfferedLoad, Urgency
from catkinhollow.relay.admission.pace import (
    INITIAL_SHARE,
    SHORT_DOWN_S,
    SHORT_DOWN_SHARE,
    NoPeers,
    Pace,
    ServicePeers,
)
from catkinhollow.relay.admission.target_load import LoadFigures, UnknownLoad
from catkinhollow.relay.admission.target_speed import TargetSpeed
from catkinhollow.relay.admission.token_bucket import TokenBucket
from catkinhollow.relay.links.link_pacer import MIN_BULK_BYTES
from catkinhollow.relay.organisations.fair_order import FairOrder

# Run time that is assumed until the first run has ended.
INITIAL_RUN_TIME_S = 0.1
# Minimum weight of a run in the moving average of run times, which adapts
# within about 10 runs. The first runs of a version are weighted equally, so
# that neither the initial estimate nor the times of another version make a
# fast target look slow.
MIN_RUN_WEIGHT = 0.1
# Shorter runs count as this long: runs that fail immediately would make an
# overloaded target look fast.
MIN_RUN_TIME_S = 0.005
# Divisor of the expected run time or wait in the checks for a late start. A
# value above 1 allows later starts, because run times vary and an answer after
# the soft deadline is still of some use.
LATE_START_FACTOR = 1.25
# Share of the time to its soft deadline that a call may wait, or of the time
# to its deadline if the run alone takes longer than to the soft one. A refusal
# after a longer wait leaves the caller too little time to retry.
MAX_WAIT_SHARE = 0.6
# Share of the time to its deadline that a call may wait for runs of less
# urgent work to end. Its answer may be late, but a refusal would be worse: a
# target that needs the answer does not ask again, and its own run fails.
URGENT_WAIT_SHARE = 0.75
# Added to the announced cold time, because the announcement is sent some time
# before it arrives.
COLD_MARGIN_S = 0.3
# Capacity of the rate limit of a cold target: calls start one by one. With
# more, a second may contain more calls than the rate.
COLD_BURST_CALLS = 1.0
# Share of its rate at which calls start on a cold target, because the time
# that they take to reach it varies.
COLD_RATE_SHARE = 0.98
# Announcements after which a target that a new daemon finds has not just
# started, and the time for which the daemon waits for reports of its peers.
MAX_START_SEQUENCE = 5
PEER_WAIT_S = 2.0
# Rate limit of a cold target until the first configuration arrives.
DEFAULT_COLD_CALLS_PER_S = 10.0
# Retry hint while it is unknown when the target will accept calls again.
UNAVAILABLE_RETRY_S = 0.3
# Share of the time to its soft deadline that is added to a call's arrival to
# order calls of equal rank. At 1 a sustained load of short calls starves long
# ones; at 0.25 and below short calls miss their soft deadline behind a few
# long ones, and the runs that wait for them fail.
URGENCY_SHARE = 0.35
# Calls sent to the target beyond its slots. They wait in the target's queue,
# so that a slot is not idle for the round trip to the gate between two runs.
PREFETCHED_CALLS = 1
# Number of broken runs, without an answered one in between, after which the
# target is considered down. A target that loses half of its answers rarely
# reaches it; one that has exited behind a proxy that still accepts connections
# does.
MAX_CONSECUTIVE_BROKEN = 10
# HTTP status with which a target other than the expected one responds.
MISDIRECTED_STATUS = 421
# Used for a departure without a start time; later than any real start, so that
# a delayed announcement of the lifetime does not open the gate. Larger numbers
# are not exact in every JSON reader.
UNKNOWN_START_MS = 2**53 - 1
# Departures that are remembered; targets at one address follow each other.
MAX_DEPARTURES = 4
# Limit of the queue; more waiting calls would only be refused later.
MAX_WAITING_CALLS = 200


@define
class _Target:
    """Represent the current lifetime of the target."""

    announcement: Announcement
    departed: bool = False
    replaced: bool = False
    """Whether a different target has answered at the address."""
    runs: int = 0
    failures: int = 0


@define(eq=False)
class Gate:
    """Decide which calls of one target run, wait or are refused."""

    cold_calls_per_s: float = DEFAULT_COLD_CALLS_PER_S
    """Calls per second that the target can serve while it is cold."""
    awaits_history: bool = False
    """Whether earlier departures at the address are still unknown."""
    link_wait_s: Callable[[], float] = lambda: 0.0
    """Return how long the body of an answer waits for the link."""
    peers: ServicePeers = field(factory=NoPeers)
    """The other targets of the service."""
    pace: Pace = field(factory=Pace)
    pace_control: PaceControl = PaceControl.ALWAYS
    """Whether a target that has just started or recovered gets a pace."""
    overload_control: OverloadControl = OverloadControl.AUTO
    """Whether waits depend on the work that is offered by rank."""
    urgent_calls_wait: bool = False
    """Whether urgent calls wait for slots that less urgent work holds."""
    _target: _Target | None = None
    _unreachable: bool = False
    """Whether the last connect to the target has failed."""
    _failing: bool = False
    """Whether the target has only broken runs."""
    _may_be_cold: bool = True
    """Whether the target may be cold without having announced it."""
    _probe_requested: bool = False
    """Whether a broken run has made the target's state uncertain."""
    _consecutive_broken: int = 0
    _evacuated: bool = False
    _stopping: bool = False
    _cold_until_s: float = 0.0
    _cold_bucket: TokenBucket = field(factory=lambda: TokenBucket(COLD_BURST_CALLS))
    _waiting: list[GateJob] = field(factory=list)
    _running: set[GateJob] = field(factory=set)
    _run_time_s: float = INITIAL_RUN_TIME_S
    _run_time_samples: int = 0
    """Number of runs of the target's version in the average run time."""
    _route_run_time_s: dict[str, float] = field(factory=dict)
    """Average run time of each route."""
    _route_answer_bytes: dict[str, float] = field(factory=dict)
    """Average size of the answers of each route."""
    _offered: OfferedLoad = field(factory=OfferedLoad)
    _shares_machine: bool = False
    """Whether the target reports how long work takes at the moment."""
    _fair_order: FairOrder = field(factory=FairOrder)
    """Turns of the organisations whose calls wait."""
    _speed: TargetSpeed = field(factory=TargetSpeed)
    _unknown_load: UnknownLoad = field(factory=UnknownLoad)
    _pace_reason: str = ""
    """Why a pace begins as soon as the target is not rate limited."""
    _pace_share: float = INITIAL_SHARE
    _was_cold: bool = False
    """Whether the target was rate limited when the pace was requested."""
    _start_unclear_until_s: float = -inf
    """Until when the peers' reports tell whether the target is new."""
    _down_since_s: float = inf
    _slowness: float = 0.0
    """Slowness at the last event, 0 while no speed is in force."""
    _in_target_queue: GateJob | None = None
    """The call at the target that last had no slot there."""
    _departed_lifetimes: dict[str, int] = field(factory=dict)
    """Start in Unix ms of the lifetimes that departed last, oldest first."""

    @property
    def running(self) -> int:
        """Return the number of calls at the target."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return the number of waiting calls."""
        return len(self._waiting)

    @property
    def lifetime(self) -> str:
        """Return the target's current lifetime, "" if none is known."""
        return self._target.announcement.lifetime if self._target else ""

    @property
    def needs_probe(self) -> bool:
        """Return whether a health check would clarify the target's state."""
        uncertain = self._unreachable or self._may_be_cold or self._probe_requested
        return self._target is not None and uncertain

    def state(self, now_s: float) -> GateState:
        """Return the state that decides whether calls are admitted."""
        if self._stopping:
            return GateState.STOPPING
        if self._evacuated:
            return GateState.EVACUATED
        if self.awaits_history or self._target is None or self._target.replaced:
            return GateState.UNKNOWN
        if self._target.departed or self._target.announcement.draining:
            return GateState.DRAINING
        if self._unreachable or self._failing:
            return GateState.DOWN
        if self._is_rate_limited(now_s):
            return GateState.COLD
        return GateState.SERVING

    def speed(self, now_s: float) -> float:
        """Return the speed of the target relative to its usual one.

        It is 0 if none is known.
        """
        return self._speed.speed(now_s)

    def occupied(self, now_s: float) -> int:
        """Return how many calls the target holds beyond those of the gate."""
        return self._unknown_load.count(now_s)

    def needs_load(self, now_s: float) -> bool:
        """Return whether a health check would clarify the target's load."""
        if not self._unknown_load.seen:
            return False
        if self._unknown_load.count(now_s):
            return True
        return bool(self._running) and self._unknown_load.is_old(now_s)

    def report(self, now_s: float, *, routes: bool = False) -> TargetReport:
        """Return the report from which peers choose a target for a call.

        The run times of the routes change slowly and are added on request.
        """
        target = self._target
        self._update_slowness(now_s)
        self._begin_pace_if_due(now_s)
        return TargetReport(
            state=self.state(now_s),
            lifetime=self.lifetime,
            started_ms=target.announcement.started_ms if target else 0,
            departed=target is not None
            and (target.departed or target.announcement.draining),
            version=target.announcement.version if target else "",
            slots=self._effective_slots(now_s),
            running=self._reported_running(now_s),
            waiting=len(self._waiting),
            service_ms=self._run_time_s * 1000.0,
            transfer_ms=self.link_wait_s() * 1000.0,
            taken_ms=int(now_s * 1000),
            runs=target.runs if target else 0,
            failures=target.failures if target else 0,
            speed=self._speed.speed(now_s),
            held_ms=self._held_ms() if self._slowness else 0.0,
            route_ms=self._speed.route_times_ms() if routes else {},
        )

    def offer(self, job: GateJob, now_s: float) -> Admitted | Queued | Refused:
        """Admit, queue or refuse a call."""
        state = self.state(now_s)
        if state not in OPEN_STATES:
            return Refused(job, f"target is {state}", UNAVAILABLE_RETRY_S)
        self._update_slowness(now_s)
        self._begin_pace_if_due(now_s)
        urgency = _urgency(job)
        self._offered.add_arrival(urgency, now_s)
        self._set_turn(job, now_s)
        if not self._waiting and self._can_start(now_s):
            if job.turn is not None:
                self._fair_order.take(job.turn)
            return self._start(job, now_s)
        if len(self._waiting) >= MAX_WAITING_CALLS:
            return Refused(job, "too many calls wait", self._queue_drain_s(now_s))
        position = self._queue_position(job)
        if self._is_queue_too_long(job, now_s):
            return Refused(job, "too much work waits", self._queue_drain_s(now_s))
        wait_s = estimate_overtaken_wait_s(
            self._expected_wait_s(position, now_s), self._overtakers(urgency, now_s)
        )
        if now_s + wait_s > self._latest_start_s(job, now_s):
            return Refused(job, "cannot start in time", self._queue_drain_s(now_s))
        self._waiting.insert(position, job)
        if job.turn is not None:
            self._fair_order.take(job.turn)
        return Queued()

    def decide(self, now_s: float) -> list[Decision]:
        """Decide which waiting calls start now and which are refused."""
        decisions: list[Decision] = []
        self._begin_pace_if_due(now_s)
        state = self.state(now_s)
        if state not in OPEN_STATES:
            refused = [
                Refused(job, f"target is {state}", UNAVAILABLE_RETRY_S)
                for job in self._waiting
            ]
            for job in self._waiting:
                self._give_back_turn(job)
            self._waiting.clear()
            return list(refused)
        self._update_slowness(now_s)
        while self._waiting and self._can_start(now_s):
            job = self._waiting.pop(self._next_index(now_s))
            if now_s > self._latest_wait_end_s(job, self._waiting[:1], now_s):
                self._give_back_turn(job)
                decisions.append(
                    Refused(job, "waited too long", self._queue_drain_s(now_s))
                )
            else:
                decisions.append(self._start(job, now_s))
        decisions.extend(self._refuse_late(now_s))
        return decisions

    def next_decision_s(self, now_s: float) -> float:
        """Return when `decide` must be called next, infinity if never."""
        if not self._waiting:
            return inf
        due_s = min(self._latest_start_s(job, now_s) for job in self._waiting)
        due_s = min(due_s, self._unknown_load.changes_s(now_s))
        due_s = min(due_s, self.pace.held_until_s(now_s) or inf)
        if (
            self._is_rate_limited(now_s)
            and len(self._running) < self._slots + PREFETCHED_CALLS
        ):
            rate = COLD_RATE_SHARE * self.cold_calls_per_s
            self._cold_bucket.refill(rate, now_s)
            due_s = min(due_s, now_s + self._cold_bucket.wait_s(rate))
        return due_s

    def remove_waiting(self, job: GateJob) -> bool:
        """Remove a call from the queue; return False if it is not there."""
        if job not in self._waiting:
            return False
        self._waiting.remove(job)
        self._give_back_turn(job)
        return True

    def record_load(self, figures: LoadFigures, now_s: float) -> None:
        """Handle a report of the target about its load.

        The call whose answer carries the report still counts as running.
        """
        self._unknown_load.record(figures, len(self._running), now_s)
        if figures.slowness:
            self._shares_machine = True
            self._speed.report_figure(figures.slowness, now_s)

    def record_answer(self, job: GateJob, size_bytes: int) -> None:
        """Learn the size of the answers of a route."""
        route = job.call.route
        mean_bytes = self._route_answer_bytes.get(route, size_bytes)
        self._route_answer_bytes[route] = mean_bytes + MIN_RUN_WEIGHT * (
            size_bytes - mean_bytes
        )

    def finish(
        self, job: GateJob, kind: AttemptKind, status: int, now_s: float
    ) -> None:
        """Free the slot of a run and update the target's state from it."""
        if kind in (AttemptKind.CANCELLED, AttemptKind.TIMEOUT):
            if job.lifetime == self.lifetime:
                self._unknown_load.abandon(now_s)
        else:
            self._unknown_load.record_end(len(self._running), now_s)
        self._running.discard(job)
        self._pass_slot(job, now_s)
        broken = kind in (AttemptKind.BROKEN, AttemptKind.TIMEOUT)
        failed = broken or status >= SERVER_ERROR
        if self.pace.in_force and job.lifetime == self.lifetime:
            self._record_pace(job, kind, failed=failed, now_s=now_s)
        self._count_run(job, kind, status, failed=failed)
        if kind is AttemptKind.NOT_CONNECTED:
            self._unreachable = True
            self._down_since_s = min(self._down_since_s, now_s)
        if kind is AttemptKind.BROKEN:
            # The target is not treated as cold: one that has exited refuses
            # the next connection, and a lost answer does not mean a restart.
            self._probe_requested = True
            self._consecutive_broken += 1
            self._failing = self._consecutive_broken >= MAX_CONSECUTIVE_BROKEN
            if self._failing:
                self._down_since_s = min(self._down_since_s, now_s)
        elif kind is AttemptKind.ANSWERED:
            self._consecutive_broken = 0
            self._failing = False
        if kind is AttemptKind.ANSWERED and not failed or kind is AttemptKind.TIMEOUT:
            self._update_run_times(job, now_s - job.started_s)
            if job.slot_s < now_s:
                taken_s = max(MIN_RUN_TIME_S, now_s - job.slot_s)
                self._speed.record_run(job.call.route, taken_s, job.slowness, now_s)

    def _count_run(
        self, job: GateJob, kind: AttemptKind, status: int, *, failed: bool
    ) -> None:
        target = self._target
        if target is None or job.lifetime != target.announcement.lifetime:
            return
        if kind in _RUN_KINDS:
            target.runs += 1
            target.failures += failed
        if status == MISDIRECTED_STATUS:
            target.replaced = True

    def announce(self, announcement: Announcement, now_s: float) -> bool:
        """Handle an announcement; return False if a newer one is known."""
        known = self._target.announcement if self._target else None
        if known is not None and not _is_newer(announcement, known):
            return False
        restarted = known is None or _lifetime_key(announcement) != _lifetime_key(known)
        if restarted or self._target is None:
            if known is None or announcement.version != known.version:
                self._run_time_samples = 0
                self._speed.forget_routes()
            self._speed.restart()
            self._unknown_load.restart()
            self._request_start_pace(announcement, now_s)
            departed = announcement.started_ms <= self._departed_lifetimes.get(
                announcement.lifetime, -1
            )
            self._target = _Target(announcement=announcement, departed=departed)
        else:
            self._target.announcement = announcement
            self._target.replaced = False
        self._set_cold_time(announcement.cold_s, now_s)
        if not restarted:
            self._request_recovery_pace(now_s)
        self._down_since_s = inf
        self._unreachable = self._failing = False
        self._consecutive_broken = 0
        return True

    def depart(self, lifetime: str, started_ms: int | None) -> Departure | None:
        """Handle the departure of the target with this lifetime.

        Returns what has to be remembered, None if a later start of the
        lifetime is known.
        """
        target = self._target
        if target is not None and target.announcement.lifetime == lifetime:
            known_ms = target.announcement.started_ms
            last_start_ms = known_ms if started_ms is None else started_ms
            if last_start_ms < known_ms:
                return None
            target.departed = True
        else:
            # A restarted daemon may receive the departure before the first
            # announcement; a delayed one must not open the gate afterwards.
            last_start_ms = UNKNOWN_START_MS if started_ms is None else started_ms
        self._departed_lifetimes.pop(lifetime, None)
        self._departed_lifetimes[lifetime] = last_start_ms
        if len(self._departed_lifetimes) > MAX_DEPARTURES:
            del self._departed_lifetimes[next(iter(self._departed_lifetimes))]
        return Departure(lifetime=lifetime, started_ms=last_start_ms)

    def probe_passed(self, lifetime: str, cold_s: float, now_s: float) -> None:
        """Handle a successful health check.

        It does not open a gate without an announcement: a target still passes
        health checks after the previous process of this daemon has
        acknowledged its departure. Neither does it open the gate of a target
        whose runs break, because health checks may pass all the same.
        """
        target = self._target
        if target is not None and target.announcement.lifetime == lifetime:
            self._set_cold_time(cold_s, now_s)
            if not self._failing:
                self._request_recovery_pace(now_s)
            self._unreachable = False

    def probe_failed(self) -> None:
        """Handle a health check that could not connect."""
        self._unreachable = True

    def set_evacuated(self, evacuated: bool) -> None:
        """Close or open the gate for an evacuation."""
        if self._evacuated and not evacuated:
            # The target may have become cold in the meantime.
            self._may_be_cold = True
            self._request_pace("evacuation ended", INITIAL_SHARE)
        self._evacuated = evacuated

    def stop(self) -> None:
        """Refuse all further calls."""
        self._stopping = True

    @property
    def _slots(self) -> int:
        return self._target.announcement.slots if self._target else 0

    @property
    def _paced_slots(self) -> int:
        return int(min(self._slots, self.pace.limit))

    def _reported_running(self, now_s: float) -> int:
        running = len(self._running) + self.occupied(now_s)
        if self.pace.held_until_s(now_s):
            # The target looks full until the next call may start.
            return max(running, self._paced_slots)
        return running

    def _request_start_pace(self, announcement: Announcement, now_s: float) -> None:
        """Begin a pace if the target is newer than those that share its load.

        Without other targets it is new if the last lifetime has run calls.
        Targets of a system that starts as a whole are as new as each other,
        and have to serve from the first second.
        """
        known = self._target
        self.pace.end("new lifetime")
        self._pace_reason = ""
        before = self.peers.started_before(announcement.started_ms)
        if before or (before is None and known is not None and known.runs > 0):
            self._request_pace("started", INITIAL_SHARE)
        elif known is None and announcement.sequence <= MAX_START_SEQUENCE:
            self._start_unclear_until_s = now_s + PEER_WAIT_S

    def _request_recovery_pace(self, now_s: float) -> None:
        if self._failing:
            self._request_pace("runs have failed", 0.0)
        elif self._unreachable:
            short = now_s - self._down_since_s < SHORT_DOWN_S
            share = SHORT_DOWN_SHARE if short else INITIAL_SHARE
            self._request_pace("was unreachable", share)
        self._down_since_s = inf

    def _request_pace(self, reason: str, share: float) -> None:
        if self.pace_control is PaceControl.NEVER or (
            self.pace_control is PaceControl.AUTO and not self._shares_machine
        ):
            return
        self._pace_reason, self._pace_share = reason, share
        self._was_cold = False

    def _begin_pace_if_due(self, now_s: float) -> None:
        if now_s < self._start_unclear_until_s and self._target is not None:
            started_ms = self._target.announcement.started_ms
            if self.peers.started_before(started_ms):
                self._request_pace("started", INITIAL_SHARE)
                self._start_unclear_until_s = -inf
        if not self._pace_reason:
            return
        if self._is_rate_limited(now_s):
            self._was_cold = True
            return
        # A target that is down again while it recovers gets no more calls.
        limit = min(self.pace.limit, self._pace_share * self._slots)
        if self._was_cold:
            # So many calls were at the target at its rate while it was cold.
            limit = min(limit, self.cold_calls_per_s * self._run_time_s)
        self.pace.begin(limit, self._pace_reason, now_s)
        self._pace_reason = ""

    def _record_pace(
        self, job: GateJob, kind: AttemptKind, *, failed: bool, now_s: float
    ) -> None:
        """Let a run raise or lower the number of calls at the target."""
        if failed or kind is AttemptKind.REFUSED:
            share = self.peers.failure_share()
            self.pace.record_failure(job.started_s, share, now_s)
        elif kind is AttemptKind.ANSWERED and job.slot_s < now_s:
            route = job.call.route
            expected_s = self.peers.run_ms(route) / 1000.0
            if not expected_s:
                figure = self._speed.usual_figure
                expected_s = self._speed.expected_s(route, figure) or 0.0
            taken_s = max(MIN_RUN_TIME_S, now_s - job.slot_s)
            self.pace.record_success(
                taken_s / expected_s if expected_s else 0.0,
                job.started_s,
                len(self._running) + 1,
                self._slots + PREFETCHED_CALLS,
                now_s,
            )

    def _is_rate_limited(self, now_s: float) -> bool:
        return self._may_be_cold or now_s < self._cold_until_s

    def _effective_slots(self, now_s: float) -> int:
        if not self._is_rate_limited(now_s):
            return self._paced_slots
        concurrency = int(self.cold_calls_per_s * self._run_time_s)
        return max(1, min(self._slots, concurrency))

    def _set_cold_time(self, cold_s: float, now_s: float) -> None:
        self._may_be_cold = self._probe_requested = False
        self._cold_until_s = now_s + cold_s + COLD_MARGIN_S if cold_s > 0 else 0.0

    def _update_run_times(self, job: GateJob, taken_s: float) -> None:
        taken_s = max(MIN_RUN_TIME_S, taken_s)
        self._offered.add_run(_urgency(job), taken_s)
        self._run_time_samples += 1
        weight = max(MIN_RUN_WEIGHT, 1.0 / self._run_time_samples)
        self._run_time_s += weight * (taken_s - self._run_time_s)
        mean_s = self._route_run_time_s.get(job.call.route, taken_s)
        self._route_run_time_s[job.call.route] = mean_s + MIN_RUN_WEIGHT * (
            taken_s - mean_s
        )

    def _can_start(self, now_s: float) -> bool:
        held = len(self._running) + self.occupied(now_s)
        # A limit of 2.7 calls is one of 2.
        if held + 1 > min(self._slots + PREFETCHED_CALLS, self.pace.limit):
            return False
        if self.pace.held_until_s(now_s):
            return False
        if not self._is_rate_limited(now_s):
            return True
        self._cold_bucket.refill(COLD_RATE_SHARE * self.cold_calls_per_s, now_s)
        return self._cold_bucket.has_token

    def _set_turn(self, job: GateJob, now_s: float) -> None:
        """Find the turn of a call, if it belongs to an organisation."""
        call = job.call
        if call.organisation:
            work_s = self._expected_run_s(job)
            job.turn = self._fair_order.next_turn(
                call.organisation, call.rank, work_s, now_s
            )
            job.lag_s = self._fair_order.lag_s(job.turn, self._slots)

    def _give_back_turn(self, job: GateJob) -> None:
        if job.turn is not None:
            self._fair_order.give_back(job.turn)

    def _start(self, job: GateJob, now_s: float) -> Admitted:
        if self._is_rate_limited(now_s):
            self._cold_bucket.take()
        if job.turn is not None:
            self._fair_order.start(job.turn)
        job.started_s = job.slot_s = now_s
        if len(self._running) >= self._slots:
            job.slot_s = inf
            self._in_target_queue = job
        job.slowness = self._speed.figure(now_s)
        job.lifetime = self.lifetime
        self._running.add(job)
        return Admitted(job)

    def _queue_position(self, job: GateJob) -> int:
        key = _queue_key(job)
        for index, other in enumerate(self._waiting):
            if _queue_key(other) > key:
                return index
        return len(self._waiting)

    def _pass_slot(self, job: GateJob, now_s: float) -> None:
        """Let the call in the target's queue take the slot of a run."""
        queued = self._in_target_queue
        if queued is None:
            return
        if queued is not job and len(self._running) <= self._slots:
            queued.slot_s = now_s
            self._in_target_queue = None
        elif queued is job:
            self._in_target_queue = None

    def _update_slowness(self, now_s: float) -> None:
        speed = self._speed
        self._slowness = speed.slowness(now_s) if speed.in_force else 0.0

    def _held_ms(self) -> float:
        """Return the usual run time of all calls together, in milliseconds."""
        held_s = sum(map(self._expected_run_s, self._running))
        held_s += sum(map(self._expected_run_s, self._waiting))
        return round(1000.0 * held_s * self._speed.usual_figure / self._slowness, 1)

    def _expected_run_s(self, job: GateJob) -> float:
        if self._slowness:
            run_s = self._speed.expected_s(job.call.route, self._slowness)
            if run_s is not None:
                return run_s
        return self._route_run_time_s.get(job.call.route, self._run_time_s)

    def _expected_transfer_s(self, job: GateJob) -> float:
        answer_bytes = self._route_answer_bytes.get(job.call.route, 0.0)
        return self.link_wait_s() if answer_bytes > MIN_BULK_BYTES else 0.0

    def _mean_running_s(self) -> float:
        """Return the mean expected run time of the calls at the target."""
        total_s = sum(self._expected_run_s(job) for job in self._running)
        return total_s / max(1, len(self._running))

    def _expected_wait_s(self, position: int, now_s: float) -> float:
        """Return the expected wait of a call at a position in the queue."""
        work_s = sum(self._expected_run_s(job) for job in self._waiting[:position])
        # On average a slot becomes free after one run time divided by the
        # number of slots.
        work_s += self._mean_running_s()
        occupied = self.occupied(now_s)
        if occupied:
            excess = len(self._running) + occupied - self._slots
            work_s += max(0, excess) * self._run_time_s
        return self._rate_limited_wait_s(work_s, position, now_s)

    def _rate_limited_wait_s(self, work_s: float, position: int, now_s: float) -> float:
        wait_s = work_s / max(1, self._paced_slots)
        if self._is_rate_limited(now_s) and self.cold_calls_per_s > 0:
            wait_s = max(wait_s, position / self.cold_calls_per_s)
        return wait_s

    def _overtakers(self, urgency: Urgency, now_s: float) -> list[tuple[float, float]]:
        """Return the load of each more urgent kind of later calls.

        Each item is the share of the target's capacity that the kind takes,
        and the wait in seconds after which it no longer overtakes a call of
        the given urgency.
        """
        rank, latency_ms = urgency
        slots = max(1, self._paced_slots)
        overtakers = []
        for other, load in self._offered.loads.items():
            if other >= urgency:
                continue
            window_s = inf
            if other[0] == rank:
                window_s = URGENCY_SHARE * (latency_ms - other[1]) / 1000.0
            run_s = self._run_time_s
            if self._controls_overload and load.run_s is not None:
                # With the mean of all calls, short urgent calls beside long
                # ones count for several times their work.
                run_s = load.run_s
            share = load.arrivals.per_s(now_s) * run_s / slots
            overtakers.append((share, window_s))
        return overtakers

    def _latest_start_s(self, job: GateJob, now_s: float) -> float:
        """Return the time after which a call must not start any more.

        A call whose run takes longer than the time to its soft deadline is
        checked against its deadline only. The deadline may come first, and
        the daemon that would cancel the call at it may have ended. An answer
        with a large body also waits for the link.
        """
        latest_s = self._in_time_start_s(job)
        if self._would_yield(job.call.rank, now_s):
            budget_s = job.deadline_s - job.arrived_s
            urgent_s = min(
                job.deadline_s - self._expected_end_s(job),
                job.arrived_s + URGENT_WAIT_SHARE * budget_s,
            )
            return max(latest_s, urgent_s)
        return latest_s

    def _expected_end_s(self, job: GateJob) -> float:
        """Return the expected time from the start of a run to its answer."""
        return self._expected_run_s(job) + self._expected_transfer_s(job)

    def _in_time_start_s(self, job: GateJob) -> float:
        """Return the latest start that the deadlines of the call allow."""
        run_s = self._expected_end_s(job)
        soft_deadline_s = min(job.soft_deadline_s, job.deadline_s)
        soft_budget_s = soft_deadline_s - job.arrived_s
        if run_s >= soft_budget_s:
            budget_s = job.deadline_s - job.arrived_s
            return min(
                job.deadline_s - run_s, job.arrived_s + MAX_WAIT_SHARE * budget_s
            )
        late_s = soft_deadline_s - run_s / LATE_START_FACTOR
        return min(late_s, job.arrived_s + MAX_WAIT_SHARE * soft_budget_s)

    def _next_index(self, now_s: float) -> int:
        """Return the position of the waiting call that starts next.

        Under overload control it is one that can still be answered in time,
        before those of its rank that wait although their answer will be late.
        """
        rank = self._waiting[0].call.rank
        if self._would_yield(rank, now_s):
            for index, job in enumerate(self._waiting):
                if job.call.rank != rank:
                    break
                if now_s <= self._in_time_start_s(job):
                    return index
        return 0

    def _would_yield(self, rank: int, now_s: float) -> bool:
        """Return whether a refused call leaves its slot to less urgent work.

        That is so if the calls of its rank and above fit into the capacity,
        and less urgent ones wait for the slots beside them.
        """
        return (
            self.urgent_calls_wait
            and self._controls_overload
            and self._offered.has_less_urgent(rank, now_s)
            and not self._offered.is_saturated(rank, self._paced_slots, now_s)
        )

    def _latest_wait_end_s(
        self, job: GateJob, neighbours: list[GateJob], now_s: float
    ) -> float:
        """Return the time after which a waiting call is refused.

        It is earlier under overload if a neighbour in the queue, which has the
        same rank, would use the slot.
        """
        latest_s = self._latest_start_s(job, now_s)
        rank = job.call.rank
        if any(other.call.rank == rank for other in neighbours) and (
            self._is_saturated(rank, now_s)
        ):
            limit = self._offered.wait_limit(rank, now_s)
            # The order of the queue lets calls with more time wait longer.
            order_s = _queue_key(job)[1] - URGENCY_SHARE * limit.soft_budget_s
            return min(latest_s, order_s + limit.wait_s)
        return latest_s

    def _is_queue_too_long(self, job: GateJob, now_s: float) -> bool:
        """Return whether a new call would prolong a standing queue.

        The wait is that behind all waiting calls of its rank, whichever of
        them it would overtake, so that no kind of calls is preferred.
        """
        rank = job.call.rank
        ahead = sum(other.call.rank <= rank for other in self._waiting)
        if not ahead or not self._is_saturated(rank, now_s):
            return False
        wait_s = estimate_overtaken_wait_s(
            self._expected_wait_s(ahead, now_s), self._overtakers((rank, 0), now_s)
        )
        return wait_s > self._offered.wait_limit(rank, now_s).wait_s

    @property
    def _controls_overload(self) -> bool:
        if self.overload_control is OverloadControl.AUTO:
            return self._shares_machine
        return self.overload_control is OverloadControl.ALWAYS

    def _is_saturated(self, rank: int, now_s: float) -> bool:
        return self._controls_overload and self._offered.is_saturated(
            rank, self._paced_slots, now_s
        )

    def _queue_drain_s(self, now_s: float) -> float:
        return self._expected_wait_s(len(self._waiting), now_s)

    def _refuse_late(self, now_s: float) -> list[Refused]:
        """Refuse calls that more urgent ones have delayed for too long."""
        kept: list[GateJob] = []
        refused: list[Refused] = []
        ahead_s = self._mean_running_s()
        for job in self._waiting:
            wait_s = self._rate_limited_wait_s(ahead_s, len(kept), now_s)
            latest_s = self._latest_wait_end_s(job, kept[-1:], now_s)
            if now_s + wait_s / LATE_START_FACTOR > latest_s:
                retry_s = self._queue_drain_s(now_s)
                self._give_back_turn(job)
                refused.append(Refused(job, "cannot start in time", retry_s))
            else:
                kept.append(job)
                ahead_s += self._expected_run_s(job)
        self._waiting = kept
        return refused


# Kinds of attempts that may have run at the target.
_RUN_KINDS = (AttemptKind.ANSWERED, AttemptKind.BROKEN, AttemptKind.TIMEOUT)


def _urgency(job: GateJob) -> Urgency:
    return job.call.rank, job.call.latency_ms


def _queue_key(job: GateJob) -> tuple[int, float]:
    """Return the sort key of a waiting call."""
    urgent_s = URGENCY_SHARE * (job.soft_deadline_s - job.arrived_s)
    return job.call.rank, job.arrived_s + urgent_s + job.lag_s


def _lifetime_key(announcement: Announcement) -> tuple[str, int]:
    return announcement.lifetime, announcement.started_ms


def _is_newer(announcement: Announcement, known: Announcement) -> bool:
    """Return whether an announcement was made after the known one."""
    if _lifetime_key(announcement) == _lifetime_key(known):
        return announcement.sequence > known.sequence
    return announcement.started_ms > known.started_ms
