"""Decide which calls run at the one target of a gate, and when.

Load it answers: bursts and lasting overload of one target. Every call to a
target passes its gate, so slots, cold rate and drain are kept exactly here,
and a call that the gate refuses has not run. Waiting calls are ordered by
rank, then by a part of the time in which their answer has its full worth: the
short lookups that a running request waits for go before new long work, but
not before work that has waited for long. A call that cannot start in time is
refused as soon as that is known.
"""

from math import inf

from attrs import define, field

from catkinhollow.calls.retries import SERVER_ERROR, AttemptKind
from catkinhollow.generated.relay import GateState, TargetReport
from catkinhollow.relay.gate_jobs import (
    OPEN_STATES,
    Admitted,
    Announcement,
    Decision,
    GateJob,
    Queued,
    Refused,
)
from catkinhollow.relay.gate_rates import Arrivals, overtaken_wait_s
from catkinhollow.relay.token_bucket import TokenBucket

# Time of a run that is assumed before the first one has ended.
FIRST_SERVICE_S = 0.1
# Least weight of one run in the usual time, which follows in about 10 runs.
# The first runs of a version count equally, so that the assumed time or that
# of another version does not make a fast target look slow.
SERVICE_WEIGHT = 0.1
# Runs that fail at once would make an overloaded target look fast.
MIN_SERVICE_S = 0.005
# A call may start this much later than its answer is worth most, in usual
# run times, because run times vary and a late answer still has some worth.
LATE_START_FACTOR = 1.25
# Share of its time to full worth that a call may wait; a refusal after a
# longer wait leaves the caller too little time to come back.
MAX_WAIT_SHARE = 0.6
# Added to the cold time that a target announces, as the announcement was
# sent some time before it arrives.
COLD_MARGIN_S = 0.3
# Calls that start at once on a cold target, beyond its rate.
COLD_BURST = 2.0
# Calls a second to a cold target before the first configuration.
DEFAULT_COLD_RATE = 10.0
# Hint to callers when the target comes back at an unknown time.
UNAVAILABLE_RETRY_S = 0.3
# Part of the time to full worth that orders calls of one rank. At 1 a lasting
# load of short calls starves the long ones; at 0.25 and below short ones miss
# their time behind a few long ones, and the runs that wait for them fail.
URGENCY_SHARE = 0.35
# Calls at the target beyond its slots. They wait in its own queue, so that a
# slot is not idle for the way of an answer to the gate and of the next call.
PREFETCHED = 1
# Runs that end without an answer, one after the other, after which the target
# counts as down. A target that loses half of its answers seldom has so many;
# one that has ended behind a proxy, which still accepts connections, has.
MAX_BROKEN_IN_ROW = 10
# Status of a target that is not the expected one.
MISDIRECTED = 421
# Stands for the start of a lifetime that did not tell it.
ANY_START_MS = 2**63
# Most calls that wait; more would only be refused later.
MAX_WAITING = 200


@define
class _Target:
    """Hold the current lifetime of the target."""

    announced: Announcement
    left: bool = False
    lost: bool = False
    """Whether another target has answered at the address."""
    runs: int = 0
    failures: int = 0


@define(eq=False)
class Gate:
    """Hold the calls of one target and decide which run."""

    cold_rate: float = DEFAULT_COLD_RATE
    """Calls a second that the target bears while it is cold."""
    _target: _Target | None = None
    _down: bool = False
    _unsure: bool = True
    """Whether the target may be cold without having said so."""
    _doubted: bool = False
    """Whether a run ended in a way that a health check would explain."""
    _broken_in_row: int = 0
    _evacuated: bool = False
    _stopping: bool = False
    _cold_until_s: float = 0.0
    _pace: TokenBucket = field(factory=lambda: TokenBucket(COLD_BURST))
    _waiting: list[GateJob] = field(factory=list)
    _running: set[GateJob] = field(factory=set)
    _service_s: float = FIRST_SERVICE_S
    _learned: int = 0
    """Runs of the target's version that the usual time rests on."""
    _route_s: dict[str, float] = field(factory=dict)
    _arrivals: dict[tuple[int, int], Arrivals] = field(factory=dict)
    _departed: dict[str, int] = field(factory=dict)
    """Start of each lifetime that has left before it was known."""

    @property
    def running(self) -> int:
        """Return the calls at the target."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return the calls that wait."""
        return len(self._waiting)

    @property
    def lifetime(self) -> str:
        """Return the target's present lifetime, "" if none is known."""
        return self._target.announced.lifetime if self._target else ""

    @property
    def needs_probe(self) -> bool:
        """Tell whether a health check would settle the target's state."""
        in_doubt = self._down or self._unsure or self._doubted
        return self._target is not None and in_doubt

    def state(self, now_s: float) -> GateState:
        """Return what the gate lets through."""
        if self._stopping:
            return GateState.STOPPING
        if self._evacuated:
            return GateState.EVACUATED
        if self._target is None or self._target.lost:
            return GateState.UNKNOWN
        if self._target.left or self._target.announced.draining:
            return GateState.DRAINING
        if self._down:
            return GateState.DOWN
        if self._is_paced(now_s):
            return GateState.COLD
        return GateState.SERVING

    def report(self, now_s: float) -> TargetReport:
        """Return what peers need in order to place calls."""
        target = self._target
        return TargetReport(
            state=self.state(now_s),
            lifetime=self.lifetime,
            version=target.announced.version if target else "",
            slots=self._effective_slots(now_s),
            running=len(self._running),
            waiting=len(self._waiting),
            service_ms=self._service_s * 1000.0,
            runs=target.runs if target else 0,
            failures=target.failures if target else 0,
        )

    def offer(self, job: GateJob, now_s: float) -> Admitted | Queued | Refused:
        """Admit, queue or refuse a call."""
        state = self.state(now_s)
        if state not in OPEN_STATES:
            return Refused(job, f"target is {state}", UNAVAILABLE_RETRY_S)
        urgency = (job.call.rank, job.call.latency_ms)
        self._arrivals.setdefault(urgency, Arrivals()).add(now_s)
        if not self._waiting and self._may_start(now_s):
            return self._start(job, now_s)
        if len(self._waiting) >= MAX_WAITING:
            return Refused(job, "too many calls wait", self._drain_s(now_s))
        position = self._position(job)
        wait_s = overtaken_wait_s(
            self._wait_s(position, now_s), self._overtakers(urgency, now_s)
        )
        if now_s + wait_s > self._latest_start_s(job):
            return Refused(job, "cannot start in time", self._drain_s(now_s))
        self._waiting.insert(position, job)
        return Queued()

    def decide(self, now_s: float) -> list[Decision]:
        """Return what has become of waiting calls."""
        decisions: list[Decision] = []
        state = self.state(now_s)
        if state not in OPEN_STATES:
            refused = [
                Refused(job, f"target is {state}", UNAVAILABLE_RETRY_S)
                for job in self._waiting
            ]
            self._waiting.clear()
            return list(refused)
        while self._waiting and self._may_start(now_s):
            job = self._waiting.pop(0)
            if now_s > self._latest_start_s(job):
                decisions.append(Refused(job, "waited too long", self._drain_s(now_s)))
            else:
                decisions.append(self._start(job, now_s))
        decisions.extend(self._drop_late(now_s))
        return decisions

    def due_s(self, now_s: float) -> float:
        """Return when `decide` may have something new, infinity if never."""
        if not self._waiting:
            return inf
        due_s = min(self._latest_start_s(job) for job in self._waiting)
        if self._is_paced(now_s) and len(self._running) < self._slots + PREFETCHED:
            self._pace.refill(self.cold_rate, now_s)
            due_s = min(due_s, now_s + self._pace.wait_s(self.cold_rate))
        return due_s

    def abandon(self, job: GateJob) -> bool:
        """Drop a waiting call; return False if it does not wait."""
        if job not in self._waiting:
            return False
        self._waiting.remove(job)
        return True

    def finish(
        self, job: GateJob, kind: AttemptKind, status: int, now_s: float
    ) -> None:
        """Free the slot of a run and learn from it."""
        self._running.discard(job)
        broken = kind in (AttemptKind.BROKEN, AttemptKind.TIMEOUT)
        failed = broken or status >= SERVER_ERROR
        target = self._target
        if target is not None and job.lifetime == target.announced.lifetime:
            if kind in _RAN:
                target.runs += 1
                target.failures += failed
            if status == MISDIRECTED:
                target.lost = True
        if kind is AttemptKind.NOT_CONNECTED:
            self._down = True
        if kind is AttemptKind.BROKEN:
            # No reason to pace the target: one that has really ended refuses
            # the next connection, and a lost answer is no sign of a restart.
            self._doubted = True
            self._broken_in_row += 1
            self._down = self._down or self._broken_in_row >= MAX_BROKEN_IN_ROW
        elif kind is AttemptKind.ANSWERED:
            self._broken_in_row = 0
        if kind is AttemptKind.ANSWERED and not failed or kind is AttemptKind.TIMEOUT:
            self._learn(job, now_s - job.started_s)

    def announce(self, news: Announcement, now_s: float) -> bool:
        """Take an announcement; return False if a newer one is known."""
        known = self._target.announced if self._target else None
        if known is not None and not _is_newer(news, known):
            return False
        restarted = known is None or _lifetime_key(news) != _lifetime_key(known)
        if restarted or self._target is None:
            if known is None or news.version != known.version:
                self._learned = 0
            left = news.started_ms <= self._departed.pop(news.lifetime, -1)
            self._target = _Target(announced=news, left=left)
        else:
            self._target.announced = news
            self._target.lost = False
        self._learn_cold(news.cold_s, now_s)
        self._open()
        return True

    def depart(self, lifetime: str, started_ms: int | None) -> None:
        """Take the announcement that a lifetime ends."""
        target = self._target
        known = target is not None and target.announced.lifetime == lifetime
        if target is not None and known:
            if started_ms is not None and started_ms < target.announced.started_ms:
                return
            target.left = True
        else:
            # A restarted daemon may hear of the end first; a report that was
            # delayed must not open the gate afterwards.
            self._departed[lifetime] = (
                ANY_START_MS if started_ms is None else started_ms
            )

    def probed(self, lifetime: str, cold_s: float, now_s: float) -> None:
        """Take a health check that the target has passed.

        It opens no gate by itself: a target whose leaving the predecessor of
        this daemon has acknowledged still passes.
        """
        target = self._target
        if target is not None and target.announced.lifetime == lifetime:
            self._learn_cold(cold_s, now_s)
            self._open()

    def probe_failed(self) -> None:
        """Take a health check without an answer."""
        self._down = True

    def set_evacuated(self, evacuated: bool) -> None:
        """Close or open the gate for the operator's order."""
        if self._evacuated and not evacuated:
            # The target may have turned cold meanwhile.
            self._unsure = True
        self._evacuated = evacuated

    def stop(self) -> None:
        """Refuse every further call."""
        self._stopping = True

    @property
    def _slots(self) -> int:
        return self._target.announced.slots if self._target else 0

    def _is_paced(self, now_s: float) -> bool:
        return self._unsure or now_s < self._cold_until_s

    def _effective_slots(self, now_s: float) -> int:
        if not self._is_paced(now_s):
            return self._slots
        borne = int(self.cold_rate * self._service_s)
        return max(1, min(self._slots, borne))

    def _open(self) -> None:
        self._down = False
        self._broken_in_row = 0

    def _learn_cold(self, cold_s: float, now_s: float) -> None:
        self._unsure = self._doubted = False
        self._cold_until_s = now_s + cold_s + COLD_MARGIN_S if cold_s > 0 else 0.0

    def _learn(self, job: GateJob, taken_s: float) -> None:
        taken_s = max(MIN_SERVICE_S, taken_s)
        self._learned += 1
        weight = max(SERVICE_WEIGHT, 1.0 / self._learned)
        self._service_s += weight * (taken_s - self._service_s)
        usual_s = self._route_s.get(job.call.route, taken_s)
        self._route_s[job.call.route] = usual_s + SERVICE_WEIGHT * (taken_s - usual_s)

    def _may_start(self, now_s: float) -> bool:
        if len(self._running) >= self._slots + PREFETCHED:
            return False
        if not self._is_paced(now_s):
            return True
        self._pace.refill(self.cold_rate, now_s)
        return self._pace.has_token

    def _start(self, job: GateJob, now_s: float) -> Admitted:
        if self._is_paced(now_s):
            self._pace.take()
        job.started_s = now_s
        job.lifetime = self.lifetime
        self._running.add(job)
        return Admitted(job)

    def _position(self, job: GateJob) -> int:
        place = _place(job)
        for index, other in enumerate(self._waiting):
            if _place(other) > place:
                return index
        return len(self._waiting)

    def _usual_s(self, job: GateJob) -> float:
        return self._route_s.get(job.call.route, self._service_s)

    def _usual_running_s(self) -> float:
        """Return the usual time of the calls at the target, on average."""
        total_s = sum(self._usual_s(job) for job in self._running)
        return total_s / max(1, len(self._running))

    def _wait_s(self, position: int, now_s: float) -> float:
        """Return how long a call at a position of the queue will wait."""
        work_s = sum(self._usual_s(job) for job in self._waiting[:position])
        # A slot becomes free after this part of a run, on average.
        work_s += self._usual_running_s()
        return self._paced_wait_s(work_s, position, now_s)

    def _paced_wait_s(self, work_s: float, position: int, now_s: float) -> float:
        wait_s = work_s / max(1, self._slots)
        if self._is_paced(now_s) and self.cold_rate > 0:
            wait_s = max(wait_s, position / self.cold_rate)
        return wait_s

    def _overtakers(
        self, urgency: tuple[int, int], now_s: float
    ) -> list[tuple[float, float]]:
        """Return what later calls of each more urgent kind may overtake.

        Each is the part of the target's time that they take, and how long a
        call of the given urgency waits before they no longer overtake it.
        """
        rank, latency_ms = urgency
        run_share = self._service_s / max(1, self._slots)
        overtakers = []
        for other, arrivals in self._arrivals.items():
            if other >= urgency:
                continue
            window_s = inf
            if other[0] == rank:
                window_s = URGENCY_SHARE * (latency_ms - other[1]) / 1000.0
            overtakers.append((arrivals.per_s(now_s) * run_share, window_s))
        return overtakers

    def _latest_start_s(self, job: GateJob) -> float:
        usual_s = self._usual_s(job)
        worth_most_s = job.target_s - job.arrived_s
        if usual_s < worth_most_s:
            late_s = job.target_s - usual_s / LATE_START_FACTOR
            return min(late_s, job.arrived_s + MAX_WAIT_SHARE * worth_most_s)
        return min(
            job.expires_s - usual_s,
            job.arrived_s + MAX_WAIT_SHARE * (job.expires_s - job.arrived_s),
        )

    def _drain_s(self, now_s: float) -> float:
        return self._wait_s(len(self._waiting), now_s)

    def _drop_late(self, now_s: float) -> list[Refused]:
        """Refuse the calls that others of higher rank have pushed back."""
        kept: list[GateJob] = []
        dropped: list[Refused] = []
        ahead_s = self._usual_running_s()
        for job in self._waiting:
            wait_s = self._paced_wait_s(ahead_s, len(kept), now_s)
            if now_s + wait_s / LATE_START_FACTOR > self._latest_start_s(job):
                retry_s = self._drain_s(now_s)
                dropped.append(Refused(job, "cannot start in time", retry_s))
            else:
                kept.append(job)
                ahead_s += self._usual_s(job)
        self._waiting = kept
        return dropped


_RAN = (AttemptKind.ANSWERED, AttemptKind.BROKEN, AttemptKind.TIMEOUT)


def _place(job: GateJob) -> tuple[int, float]:
    """Return what orders the waiting calls."""
    urgent_s = URGENCY_SHARE * (job.target_s - job.arrived_s)
    return job.call.rank, job.arrived_s + urgent_s


def _lifetime_key(news: Announcement) -> tuple[str, int]:
    return news.lifetime, news.started_ms


def _is_newer(news: Announcement, known: Announcement) -> bool:
    """Tell whether an announcement was made after the known one."""
    if _lifetime_key(news) == _lifetime_key(known):
        return news.sequence > known.sequence
    return news.started_ms > known.started_ms
