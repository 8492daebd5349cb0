"""Simulate controllers on an in-memory store, one store call at a time."""

from collections.abc import Coroutine
from copy import deepcopy

from attrs import Factory, evolve, mutable
from expression import Error, Ok

from catkinhollow.codec import from_plain, to_plain
from catkinhollow.control.controller import Controller
from catkinhollow.control.moves import Capacity
from catkinhollow.errors import StoreError, StoreErrorKind
from catkinhollow.generated.fleet import Fleet, Move, MoveState, Service, VersionWeight
from catkinhollow.generated.messages import VersionCounts
from catkinhollow.generated.settings import LeaseSettings
from catkinhollow.generated.store import ObjectList, StoredObject

UNAVAILABLE = Error(StoreError(kind=StoreErrorKind.UNAVAILABLE, reason="down"))
OLD_ONLY = [VersionWeight(version="old", percent=100.0)]
JOBS = ("keep_lease", "drive_moves")


@mutable
class Call:
    """Represent a store call that is suspended until the test executes it."""

    method: str
    kind: str
    name: str = ""
    value: object = None
    if_revision: int = 0
    after_quarantine: bool = False
    result: object = None

    def __await__(self):
        return (yield self)


class SuspendedStoreClient:
    """Implement the store client with suspended calls."""

    async def get(self, kind, name):
        return await Call("get", kind, name)

    async def list_objects(self, kind):
        return await Call("list", kind)

    async def put(self, kind, name, value, *, if_revision):
        return await Call("put", kind, name, deepcopy(value), if_revision)


class RecordingStore:
    """Store objects in memory and record every write in order."""

    def __init__(self):
        self.revision = 0
        self.objects = {}
        self.writes = []

    def carry_out(self, call):
        key = (call.kind, call.name)
        stored = self.objects.get(key)
        if call.method == "list":
            found = [item for item in self.objects.values() if item.kind == call.kind]
            return Ok(ObjectList(revision=self.revision, objects=deepcopy(found)))
        if call.method == "get":
            missing = StoreError(kind=StoreErrorKind.NOT_FOUND, reason="none")
            return Ok(deepcopy(stored)) if stored else Error(missing)
        if (stored.revision if stored else 0) != call.if_revision:
            return Error(StoreError(kind=StoreErrorKind.CONFLICT, reason="revision"))
        return Ok(self.write(*key, call.value))

    def write(self, kind, name, value):
        self.revision += 1
        written = StoredObject(
            kind=kind, name=name, revision=self.revision, value=deepcopy(value)
        )
        self.objects[(kind, name)] = written
        self.writes.append(written)
        return written


@mutable
class Clock:
    """Provide a time that only the test advances."""

    now_s: float = 1000.0

    def monotonic(self):
        return self.now_s

    def unix_ms(self):
        return int(self.now_s * 1000)


@mutable(eq=False)
class Daemon:
    """Represent one controller, its running jobs and their pending calls."""

    simulation: "ControllerSimulation"
    controller: Controller = None
    counts: list = Factory(list)
    paused: bool = False
    jobs: dict[str, tuple[Coroutine, Call]] = Factory(dict)

    def take(self):
        counts, self.counts = self.counts, []
        return counts

    def capacity(self, service, version):
        return self.simulation.capacity

    def start(self, job):
        if job not in self.jobs:
            self._resume(job, getattr(self.controller, job)(), None)

    def answer(self, job, result):
        """Resume a job with the result of its pending call."""
        self._resume(job, self.jobs.pop(job)[0], result)

    def crash(self):
        for coroutine, _ in self.jobs.values():
            coroutine.close()

    def _resume(self, job, coroutine, result):
        try:
            call = coroutine.send(result)
            call.after_quarantine = self.simulation.is_move_quarantined()
            self.jobs[job] = (coroutine, call)
        except StopIteration:
            pass


class ControllerSimulation:
    """Simulate a store and several daemons, some of which are preferred."""

    def __init__(self, count=3):
        self.clock = Clock()
        self.store = RecordingStore()
        self.ends = []
        self.quarantines = []
        self.preferred = {0}
        self.incarnations = 0
        self.delayed_calls = []
        self.outcome = "ok"
        self.capacity = Capacity(ready_slots=100)
        self.outcome_call = None
        self.last_list = self.old_list = UNAVAILABLE
        fleet = Fleet(services=[Service(name="orders", split=OLD_ONLY)])
        self.store.write("config", "fleet", to_plain(fleet))
        self.daemons = [self.make_daemon(number) for number in range(count)]

    def make_daemon(self, number):
        self.incarnations += 1
        daemon = Daemon(self)
        daemon.controller = Controller(
            holder=f"daemon-{number}#{self.incarnations}",
            store=SuspendedStoreClient(),
            clock=self.clock,
            settings=LeaseSettings(),
            is_preferred=lambda: number in self.preferred,
            evidence=daemon,
            capacity=daemon,
            quarantine=self.on_quarantine,
            report_end=self.ends.append,
        )
        for quarantine in self.quarantines:
            daemon.controller.on_quarantine(quarantine)
        return daemon

    def on_quarantine(self, quarantine):
        self.quarantines.append(quarantine)
        for daemon in self.daemons:
            daemon.controller.on_quarantine(quarantine)

    def restart(self, number):
        self.daemons[number].crash()
        self.daemons[number] = self.make_daemon(number)

    def resume(self, daemon):
        daemon.paused = False
        for job in JOBS:
            self.run_job(daemon, job)

    def is_move_quarantined(self):
        move = self.move
        return any(
            quarantine.move_started_ms == move.started_ms
            for quarantine in self.quarantines
        )

    def cancel_move(self):
        if self.move.state == MoveState.RUNNING:
            cancelled = evolve(self.move, state=MoveState.CANCELLING)
            self.store.write("moves", "orders", to_plain(cancelled))

    def start_move(self, duration_s):
        now_ms = self.clock.unix_ms()
        move = Move(
            service="orders",
            version="new",
            old_version="old",
            operator="anna",
            started_ms=now_ms,
            deadline_ms=now_ms + duration_s * 1000,
        )
        self.store.write("moves", "orders", to_plain(move))

    @property
    def move(self):
        stored = self.store.objects.get(("moves", "orders"))
        return from_plain(stored.value, Move).ok if stored else None

    @property
    def percent(self):
        return split_percent(self.store.objects[("config", "fleet")])

    def tick(self, seconds=1.0):
        self.clock.now_s += seconds
        for daemon in self.daemons:
            if not daemon.paused:
                daemon.controller.tick()

    def run_all(self, seconds, failure_rate=0.0):
        """Run every daemon that is not paused for some seconds.

        The first call that matches outcome_call gets the set outcome.
        """
        for _ in range(seconds):
            for number in self.preferred:
                self.daemons[number].counts += window(failure_rate)
            self.tick()
            for daemon in self.daemons:
                for job in JOBS:
                    self.run_job(daemon, job)

    def run_job(self, daemon, job):
        if not daemon.paused:
            daemon.start(job)
        while job in daemon.jobs and not daemon.paused:
            call = daemon.jobs[job][1]
            if self.outcome_call == (call.method, call.kind):
                self.outcome_call = None
                self.answer(daemon, job, self.outcome)
            else:
                self.answer(daemon, job, "ok")

    def answer(self, daemon, job, outcome):
        """Give the pending call of a job one of the simulated outcomes.

        - ok: the call is executed and answered;
        - refused: the call fails without being executed;
        - lost answer: the call is executed, but fails for the caller;
        - late: the call fails, and the test may execute it later;
        - pause: the daemon is paused before the call is executed;
        - slow answer: the daemon is paused after the call is executed;
        - old view: a list returns an older state, other calls are refused.
        """
        call = daemon.jobs[job][1]
        if outcome in ("pause", "slow answer"):
            daemon.paused = True
            call.result = self.carry_out(call) if outcome == "slow answer" else None
            return
        result = UNAVAILABLE
        if outcome == "ok":
            result = call.result or self.carry_out(call)
        if outcome == "lost answer":
            self.carry_out(call)
        if outcome == "late":
            self.delayed_calls.append(call)
        if outcome == "old view" and call.method == "list":
            result = self.old_list
        daemon.answer(job, result)

    def carry_out(self, call):
        """Execute a call and check that no quarantined share increases."""
        before = self.move.percent if self.move else 0.0, self.percent
        result = self.store.carry_out(call)
        if call.method == "list":
            self.last_list = result
        if (call.method, call.kind) == ("put", "moves") and result.is_ok():
            self.old_list = self.last_list
        if call.method == "put" and call.after_quarantine and result.is_ok():
            assert self.move.percent <= before[0]
            assert self.percent <= before[1]
        assert sum(daemon.controller.may_decide for daemon in self.daemons) <= 1
        return result


def split_percent(stored):
    split = stored.value["services"][0]["split"]
    return sum(part["percent"] for part in split if part["version"] == "new")


def window(failure_rate):
    """Return counts of one second with a failure rate of the new version."""
    new_failures = round(20 * failure_rate)
    return [
        VersionCounts(
            service="orders",
            version="new",
            route="all",
            requests=20,
            failures=new_failures,
        ),
        VersionCounts(
            service="orders", version="old", route="all", requests=180, failures=1
        ),
    ]
