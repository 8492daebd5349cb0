"""Inject planned faults into the daemons of a soak test."""

import signal
from collections.abc import Iterable, Sequence

import trio

from catkinhollow.logs import get_logger
from catkinhollow.testbed.loopback_proxy import LoopbackProxy
from catkinhollow.testbed.processes import Child
from catkinhollow.testbed.soak_faults import Fault, FaultKind, Place
from catkinhollow.testbed.soak_fleet import (
    CALLER_TIMEOUT_S,
    START_LIMIT_S,
    Member,
    SoakFleet,
)
from catkinhollow.testbed.soak_ledger import SoakLedger
from catkinhollow.testbed.soak_versions import TouchRecord, VersionLedger
from catkinhollow.timer import Clock

logger = get_logger(__name__)

_LASTING_KINDS = (FaultKind.SILENT_FOR_A_TIME, FaultKind.DELAYED)


class FaultInjector:
    """Inject faults and record which daemons and requests they disturb."""

    def __init__(
        self,
        *,
        fleet: SoakFleet,
        ledger: SoakLedger,
        versions: VersionLedger,
        touch: TouchRecord,
        clock: Clock,
    ) -> None:
        self._fleet = fleet
        self._ledger = ledger
        self._versions = versions
        self._touch = touch
        self._clock = clock

    async def run(self, faults: Iterable[Fault]) -> None:
        """Inject all faults and return when the last one is over."""
        started_s = self._clock.monotonic()
        async with trio.open_nursery() as running:
            for fault in faults:
                await trio.sleep_until(started_s + fault.at_s)
                logger.info("fault", fault=str(fault))
                running.start_soon(self._inject, fault)

    def configure(self) -> None:
        """Write the next configuration version."""
        version = self._fleet.write_version()
        self._versions.record_version(version, self._clock.monotonic())

    async def _inject(self, fault: Fault) -> None:
        begin_s = self._clock.monotonic()
        match fault.kind:
            case FaultKind.KILL:
                await self._kill(fault.instances[0], fault.duration_s)
            case FaultKind.TERMINATE:
                await self._terminate(fault.instances[0], [signal.SIGTERM], 0.0)
            case FaultKind.SIGNALS:
                name = fault.instances[0]
                await self._terminate(name, fault.signals, fault.duration_s)
            case FaultKind.RELOAD:
                self._reload(fault.instances[0])
            case FaultKind.PAUSE:
                await self._pause(fault.instances[0], fault.duration_s)
            case FaultKind.TARGET_CRASH:
                self._fleet.members[fault.instances[0]].target.crash(fault.duration_s)
                await trio.sleep(fault.duration_s)
            case FaultKind.STORE_DOWN:
                with self._touch.disturb(fault.instances):
                    self._fleet.store.down = True
                    await trio.sleep(fault.duration_s)
                    self._fleet.store.down = False
            case FaultKind.CONFIGURE:
                self.configure()
            case _:
                await self._disturb_connections(fault)
        if fault.kind is FaultKind.TARGET_CRASH or fault.place is Place.TARGET:
            self._ledger.record_target_fault(begin_s, self._clock.monotonic())

    async def _kill(self, name: str, duration_s: float) -> None:
        member = self._fleet.members[name]
        begin_s = self._clock.monotonic()
        with self._touch.disturb([name]):
            if member.child is not None:
                member.child.send(signal.SIGKILL)
                await member.child.wait(CALLER_TIMEOUT_S)
            await trio.sleep(duration_s)
            self._fleet.start_daemon(name)
        await self._record_restart(name, begin_s)

    async def _terminate(
        self, name: str, signals: Sequence[signal.Signals], duration_s: float
    ) -> None:
        member = self._fleet.members[name]
        begin_s = self._clock.monotonic()
        with self._touch.disturb([name]):
            if member.child is not None:
                await self._stop(name, member.child, signals, duration_s)
            end_s = self._clock.monotonic()
            self._ledger.record_shutdown(name, begin_s, end_s)
            self._fleet.start_daemon(name)
        await self._record_restart(name, end_s)

    async def _stop(
        self,
        name: str,
        child: Child,
        signals: Sequence[signal.Signals],
        duration_s: float,
    ) -> None:
        """Send the signals, and kill the process after its grace period."""
        status: int | None = None
        with trio.move_on_after(self._fleet.members[name].settings.grace_s):
            for number in signals:
                child.send(number)
                await trio.sleep(duration_s / len(signals))
            status = await child.wait_status()
        if status is None:
            child.send(signal.SIGKILL)
        self._ledger.record_stop(name, self._clock.monotonic(), status)

    def _reload(self, name: str) -> None:
        child = self._fleet.members[name].child
        if child is not None:
            child.send(signal.SIGHUP)

    async def _record_restart(self, name: str, begin_s: float) -> None:
        # The final checks report a daemon that does not serve by then.
        with trio.move_on_after(START_LIMIT_S):
            while not await self._fleet.is_serving(name, "/s/restarted"):
                await trio.sleep(0.1)
        self._ledger.record_outage(name, begin_s, self._clock.monotonic())

    async def _pause(self, name: str, duration_s: float) -> None:
        member = self._fleet.members[name]
        begin_s = self._clock.monotonic()
        with self._touch.disturb([name]):
            if member.child is not None:
                member.child.send(signal.SIGSTOP)
                await trio.sleep(duration_s)
                member.child.send(signal.SIGCONT)
        self._ledger.record_outage(name, begin_s, self._clock.monotonic())

    async def _disturb_connections(self, fault: Fault) -> None:
        members = [self._fleet.members[name] for name in fault.instances]
        proxies = [_find_proxy(member, fault.place) for member in members]
        is_touched = fault.place is not Place.TARGET
        with self._touch.disturb(fault.instances if is_touched else ()):
            if fault.kind is FaultKind.HELD:
                releases = [proxy.hold_open() for proxy in proxies]
                await trio.sleep(fault.duration_s)
                for release in releases:
                    release()
                return
            for proxy in proxies:
                _disturb(proxy, fault)
            if fault.kind in _LASTING_KINDS:
                await trio.sleep(fault.duration_s)
                for proxy in proxies:
                    _restore(proxy, fault)


def _disturb(proxy: LoopbackProxy, fault: Fault) -> None:
    match fault.kind:
        case FaultKind.RESET:
            proxy.reset()
        case FaultKind.ONE_WAY:
            proxy.cut_open([fault.direction])
        case FaultKind.SILENT_FOR_GOOD:
            proxy.cut_open()
        case FaultKind.SILENT_FOR_A_TIME:
            proxy.silent = True
        case FaultKind.DELAYED:
            proxy.delay_s = fault.delay_s


def _restore(proxy: LoopbackProxy, fault: Fault) -> None:
    match fault.kind:
        case FaultKind.SILENT_FOR_A_TIME:
            proxy.silent = False
        case FaultKind.DELAYED:
            proxy.delay_s = 0.0


def _find_proxy(member: Member, place: Place | None) -> LoopbackProxy:
    match place:
        case Place.PEER:
            return member.to_peer
        case Place.STORE:
            return member.to_store
    return member.to_target
