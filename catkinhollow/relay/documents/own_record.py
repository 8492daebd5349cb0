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
from catkinhollow.generated.relay import DaemonRecord, Departure, Document
from catkinhollow.logs import get_logger
from catkinhollow.relay.admission.gate import MAX_DEPARTURES
from catkinhollow.relay.documents.document_table import DocumentTable, is_unstored
from catkinhollow.relay.documents.kinds import DAEMONS
from catkinhollow.relay.documents.store_follower import StoreFollower
from catkinhollow.relay.documents.store_revision import era_of

logger = get_logger(__name__)

# Records must be written again within 2 s after the store's return.
RETRY_BASE_S = 0.2
RETRY_MAX_S = 1.2
# Daemons whose records a store lacks that has come back from a copy write them
# between these times: 75 writes per second in a fleet of 300. Until the first
# one they learn which records the store has.
MIN_ERA_DELAY_S = 0.5
MAX_ERA_DELAY_S = 4.5
# A target waits 1 s for the acknowledgement of its departure.
STORE_DEPARTURE_S = 0.8

OnHistory: TypeAlias = Callable[[Iterable[Departure]], None]
"""Apply departures that earlier processes of this daemon have stored."""


class OwnRecordKeeper:
    """Write this daemon's record if it is missing or different.

    It is missing or different as well when the store has come back from a copy
    that lacks the last write.

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
        # Era of the store in which the record was last checked.
        self._era = 0

    @property
    def era(self) -> int:
        """Return the era of the store in which the record was last checked."""
        return self._era

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
            await self._spread_write()
            if await self._ensure_record():
                backoff.reset()
                await self._changed.wait()
            else:
                await trio.sleep(backoff.next_delay())

    async def _spread_write(self) -> None:
        """Wait in a new era, which every daemon learns of at the same time.

        A write that a target waits for is not delayed.
        """
        if self._table.era <= self._era:
            return
        self._era = self._table.era
        delay_s = self._random.uniform(MIN_ERA_DELAY_S, MAX_ERA_DELAY_S)
        with trio.move_on_after(delay_s):
            while self._stored.is_set():
                await self._changed.wait()
                self._changed = trio.Event()

    def _find_revision(self, known: Document | None) -> int:
        """Return the revision of the record in the store, 0 if it lacks it."""
        if known is None or era_of(known.revision) < self._table.era:
            return 0
        return 0 if is_unstored(known) else known.revision

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
        revision = self._find_revision(known)
        is_shown = known is not None and revision > 0 and known.kept is None
        if known is not None and is_shown and known.body == encode_message(record):
            self._stored.set()
            return True
        # The table lacks a record that cannot be decoded.
        revision = max(revision, self._read_revision)
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
