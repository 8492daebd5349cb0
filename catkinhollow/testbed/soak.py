"""Inject random faults into running daemons and check the call invariants.

Each daemon of the platform runs as a separate process. The targets, the store
and the callers run in this process, so that it observes every request, run
and response. All faults are external to the daemons: signals, crashed targets,
an unavailable store, and connections that are reset or carry no data.
"""

from collections import Counter
from itertools import count
from pathlib import Path
from random import Random

import trio
from attrs import frozen
from httpcore import (
    AsyncConnectionPool,
    ConnectError,
    NetworkError,
    ProtocolError,
    TimeoutException,
)

from catkinhollow.clock import TrioClock
from catkinhollow.logs import get_logger
from catkinhollow.testbed.soak_faults import (
    Fault,
    plan_faults,
    plan_late_frames,
    plan_signals,
)
from catkinhollow.testbed.soak_fleet import CALLER_TIMEOUT_S, SoakFleet, route_timeout_s
from catkinhollow.testbed.soak_injector import FaultInjector
from catkinhollow.testbed.soak_ledger import RECOVERY_S, SoakLedger
from catkinhollow.testbed.soak_pipelines import PipeliningCaller
from catkinhollow.testbed.soak_stalls import watch_stalls, watch_starvation
from catkinhollow.testbed.soak_version_checker import VersionChecker
from catkinhollow.testbed.soak_versions import (
    CONFIGURATION_APPLY_S,
    TouchRecord,
    VersionLedger,
)
from catkinhollow.testbed.soak_violation import Violation

logger = get_logger(__name__)

FAILURE_DOMAINS = 2
CALLERS_PER_DAEMON = 2
# The same with late frames, of whose calls many are open at any time.
LATE_FRAMES_CALLERS = 4
# Mean pause of a caller between two requests, and limit of the requests per
# second, as one process runs the callers, targets and proxies of all daemons.
MEAN_PAUSE_S = 0.1
MAX_CALLS_PER_S = 120.0
# Time after the recovery time in which the callers go on, for the check that
# calls succeed again.
AFTER_RECOVERY_S = 2.0
# Interval of the versions that are written after the last fault.
RECOVERY_VERSION_INTERVAL_S = 1.0


@frozen(kw_only=True)
class SoakResult:
    """Represent the outcome of one run."""

    seed: int
    started_s: float
    """Time of the start of the fault plan."""
    violations: list[Violation]
    statuses: Counter[int]
    faults: list[Fault]
    stalled_s: float
    starved_s: float
    """Sum of the times in which daemons had no core of the machine."""
    judged_answers: int
    """Answers that had to follow a certain version."""
    quiet_windows: int
    """Windows in which the share of served requests was checked."""

    @property
    def timeline(self) -> list[str]:
        """Return the faults and the violations in the order of their times."""
        lines = [(fault.at_s, str(fault)) for fault in self.faults]
        lines += [
            (violation.at_s - self.started_s, violation.describe(self.started_s))
            for violation in self.violations
        ]
        return [line for _, line in sorted(lines)]


class Soak:
    """Run the soak test with one seed."""

    def __init__(
        self,
        seed: int,
        *,
        daemons: int,
        seconds: float,
        directory: Path,
        late_frames: bool = False,
        signals: bool = False,
    ) -> None:
        self._seed = seed
        self._random = Random(seed)
        self._seconds = seconds
        self._late_frames = late_frames
        self._signals = signals
        self._callers = LATE_FRAMES_CALLERS if late_frames else CALLERS_PER_DAEMON
        self._clock = TrioClock()
        self._names = [f"d{number}" for number in range(daemons)]
        self._touch = TouchRecord(self._names, self._clock)
        timeout_s = route_timeout_s(long_runs=late_frames)
        self._ledger = SoakLedger(timeout_s, self._touch)
        self._versions = VersionLedger(self._touch)
        self._fleet = SoakFleet(
            self._names,
            failure_domains=FAILURE_DOMAINS,
            directory=directory,
            record_run=self._ledger.record_run,
            clock=self._clock,
            long_runs=late_frames,
        )
        self._checker = VersionChecker(self._fleet, self._versions, self._clock)
        self._injector = FaultInjector(
            fleet=self._fleet,
            ledger=self._ledger,
            versions=self._versions,
            touch=self._touch,
            clock=self._clock,
        )
        self._request_ids = count(1)
        self._is_calling = True

    async def run(self) -> SoakResult:
        """Run the test and return the violations that it found."""
        faults = self._plan_faults()
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch_stalls, self._clock, self._record_stall)
                await self._fleet.start(nursery)
                nursery.start_soon(
                    watch_starvation, self._fleet, self._clock, self._record_starvation
                )
                for name in self._names:
                    nursery.start_soon(self._checker.run, name)
                started_s = self._clock.monotonic()
                last_fault_s = await self._call_during_faults(faults)
                violations = self._ledger.find_violations(last_fault_s)
                violations += self._versions.find_violations()
                violations += await self._find_outdated()
                nursery.cancel_scope.cancel()
        finally:
            self._fleet.kill_all()
        return SoakResult(
            seed=self._seed,
            started_s=started_s,
            violations=sorted(violations, key=lambda violation: violation.at_s),
            statuses=self._ledger.statuses,
            faults=faults,
            stalled_s=self._ledger.stalled_s,
            starved_s=self._ledger.starved_s,
            judged_answers=self._versions.judged,
            quiet_windows=len(self._ledger.quiet_windows()),
        )

    def _plan_faults(self) -> list[Fault]:
        faults = plan_faults(self._random, self._names, self._seconds)
        if self._late_frames:
            # A generator of its own keeps the other faults of a seed the same.
            random = Random(f"late frames {self._seed}")
            faults += plan_late_frames(random, self._names, self._seconds, faults)
        if self._signals:
            random = Random(f"signals {self._seed}")
            faults += plan_signals(random, self._names, self._seconds, faults)
        return sorted(faults, key=lambda fault: fault.at_s)

    async def _call_during_faults(self, faults: list[Fault]) -> float:
        """Call all daemons during the faults; return the last fault's end."""
        async with trio.open_nursery() as callers:
            for name in self._names:
                for _ in range(self._callers):
                    random = Random(self._random.random())
                    callers.start_soon(self._run_caller, name, random)
                if self._signals:
                    caller = self._make_pipelining_caller(name)
                    callers.start_soon(caller.run, lambda: self._is_calling)
            await self._injector.run(faults)
            last_fault_s = self._clock.monotonic()
            end_s = last_fault_s + RECOVERY_S + AFTER_RECOVERY_S
            while self._clock.monotonic() < end_s:
                self._injector.configure()
                await trio.sleep(RECOVERY_VERSION_INTERVAL_S)
            await trio.sleep(CONFIGURATION_APPLY_S)
            self._is_calling = False
        return last_fault_s

    def _make_pipelining_caller(self, name: str) -> PipeliningCaller:
        return PipeliningCaller(
            name,
            fleet=self._fleet,
            ledger=self._ledger,
            clock=self._clock,
            random=Random(f"pipelines {name} {self._seed}"),
            next_id=self._next_request_id,
        )

    def _next_request_id(self) -> str:
        return f"{self._seed}-{next(self._request_ids)}"

    def _record_stall(self, begin_s: float, end_s: float) -> None:
        self._ledger.record_stall(begin_s, end_s)
        self._touch.record_stall(begin_s, end_s)

    def _record_starvation(self, name: str, begin_s: float, end_s: float) -> None:
        self._ledger.record_starvation(name, begin_s, end_s)
        self._touch.record_starvation(name, begin_s, end_s)

    async def _run_caller(self, name: str, random: Random) -> None:
        """Call one daemon over a persistent connection."""
        pool = AsyncConnectionPool(max_connections=1)
        callers = self._callers * len(self._names)
        mean_pause_s = max(MEAN_PAUSE_S, callers / MAX_CALLS_PER_S)
        while self._is_calling:
            await trio.sleep(random.expovariate(1.0 / mean_pause_s))
            await self._call(pool, name, unsafe=random.random() < 0.5)

    async def _call(
        self, pool: AsyncConnectionPool, name: str, *, unsafe: bool
    ) -> None:
        request_id = self._next_request_id()
        method, path = ("POST", "/u/x") if unsafe else ("GET", "/s/x")
        self._ledger.record_request(
            request_id, name, unsafe=unsafe, now_s=self._clock.monotonic()
        )
        status = 0
        try:
            with trio.move_on_after(CALLER_TIMEOUT_S):
                status = await self._fleet.request(pool, name, method, path, request_id)
        except ConnectError:
            self._ledger.discard_request(request_id)
            return
        except (NetworkError, ProtocolError, TimeoutException) as error:
            logger.info("no response", request_id=request_id, reason=repr(error))
        self._ledger.record_response(request_id, status, self._clock.monotonic())

    async def _find_outdated(self) -> list[Violation]:
        return [
            Violation(
                kind="configuration",
                at_s=self._clock.monotonic(),
                instance=name,
                reason="the newest version is not enforced at the end",
            )
            for name in await self._fleet.find_outdated()
        ]
