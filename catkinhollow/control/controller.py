"""Run the controller of a daemon, which holds the lease and drives moves."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import trio

from catkinhollow.codec import from_plain, to_plain
from catkinhollow.configuration.store import CONTROLLER_LEASE, LEASES_KIND, StoreClient
from catkinhollow.control.lease import LeaseManager, ReadLease, WriteLease
from catkinhollow.control.move_runner import CapacitySource, MoveRunner
from catkinhollow.errors import StoreErrorKind
from catkinhollow.generated.fleet import Lease, Move, Snapshot
from catkinhollow.generated.messages import Quarantine, VersionCounts
from catkinhollow.generated.settings import LeaseSettings
from catkinhollow.generated.store import StoredObject
from catkinhollow.logs import get_logger
from catkinhollow.timer import Clock, Timer

logger = get_logger(__name__)

TICK_S = 1.0


class EvidenceSource(Protocol):
    """Supply the outcome counts of the fleet."""

    def take(self) -> list[VersionCounts]:
        """Return the counts received since the last call."""


def log_end(move: Move) -> None:
    """Log the end of a move."""
    logger.info(
        "move ended",
        service=move.service,
        version=move.version,
        operator=move.operator,
        state=move.state.value,
        reason=move.reason,
    )


class Controller:
    """Acquire the lease while preferred, and drive moves while holding it.

    A daemon is preferred while it is ready and its member table elects it as
    the controller.
    """

    def __init__(
        self,
        *,
        holder: str,
        store: StoreClient,
        clock: Clock,
        settings: LeaseSettings,
        is_preferred: Callable[[], bool],
        evidence: EvidenceSource,
        capacity: CapacitySource,
        quarantine: Callable[[Quarantine], None],
        report_end: Callable[[Move], None] = log_end,
    ) -> None:
        self._store = store
        self._clock = clock
        self._is_preferred = is_preferred
        self._evidence = evidence
        self._quarantine = quarantine
        self._lease_manager = LeaseManager(holder, settings)
        self._runner = MoveRunner(
            store=store,
            clock=clock,
            lease_manager=self._lease_manager,
            capacity=capacity,
            report_end=report_end,
        )
        self._ticked = trio.Event()

    @property
    def epoch(self) -> int:
        """Return the epoch of this daemon's term, 0 when there is none."""
        return self._lease_manager.epoch

    @property
    def moves(self) -> list[Move]:
        """Return the moves that this daemon drives."""
        return self._runner.moves

    @property
    def may_decide(self) -> bool:
        """Return whether this daemon is the active controller."""
        return self._lease_manager.may_decide(self._clock.monotonic())

    async def run(self, timer: Timer) -> None:
        """Maintain the lease and drive the moves until cancelled."""
        subscription = timer.subscribe(TICK_S, self.tick)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._run_on_tick, self.keep_lease)
                nursery.start_soon(self._run_on_tick, self.drive_moves)
        finally:
            subscription.cancel()

    def tick(self) -> None:
        """Evaluate a window of evidence and wake the tasks.

        The evaluation does not use the store, so a bad version is also
        quarantined during an outage of the store.
        """
        if not self._is_preferred() and not self.epoch:
            self._runner.forget_moves()
        for quarantine in self._runner.observe(self._evidence.take()):
            self._runner.on_quarantine(quarantine)
            self._quarantine(quarantine)
        self._ticked.set()
        self._ticked = trio.Event()

    def on_quarantine(self, quarantine: Quarantine) -> None:
        """Withdraw a version that some daemon has quarantined."""
        self._runner.on_quarantine(quarantine)

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Restore the splits of running moves that another writer changed."""
        self._runner.on_snapshot(snapshot)

    async def keep_lease(self) -> None:
        """Make the store calls for the lease that are due."""
        while True:
            command = self._lease_manager.next_command(
                self._clock.monotonic(), preferred=self._is_preferred()
            )
            if command is None:
                return
            if isinstance(command, ReadLease):
                await self._read_lease()
            else:
                await self._write_lease(command)

    async def drive_moves(self) -> None:
        """Read the moves and make the store writes that are due."""
        await self._runner.run_pass()

    async def _run_on_tick(self, job: Callable[[], Awaitable[None]]) -> None:
        while True:
            await self._ticked.wait()
            await job()

    async def _read_lease(self) -> None:
        result = await self._store.get(LEASES_KIND, CONTROLLER_LEASE)
        now_s = self._clock.monotonic()
        if result.is_ok():
            self._on_stored_lease(now_s, result.ok)
        elif result.error.kind == StoreErrorKind.NOT_FOUND:
            self._lease_manager.on_read(now_s, None, 0)
        else:
            self._lease_manager.on_unavailable(now_s)

    def _on_stored_lease(self, now_s: float, stored: StoredObject) -> None:
        decoded = from_plain(stored.value, Lease)
        if decoded.is_ok():
            self._lease_manager.on_read(now_s, decoded.ok, stored.revision)
            return
        logger.error("stored lease refused", reason=decoded.error.reason)
        self._lease_manager.on_unavailable(now_s)

    async def _write_lease(self, command: WriteLease) -> None:
        result = await self._store.put(
            LEASES_KIND,
            CONTROLLER_LEASE,
            to_plain(command.lease),
            if_revision=command.if_revision,
        )
        now_s = self._clock.monotonic()
        if result.is_ok():
            self._lease_manager.on_written(now_s, command, result.ok.revision)
        elif result.error.kind == StoreErrorKind.CONFLICT:
            self._lease_manager.on_conflict(now_s)
        else:
            self._lease_manager.on_unavailable(now_s)
