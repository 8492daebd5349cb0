"""Maintain this daemon's record in the store."""

from collections.abc import Callable, Iterable
from random import Random
from typing import TypeAlias

import trio
from attrs import evolve

from catkinhollow.codec import decode_message, encode_message, to_plain
from catkinhollow.configuration.backoff import Backoff
from catkinhollow.configuration.store import StoreClient
from catkinhollow.errors import StoreErrorKind
from catkinhollow.generated.relay import DaemonRecord, Departure
from catkinhollow.logs import get_logger
from catkinhollow.relay.admission.gate import MAX_DEPARTURES
from catkinhollow.relay.documents.document_table import DocumentTable
from catkinhollow.relay.documents.kinds import DAEMONS
from catkinhollow.relay.documents.store_follower import StoreFollower

logger = get_logger(__name__)

# Records must be written again within 2 s after the store's return.
RETRY_BASE_S = 0.2
RETRY_MAX_S = 1.2
# A target waits 1 s for the acknowledgement of its departure.
STORE_DEPARTURE_S = 0.8

OnHistory: TypeAlias = Callable[[Iterable[Departure]], None]
"""Apply departures that earlier processes of this daemon have stored."""


class OwnRecordKeeper:
    """Write this daemon's record if it is missing or different.

    The record also holds the latest departures of targets at the address. A
    restarted daemon reads it before it changes it.
    """

    def __init__(
        self,
        *,
        store: StoreClient,
        follower: StoreFollower,
        table: DocumentTable,
        record: DaemonRecord,
        on_history: OnHistory,
        random: Random,
    ) -> None:
        self._store = store
        self._follower = follower
        self._table = table
        self._record = record
        self._on_history = on_history
        self._random = random
        self._changed = trio.Event()
        self._stored = trio.Event()
        self._history_known = False
        # Revision of the record when it was last read from the store itself.
        self._read_revision = 0

    def record_changed(self) -> None:
        """Check the record again after another revision has arrived."""
        self._changed.set()

    async def record_departure(self, departure: Departure) -> bool:
        """Store a departure; return whether it was stored in time."""
        if departure not in self._record.departures:
            self._set_departures([*self._record.departures, departure])
            self._changed.set()
        with trio.move_on_after(STORE_DEPARTURE_S):
            await self._stored.wait()
        return self._stored.is_set()

    async def run(self) -> None:
        """Keep the record in the store until cancelled."""
        backoff = Backoff(base_s=RETRY_BASE_S, max_s=RETRY_MAX_S, random=self._random)
        await self._follower.daemons_listed.wait()
        while True:
            self._changed = trio.Event()
            if await self._ensure_record():
                backoff.reset()
                await self._changed.wait()
            else:
                await trio.sleep(backoff.next_delay())

    def _set_departures(self, departures: list[Departure]) -> None:
        self._record = evolve(self._record, departures=departures[-MAX_DEPARTURES:])
        self._stored = trio.Event()

    async def _ensure_record(self) -> bool:
        """Write the record if needed; return whether it is in the store."""
        name = self._record.name
        known = self._table.get(f"{DAEMONS}/{name}")
        if known is not None and not self._history_known:
            # A listing may be older than the last departure.
            if not await self._read_record():
                return False
            known = self._table.get(f"{DAEMONS}/{name}")
        record = self._record
        if known is not None and known.body == encode_message(record):
            self._stored.set()
            return True
        # The table lacks a record that cannot be decoded.
        revision = max(known.revision if known else 0, self._read_revision)
        result = await self._store.put(
            DAEMONS, name, to_plain(record), if_revision=revision
        )
        if result.is_ok():
            logger.info("daemon record written", revision=result.ok.revision)
            if record is self._record:
                self._stored.set()
            self._set_history([])
            self._follower.apply_object(result.ok)
            return True
        logger.warning("daemon record not written", reason=result.error.reason)
        if result.error.kind in (StoreErrorKind.CONFLICT, StoreErrorKind.NOT_FOUND):
            await self._read_record()
        return False

    async def _read_record(self) -> bool:
        """Read the record that another process or a lost write has left."""
        result = await self._store.get(DAEMONS, self._record.name)
        if result.is_error():
            logger.warning("daemon record not read", reason=result.error.reason)
            if result.error.kind is StoreErrorKind.NOT_FOUND:
                self._read_revision = 0
                self._set_history([])
            return False
        self._read_revision = result.ok.revision
        self._follower.apply_object(result.ok)
        document = self._table.get(f"{DAEMONS}/{self._record.name}")
        if document is not None:
            stored = decode_message(document.body, DaemonRecord)
            self._set_history(stored.map(lambda it: it.departures).default_value([]))
        return True

    def _set_history(self, departures: list[Departure]) -> None:
        """Take over the departures that earlier processes have stored."""
        missing = [each for each in departures if each not in self._record.departures]
        if missing:
            self._set_departures([*missing, *self._record.departures])
            logger.info(
                "departures restored", lifetimes=[each.lifetime for each in missing]
            )
        if missing or not self._history_known:
            self._history_known = True
            self._on_history(missing)
