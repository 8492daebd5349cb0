"""Handle what the target says about itself.

A departure is acknowledged once it is in the store. The daemons may all be
killed at any moment afterwards, and an earlier announcement that arrives late
must not bring the target into use again.
"""

from enum import Enum, auto
from typing import Protocol

from catkinhollow.generated.relay import Departure
from catkinhollow.logs import get_logger
from catkinhollow.relay.admission.gate_jobs import Announcement

logger = get_logger(__name__)


class TargetGate(Protocol):
    """Open and close the gate of the target."""

    def announce(self, announcement: Announcement) -> bool:
        """Handle an announcement; return False if it is outdated."""

    def depart(self, lifetime: str, started_ms: int | None) -> Departure | None:
        """Handle the departure of the target; return what to remember."""


class DepartureStore(Protocol):
    """Remember departures over restarts of all daemons."""

    async def record_departure(self, departure: Departure) -> bool:
        """Store a departure; return whether it was stored in time."""


class Acknowledgement(Enum):
    """Classify the reply to a message of the target."""

    ACCEPTED = auto()
    OUTDATED = auto()
    """A newer message is known; the target need not repeat this one."""
    NOT_STORED = auto()
    """The gate is closed, but a restart could forget why."""


class TargetListener:
    """Pass messages of the target to its gate and remember departures."""

    def __init__(self, gate: TargetGate, store: DepartureStore) -> None:
        self._gate = gate
        self._store = store

    async def announce(self, announcement: Announcement) -> Acknowledgement:
        """Handle an announcement of the target."""
        if not self._gate.announce(announcement):
            return Acknowledgement.OUTDATED
        if not announcement.draining:
            return Acknowledgement.ACCEPTED
        departure = Departure(
            lifetime=announcement.lifetime, started_ms=announcement.started_ms
        )
        return await self._store_departure(departure)

    async def depart(self, lifetime: str, started_ms: int | None) -> Acknowledgement:
        """Handle the departure of a target, which is about to end.

        started_ms is the Unix time of the target's start, if it is known.
        """
        departure = self._gate.depart(lifetime, started_ms)
        logger.info("target departs", lifetime=lifetime, outdated=departure is None)
        if departure is None:
            return Acknowledgement.OUTDATED
        return await self._store_departure(departure)

    async def _store_departure(self, departure: Departure) -> Acknowledgement:
        if await self._store.record_departure(departure):
            return Acknowledgement.ACCEPTED
        logger.warning("departure not acknowledged", lifetime=departure.lifetime)
        return Acknowledgement.NOT_STORED
