"""Follow the objects of the store and maintain this daemon's record there."""

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any, Protocol

import trio
from expression import Result

from catkinhollow.codec import encode_message, to_plain, try_encode_message
from catkinhollow.configuration.backoff import Backoff
from catkinhollow.configuration.store import StoreClient
from catkinhollow.errors import DecodeError, StoreErrorKind
from catkinhollow.generated.relay import DaemonRecord, Document
from catkinhollow.generated.store import ObjectList, StoredObject
from catkinhollow.logs import get_logger
from catkinhollow.relay.documents import DocumentTable
from catkinhollow.relay.kinds import DAEMONS, KINDS
from catkinhollow.relay.relay_metrics import RelayMetrics

logger = get_logger(__name__)

# A longer wait needs fewer calls; a dead connection is detected by TCP
# keep-alive, not by the end of the wait.
WATCH_TIMEOUT_S = 25.0
# Pause after changes of daemon records, which come in bursts: without it the
# start of 90 daemons cost each of them one call per other daemon.
RECORDS_PAUSE_S = 0.3
# Records must be written again within 2 s after the store's return, which
# limits the delay between retries.
RETRY_BASE_S = 0.2
RETRY_MAX_S = 1.2

OnDocument = Callable[[Document, str], None]


class ObjectDecoder(Protocol):
    """Decode the value of a stored object to one of this package's types."""

    def __call__(self, stored: StoredObject) -> Result[Any, DecodeError]:
        """Return the typed value of an object that is not deleted."""


class StoreFollower:
    """Pass changes of the followed kinds on; maintain this daemon's record."""

    def __init__(
        self,
        *,
        store: StoreClient,
        decode: ObjectDecoder,
        table: DocumentTable,
        own_record: DaemonRecord,
        on_document: OnDocument,
        random: Random,
        metrics: RelayMetrics,
    ) -> None:
        self._store = store
        self._decode = decode
        self._table = table
        self._own_record = own_record
        self._on_document = on_document
        self._random = random
        self._metrics = metrics
        self._reachable: dict[str, bool] = {}

    @property
    def reachable(self) -> bool:
        """Return whether the store answered the last call of each kind."""
        return all(self._reachable.get(kind, False) for kind in KINDS)

    @property
    def lost(self) -> bool:
        """Return whether the last call of a kind has failed."""
        return not all(self._reachable.values())

    async def run(self) -> None:
        """Follow all kinds until cancelled."""
        async with trio.open_nursery() as nursery:
            for kind in KINDS:
                nursery.start_soon(self._follow, kind)

    async def _follow(self, kind: str) -> None:
        backoff = Backoff(base_s=RETRY_BASE_S, max_s=RETRY_MAX_S, random=self._random)
        revision: int | None = None
        # Objects that change faster than their versions arrive. A watch would
        # return each version, a listing returns the newest one only.
        fast_changing: dict[str, int] = {}
        while True:
            if revision is None or fast_changing:
                result = await self._store.list_objects(kind)
            else:
                result = await self._store.watch(
                    kind, after=revision, wait_s=WATCH_TIMEOUT_S
                )
            if result.is_error():
                self._record_failure(kind, result.error.reason)
                await trio.sleep(backoff.next_delay())
                continue
            backoff.reset()
            self._record_success(kind)
            fast_changing = self._find_fast_changing(result.ok, fast_changing)
            revision = self._apply_listing(kind, result.ok)
            if kind == DAEMONS:
                await self._ensure_own_record()
                if result.ok.objects:
                    await trio.sleep(RECORDS_PAUSE_S)

    def _find_fast_changing(
        self, listing: ObjectList, known: dict[str, int]
    ) -> dict[str, int]:
        """Return the objects that are worth a listing, with their revision."""
        newest = {stored.name: stored.revision for stored in listing.objects}
        if listing.complete:
            return {
                name: newest[name]
                for name, revision in known.items()
                if newest.get(name, 0) > revision
            }
        changes = Counter(stored.name for stored in listing.objects)
        return {name: newest[name] for name, count in changes.items() if count > 1}

    def _apply_listing(self, kind: str, listing: ObjectList) -> int:
        newest = {stored.name: stored for stored in listing.objects}
        for stored in listing.objects:
            # The revision of a deletion may be higher than that of a later
            # change in the same response.
            if not stored.deleted or stored is newest[stored.name]:
                self._apply_object(stored)
        if listing.complete:
            names = {f"{kind}/{stored.name}" for stored in listing.objects}
            deletions = self._table.find_deletions(kind, names, listing.revision)
            for document in deletions:
                self._on_document(document, "store")
        return listing.revision

    def _apply_object(self, stored: StoredObject) -> None:
        name = f"{stored.kind}/{stored.name}"
        body = b""
        if not stored.deleted:
            decoded = self._decode(stored).bind(try_encode_message)
            if decoded.is_error():
                logger.error(
                    "object refused",
                    name=name,
                    revision=stored.revision,
                    reason=decoded.error.reason,
                )
                return
            body = decoded.ok
        document = Document(
            name=name, revision=stored.revision, deleted=stored.deleted, body=body
        )
        self._on_document(document, "store")

    async def _ensure_own_record(self) -> None:
        """Write this daemon's record if it is missing or different."""
        known = self._table.get(f"{DAEMONS}/{self._own_record.name}")
        expected = encode_message(self._own_record)
        if known is not None and known.body == expected:
            return
        revision = known.revision if known else 0
        result = await self._store.put(
            DAEMONS,
            self._own_record.name,
            to_plain(self._own_record),
            if_revision=revision,
        )
        if result.is_ok():
            logger.info("daemon record written", revision=result.ok.revision)
        elif result.error.kind is not StoreErrorKind.CONFLICT:
            # The next listing or change of this kind triggers a retry.
            logger.warning("daemon record not written", reason=result.error.reason)
            self._record_failure(DAEMONS, result.error.reason)

    def _record_failure(self, kind: str, reason: str) -> None:
        self._metrics.store_failures.inc({"kind": kind})
        if self._reachable.get(kind, True):
            logger.warning("store lost", kind=kind, reason=reason)
        self._reachable[kind] = False

    def _record_success(self, kind: str) -> None:
        if not self._reachable.get(kind, False):
            logger.info("store answers", kind=kind)
        self._reachable[kind] = True
