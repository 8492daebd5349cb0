"""Inject random faults into running daemons and check the call invariants.

Each daemon of the platform runs as a separate process. The targets, the store
and the callers run in this process, so that it observes every request, run
and response. All faults are external to the daemons: signals, crashed targets,
an unavailable store, and connections that are reset or carry no data.
"""

import signal
from collections import Counter
from itertools import count
from pathlib import Path
from random import Random

import trio
import yaml
from attrs import define, frozen
from httpcore import (
    AsyncConnectionPool,
    ConnectError,
    NetworkError,
    ProtocolError,
    TimeoutException,
)

from catkinhollow.clock import TrioClock
from catkinhollow.codec import to_plain
from catkinhollow.generated.relay import (
    RelayConfiguration,
    RelayRoute,
    RelayService,
    RelaySettings,
)
from catkinhollow.logs import get_logger
from catkinhollow.platform.header_names import PLATFORM_HEADERS as NAMES
from catkinhollow.platform.process import SETTINGS_VARIABLE
from catkinhollow.platform.standin_store import StandInStore
from catkinhollow.relay.kinds import CONFIGURATION, CONFIGURATION_NAME
from catkinhollow.testbed.loopback_proxy import LoopbackProxy
from catkinhollow.testbed.loopback_server import serve_on_loopback
from catkinhollow.testbed.processes import Child, ProcessGroup, free_ports
from catkinhollow.testbed.soak_faults import Fault, FaultKind, plan_faults
from catkinhollow.testbed.soak_ledger import RECOVERY_S, SoakLedger
from catkinhollow.testbed.soak_target import SoakTarget

logger = get_logger(__name__)

MODULE = "catkinhollow.platform.sidecar"
SERVICE = "stock"
HOST = b"shop.example"
# Timeout of every route.
TIMEOUT_S = 1.5
# A request without a response after this time counts as lost.
CALLER_TIMEOUT_S = 6.0
CALLERS_PER_DAEMON = 2
# Mean pause of a caller between two requests.
MEAN_PAUSE_S = 0.1
# Time limit for all daemons to start; long enough for a busy machine.
START_LIMIT_S = 30.0
# Time after the recovery time in which the callers go on, for the check that
# calls succeed again.
AFTER_RECOVERY_S = 2.0
# This process was stalled if it wakes up more than STALL_S after the interval
# that it slept for.
STALL_CHECK_INTERVAL_S = 0.05
STALL_S = 0.2


@frozen(kw_only=True)
class SoakResult:
    """Represent the outcome of one run."""

    seed: int
    violations: list[str]
    statuses: Counter[int]
    faults: list[Fault]
    stalled_s: float


@define(eq=False)
class _Member:
    """Represent one daemon with its target and the proxies in between."""

    settings: RelaySettings
    target: SoakTarget
    to_target: LoopbackProxy
    to_store: LoopbackProxy
    child: Child | None = None


class Soak:
    """Run the soak test with one seed."""

    def __init__(
        self, seed: int, *, daemons: int, seconds: float, directory: Path
    ) -> None:
        self._seed = seed
        self._random = Random(seed)
        self._seconds = seconds
        self._directory = directory
        self._clock = TrioClock()
        self._ledger = SoakLedger(TIMEOUT_S)
        self._store = StandInStore()
        self._group = ProcessGroup(directory)
        self._members: dict[str, _Member] = {}
        self._version = 0
        self._request_ids = count(1)
        self._daemon_count = daemons
        self._is_calling = True

    async def run(self) -> SoakResult:
        """Run the test and return the violations that it found."""
        names = [f"d{number}" for number in range(self._daemon_count)]
        faults = plan_faults(self._random, names, self._seconds)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._record_stalls)
                await self._start_fleet(nursery, names)
                last_fault_s = await self._call_during_faults(names, faults)
                violations = self._ledger.find_violations(last_fault_s)
                violations += await self._check_versions()
                nursery.cancel_scope.cancel()
        finally:
            self._group.kill_all()
        return SoakResult(
            seed=self._seed,
            violations=violations,
            statuses=self._ledger.statuses,
            faults=faults,
            stalled_s=self._ledger.stalled_s,
        )

    async def _start_fleet(self, nursery: trio.Nursery, names: list[str]) -> None:
        self._configure()
        store_port = free_ports(1)[0]
        await nursery.start(serve_on_loopback, self._store, store_port)
        for name in names:
            await self._start_member(nursery, name, store_port)
        with trio.fail_after(START_LIMIT_S):
            for name in names:
                while not await self._is_serving(name, "/s/start"):
                    await trio.sleep(0.1)

    async def _start_member(
        self, nursery: trio.Nursery, name: str, store_port: int
    ) -> None:
        ports = free_ports(8)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        settings = RelaySettings(
            instance=name,
            failure_domain="a" if int(name[1:]) % 2 else "b",
            region="r",
            service=SERVICE,
            target=addresses[0],
            requests=addresses[1],
            ready=addresses[2],
            announcements=addresses[3],
            peer=addresses[4],
            metrics=addresses[5],
            store=addresses[6],
        )
        member = _Member(
            settings=settings,
            target=SoakTarget(settings, ports[7], self._ledger.record_run, self._clock),
            to_target=LoopbackProxy(ports[7]),
            to_store=LoopbackProxy(store_port),
        )
        self._members[name] = member
        await nursery.start(member.to_target.serve, ports[0])
        await nursery.start(member.to_store.serve, ports[6])
        nursery.start_soon(member.target.run)
        path = self._directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(to_plain(settings)))
        self._start_daemon(name)

    def _start_daemon(self, name: str) -> None:
        path = self._directory / f"{name}.yaml"
        environment = {SETTINGS_VARIABLE: str(path)}
        self._members[name].child = self._group.start(
            name, [], environment, module=MODULE
        )

    def _configure(self) -> None:
        """Write the next version, with a route that only this version has."""
        self._version += 1
        routes = [
            RelayRoute(
                name=name,
                host=HOST.decode(),
                path_prefix=prefix,
                kind=kind,
                service=SERVICE,
                timeout_ms=TIMEOUT_S * 1000.0,
                max_attempts=2,
            )
            for name, prefix, kind in (
                ("safe", "/s/", "safe"),
                ("unsafe", "/u/", "unsafe"),
                ("newest", f"/v{self._version}/", "safe"),
            )
        ]
        configuration = RelayConfiguration(
            version=self._version, routes=routes, services=[RelayService(name=SERVICE)]
        )
        self._store.write(CONFIGURATION, CONFIGURATION_NAME, configuration)

    async def _call_during_faults(self, names: list[str], faults: list[Fault]) -> float:
        """Call all daemons during the faults; return the last fault's end."""
        async with trio.open_nursery() as callers:
            for name in names:
                for _ in range(CALLERS_PER_DAEMON):
                    random = Random(self._random.random())
                    callers.start_soon(self._run_caller, name, random)
            last_fault_s = await self._inject_all(faults)
            await trio.sleep_until(last_fault_s + RECOVERY_S + AFTER_RECOVERY_S)
            self._is_calling = False
        return last_fault_s

    async def _inject_all(self, faults: list[Fault]) -> float:
        """Inject all faults and return the time when the last one was over."""
        started_s = self._clock.monotonic()
        async with trio.open_nursery() as running:
            for fault in faults:
                await trio.sleep_until(started_s + fault.at_s)
                logger.info("fault", kind=fault.kind, instance=fault.instance)
                running.start_soon(self._inject, fault)
        return self._clock.monotonic()

    async def _inject(self, fault: Fault) -> None:
        member = self._members[fault.instance]
        match fault.kind:
            case FaultKind.KILL:
                await self._kill(member, fault)
            case FaultKind.TERMINATE:
                await self._terminate(member, fault)
            case FaultKind.PAUSE:
                await self._pause(member, fault)
            case FaultKind.TARGET_CRASH:
                member.target.crash(fault.duration_s)
            case FaultKind.TARGET_RESET:
                member.to_target.reset()
            case FaultKind.TARGET_SILENT:
                await self._block_traffic(member.to_target, fault.duration_s)
            case FaultKind.STORE_SILENT:
                await self._block_traffic(member.to_store, fault.duration_s)
            case FaultKind.STORE_DOWN:
                self._store.down = True
                await trio.sleep(fault.duration_s)
                self._store.down = False
            case FaultKind.CONFIGURE:
                self._configure()

    async def _kill(self, member: _Member, fault: Fault) -> None:
        begin_s = self._clock.monotonic()
        if member.child is not None:
            member.child.send(signal.SIGKILL)
            await member.child.wait(CALLER_TIMEOUT_S)
        await trio.sleep(fault.duration_s)
        await self._restart(member, fault.instance, begin_s)

    async def _terminate(self, member: _Member, fault: Fault) -> None:
        begin_s = self._clock.monotonic()
        if member.child is not None:
            member.child.send(signal.SIGTERM)
            if not await member.child.wait(member.settings.grace_s):
                member.child.send(signal.SIGKILL)
        end_s = self._clock.monotonic()
        self._ledger.record_shutdown(fault.instance, begin_s, end_s)
        await self._restart(member, fault.instance, end_s)

    async def _restart(self, member: _Member, name: str, begin_s: float) -> None:
        self._start_daemon(name)
        # The final checks report a daemon that does not serve by then.
        with trio.move_on_after(START_LIMIT_S):
            while not await self._is_serving(name, "/s/restarted"):
                await trio.sleep(0.1)
        self._ledger.record_outage(name, begin_s, self._clock.monotonic())

    async def _pause(self, member: _Member, fault: Fault) -> None:
        begin_s = self._clock.monotonic()
        if member.child is not None:
            member.child.send(signal.SIGSTOP)
            await trio.sleep(fault.duration_s)
            member.child.send(signal.SIGCONT)
        self._ledger.record_outage(fault.instance, begin_s, self._clock.monotonic())

    async def _block_traffic(self, proxy: LoopbackProxy, duration_s: float) -> None:
        proxy.silent = True
        await trio.sleep(duration_s)
        proxy.silent = False

    async def _record_stalls(self) -> None:
        """Record when this process got no CPU time."""
        while True:
            begin_s = self._clock.monotonic()
            await trio.sleep(STALL_CHECK_INTERVAL_S)
            now_s = self._clock.monotonic()
            if now_s - begin_s > STALL_CHECK_INTERVAL_S + STALL_S:
                self._ledger.record_stall(begin_s, now_s)

    async def _run_caller(self, name: str, random: Random) -> None:
        """Call one daemon over a persistent connection."""
        pool = AsyncConnectionPool(max_connections=1)
        while self._is_calling:
            await trio.sleep(random.expovariate(1.0 / MEAN_PAUSE_S))
            await self._call(pool, name, unsafe=random.random() < 0.5)

    async def _call(
        self, pool: AsyncConnectionPool, name: str, *, unsafe: bool
    ) -> None:
        request_id = f"{self._seed}-{next(self._request_ids)}"
        method, path = ("POST", "/u/x") if unsafe else ("GET", "/s/x")
        self._ledger.record_request(
            request_id, name, unsafe=unsafe, now_s=self._clock.monotonic()
        )
        status = 0
        try:
            with trio.move_on_after(CALLER_TIMEOUT_S):
                status = await self._request(pool, name, method, path, request_id)
        except ConnectError:
            self._ledger.discard_request(request_id)
            return
        except (NetworkError, ProtocolError, TimeoutException) as error:
            logger.info("no response", request_id=request_id, reason=repr(error))
        self._ledger.record_response(request_id, status, self._clock.monotonic())

    async def _request(
        self,
        pool: AsyncConnectionPool,
        name: str,
        method: str,
        path: str,
        request_id: str,
    ) -> int:
        address = self._members[name].settings.requests
        headers = [(b"host", HOST), (NAMES.request_id, request_id.encode())]
        response = await pool.request(
            method, f"http://{address}{path}", headers=headers
        )
        return response.status

    async def _is_serving(self, name: str, path: str) -> bool:
        """Return whether a safe call to a daemon succeeds."""
        request_id = f"{self._seed}-check-{next(self._request_ids)}"
        with trio.move_on_after(CALLER_TIMEOUT_S):
            async with AsyncConnectionPool() as pool:
                try:
                    status = await self._request(pool, name, "GET", path, request_id)
                except (NetworkError, ProtocolError, TimeoutException) as error:
                    logger.debug("not serving yet", instance=name, reason=repr(error))
                    return False
                return status == 200
        return False

    async def _check_versions(self) -> list[str]:
        path = f"/v{self._version}/x"
        return [
            f"configuration: {name} does not enforce version {self._version}"
            for name in self._members
            if not await self._is_serving(name, path)
        ]
