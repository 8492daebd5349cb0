"""Maintain this daemon's record in the store."""

from random import Random

import trio

from catkinhollow.codec import encode_message, to_plain
from catkinhollow.configuration.backoff import Backoff
from catkinhollow.configuration.store import StoreClient
from catkinhollow.errors import StoreErrorKind
from catkinhollow.generated.relay import DaemonRecord
from catkinhollow.logs import get_logger
from catkinhollow.relay.documents import DocumentTable
from catkinhollow.relay.kinds import DAEMONS
from catkinhollow.relay.store_follower import StoreFollower

logger = get_logger(__name__)

# Records must be written again within 2 s after the store's return.
RETRY_BASE_S = 0.2
RETRY_MAX_S = 1.2


class OwnRecordKeeper:
    """Write this daemon's record if it is missing or different."""

    def __init__(
        self,
        *,
        store: StoreClient,
        follower: StoreFollower,
        table: DocumentTable,
        record: DaemonRecord,
        random: Random,
    ) -> None:
        self._store = store
        self._follower = follower
        self._table = table
        self._record = record
        self._random = random
        self._changed = trio.Event()

    def record_changed(self) -> None:
        """Check the record again after another revision has arrived."""
        self._changed.set()

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

    async def _ensure_record(self) -> bool:
        """Write the record if needed; return whether it is in the store."""
        name = self._record.name
        known = self._table.get(f"{DAEMONS}/{name}")
        if known is not None and known.body == encode_message(self._record):
            return True
        revision = known.revision if known else 0
        result = await self._store.put(
            DAEMONS, name, to_plain(self._record), if_revision=revision
        )
        if result.is_ok():
            logger.info("daemon record written", revision=result.ok.revision)
            self._follower.apply_object(result.ok)
            return True
        if result.error.kind is StoreErrorKind.CONFLICT:
            return await self._read_record()
        logger.warning("daemon record not written", reason=result.error.reason)
        return False

    async def _read_record(self) -> bool:
        """Read the record that another process or a lost write has left."""
        result = await self._store.get(DAEMONS, self._record.name)
        if result.is_error():
            logger.warning("daemon record not read", reason=result.error.reason)
            return False
        self._follower.apply_object(result.ok)
        return False
