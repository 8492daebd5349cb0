"""Make the store calls that the drivers of moves request."""

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from catkinhollow.codec import from_plain, to_plain
from catkinhollow.configuration.store import (
    FLEET_KIND,
    FLEET_NAME,
    MOVES_KIND,
    StoreClient,
)
from catkinhollow.control.lease import LeaseManager
from catkinhollow.control.moves import (
    TERMINAL_STATES,
    Capacity,
    MoveDriver,
    WriteMove,
    WriteSplit,
    replace_split,
)
from catkinhollow.errors import StoreErrorKind
from catkinhollow.generated.fleet import Move, Snapshot
from catkinhollow.generated.messages import Quarantine, VersionCounts
from catkinhollow.generated.store import StoredObject
from catkinhollow.logs import get_logger
from catkinhollow.timer import Clock

logger = get_logger(__name__)

# While there is no move, the store is read once in this number of passes.
IDLE_PASSES = 3
# Other writers of config/fleet are rare, so an immediate retry is likely to
# succeed.
SPLIT_ATTEMPTS = 3


class CapacitySource(Protocol):
    """Supply the capacity of the targets of a version."""

    def capacity(self, service: str, version: str) -> Capacity:
        """Return the slots of the targets of a version."""


class MoveRunner:
    """Run the drivers of all moves and execute their commands."""

    def __init__(
        self,
        *,
        store: StoreClient,
        clock: Clock,
        lease_manager: LeaseManager,
        capacity: CapacitySource,
        report_end: Callable[[Move], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._lease_manager = lease_manager
        self._capacity = capacity
        self._report_end = report_end
        self._drivers: dict[str, MoveDriver] = {}
        self._revisions: dict[str, int] = {}
        self._quarantines: dict[str, Quarantine] = {}
        self._idle_passes = IDLE_PASSES

    @property
    def moves(self) -> list[Move]:
        """Return the moves that this daemon drives."""
        return [driver.move for driver in self._drivers.values()]

    def observe(self, counts: Iterable[VersionCounts]) -> list[Quarantine]:
        """Pass the counts to the drivers and return new quarantines."""
        by_service: dict[str, list[VersionCounts]] = {}
        for entry in counts:
            by_service.setdefault(entry.service, []).append(entry)
        quarantines = [
            driver.observe(by_service.get(service, []))
            for service, driver in self._drivers.items()
        ]
        return [quarantine for quarantine in quarantines if quarantine]

    def on_quarantine(self, quarantine: Quarantine) -> None:
        """Withdraw a version that some daemon has quarantined."""
        known = self._quarantines.get(quarantine.service)
        if known is None or known.move_started_ms < quarantine.move_started_ms:
            self._quarantines[quarantine.service] = quarantine
        self._apply_quarantines()

    def on_snapshot(self, snapshot: Snapshot) -> None:
        """Restore the splits of running moves that another writer changed."""
        for service in snapshot.fleet.services:
            driver = self._drivers.get(service.name)
            if driver:
                driver.on_split_seen(service.split, snapshot.revision)

    def forget_moves(self) -> None:
        """Drop all drivers except those with an unreported end."""
        self._drivers = {
            service: driver
            for service, driver in self._drivers.items()
            if driver.has_unconfirmed_end
        }

    async def run_pass(self) -> None:
        """Read the moves and make the store writes that are due."""
        if not self._is_pass_due():
            return
        listed = await self._store.list_objects(MOVES_KIND)
        if listed.is_error():
            return
        self._sync(listed.ok.objects)
        for service, driver in list(self._drivers.items()):
            await self._run_driver(driver)
            if driver.move.state in TERMINAL_STATES:
                del self._drivers[service]

    def _is_pass_due(self) -> bool:
        if not self._lease_manager.may_decide(self._clock.monotonic()):
            self._idle_passes = IDLE_PASSES
            return any(driver.has_unconfirmed_end for driver in self._drivers.values())
        self._idle_passes += 1
        if not self._drivers and self._idle_passes < IDLE_PASSES:
            return False
        self._idle_passes = 0
        return True

    def _sync(self, objects: Iterable[StoredObject]) -> None:
        # A store may answer with an older state, from which an ended move
        # must not start again.
        for stored in objects:
            if self._is_known(stored):
                continue
            decoded = from_plain(stored.value, Move)
            if decoded.is_ok():
                self._revisions[stored.name] = stored.revision
                self._sync_move(decoded.ok, stored.revision)
            else:
                logger.error(
                    "stored move refused",
                    service=stored.name,
                    reason=decoded.error.reason,
                )
        self._start_terms()
        self._apply_quarantines()

    def _is_known(self, stored: StoredObject) -> bool:
        # A daemon that dropped its drivers and is preferred again has to drive
        # the move although it already knows the stored revision.
        known = self._revisions.get(stored.name, 0)
        has_driver = stored.name in self._drivers
        return stored.revision < known or (stored.revision == known and has_driver)

    def _sync_move(self, move: Move, revision: int) -> None:
        driver = self._drivers.get(move.service)
        if driver and driver.move.started_ms == move.started_ms:
            self._apply_record(driver, move, revision)
        elif move.state not in TERMINAL_STATES:
            self._drivers[move.service] = MoveDriver(move, revision)
        else:
            self._drivers.pop(move.service, None)

    def _start_terms(self) -> None:
        for driver in self._drivers.values():
            if self._lease_manager.epoch and driver.epoch != self._lease_manager.epoch:
                driver.start_term(self._lease_manager.epoch)

    def _apply_quarantines(self) -> None:
        for driver in self._drivers.values():
            move = driver.move
            quarantine = self._quarantines.get(move.service)
            if quarantine and quarantine.move_started_ms == move.started_ms:
                driver.withdraw(quarantine.reason)

    def _may_act(self, driver: MoveDriver) -> bool:
        is_current = driver.epoch == self._lease_manager.epoch
        return is_current and self._lease_manager.may_decide(self._clock.monotonic())

    def _next_command(self, driver: MoveDriver) -> WriteMove | WriteSplit | None:
        move = driver.move
        capacity = self._capacity.capacity(move.service, move.version)
        return driver.next_command(self._clock.unix_ms(), capacity)

    async def _run_driver(self, driver: MoveDriver) -> None:
        written = True
        while written and self._may_act(driver):
            command = self._next_command(driver)
            if command is None:
                return
            if isinstance(command, WriteMove):
                written = await self._write_move(driver, command)
            else:
                written = await self._write_split(driver, command)

    async def _write_move(self, driver: MoveDriver, command: WriteMove) -> bool:
        service = command.move.service
        driver.on_move_sent(command.move)
        result = await self._store.put(
            MOVES_KIND, service, to_plain(command.move), if_revision=command.if_revision
        )
        if result.is_error():
            return False
        self._revisions[service] = result.ok.revision
        self._apply_record(driver, command.move, result.ok.revision)
        return True

    async def _write_split(self, driver: MoveDriver, command: WriteSplit) -> bool:
        for _ in range(SPLIT_ATTEMPTS):
            stored = await self._store.get(FLEET_KIND, FLEET_NAME)
            if stored.is_error():
                return False
            # This check has to come between the read and the write: a later
            # holder changes the revision after this daemon's term, so that a
            # write which is delayed after the check fails.
            if not self._may_act(driver) or self._next_command(driver) != command:
                return False
            fleet = _with_split(stored.ok.value, command)
            if fleet is None:
                driver.on_service_missing()
                return True
            result = await self._store.put(
                FLEET_KIND, FLEET_NAME, fleet, if_revision=stored.ok.revision
            )
            if result.is_ok():
                driver.on_split_written(self._clock.unix_ms(), result.ok.revision)
                return True
            if result.error.kind != StoreErrorKind.CONFLICT:
                return False
        return False

    def _apply_record(self, driver: MoveDriver, move: Move, revision: int) -> None:
        ended = driver.on_record(move, revision)
        if ended:
            self._report_end(ended)


def _with_split(fleet: Any, command: WriteSplit) -> Any | None:
    return replace_split(fleet, command.service, to_plain(command.split))
