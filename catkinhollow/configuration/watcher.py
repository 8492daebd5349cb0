"""Watch the store for new configuration versions."""

from collections.abc import Callable
from random import Random

import trio
from expression import Result

from catkinhollow.codec import from_plain
from catkinhollow.configuration.backoff import Backoff
from catkinhollow.configuration.store import FLEET_KIND, FLEET_NAME, StoreClient
from catkinhollow.errors import (
    RejectionKind,
    SnapshotRejected,
    StoreError,
    StoreErrorKind,
)
from catkinhollow.generated.fleet import Fleet, Snapshot
from catkinhollow.generated.settings import StoreSettings
from catkinhollow.generated.store import ObjectList, StoredObject
from catkinhollow.logs import get_logger

logger = get_logger(__name__)

OfferSnapshot = Callable[[Snapshot], Result[Snapshot, SnapshotRejected]]


class StoreWatcher:
    """Watch the fleet configuration and offer new versions while elected.

    on_answer receives the revision of each version from the store that is
    accepted or stale. read_once passes 0 to it if there is no configuration.
    """

    def __init__(
        self,
        store: StoreClient,
        settings: StoreSettings,
        offer: OfferSnapshot,
        on_answer: Callable[[int], None],
        random: Random,
    ) -> None:
        self._store = store
        self._settings = settings
        self._offer = offer
        self._on_answer = on_answer
        self._elected = False
        self._election_changed = trio.Event()
        self._watch_scope: trio.CancelScope | None = None
        self._backoff = Backoff(
            base_s=settings.retry_base_ms / 1000,
            max_s=settings.retry_max_ms / 1000,
            random=random,
        )

    @property
    def elected(self) -> bool:
        """Return whether this daemon is elected to watch the store."""
        return self._elected

    def set_elected(self, elected: bool) -> None:
        """Start or stop watching."""
        if elected == self._elected:
            return
        self._elected = elected
        self._election_changed.set()
        if not elected and self._watch_scope is not None:
            self._watch_scope.cancel()

    async def run(self) -> None:
        """Watch while elected, until cancelled."""
        while True:
            if not self._elected:
                await self._wait_for_election()
            with trio.CancelScope() as self._watch_scope:
                await self._watch()
            self._watch_scope = None

    async def read_once(self) -> bool:
        """Read the newest version; return whether the store answered."""
        result = await self._store.get(FLEET_KIND, FLEET_NAME)
        if result.is_ok():
            self._offer_stored(result.ok)
            return True
        if result.error.kind is StoreErrorKind.NOT_FOUND:
            self._on_answer(0)
            return True
        logger.warning("store read failed", reason=result.error.reason)
        return False

    async def _wait_for_election(self) -> None:
        self._election_changed = trio.Event()
        if not self._elected:
            await self._election_changed.wait()

    async def _watch(self) -> None:
        after = 0
        while self._elected:
            result = await self._store.watch(
                FLEET_KIND, after=after, wait_s=self._settings.watch_s
            )
            if result.is_error():
                await self._wait_after_error(result.error)
                continue
            self._backoff.reset()
            after = self._offer_all(result.ok)

    def _offer_all(self, listing: ObjectList) -> int:
        for stored in listing.objects:
            if stored.name == FLEET_NAME and not stored.deleted:
                self._offer_stored(stored)
        return listing.revision

    def _offer_stored(self, stored: StoredObject) -> None:
        decoded = from_plain(stored.value, Fleet)
        if decoded.is_error():
            logger.error(
                "configuration refused",
                revision=stored.revision,
                reason=decoded.error.reason,
            )
            return
        offered = self._offer(Snapshot(revision=stored.revision, fleet=decoded.ok))
        # An invalid version is not reported as an answer, so that joining
        # daemons serve the last valid version instead of waiting for the
        # invalid one.
        if offered.is_ok() or offered.error.kind is RejectionKind.STALE:
            self._on_answer(stored.revision)

    async def _wait_after_error(self, error: StoreError) -> None:
        logger.warning("store watch failed", reason=error.reason)
        await trio.sleep(self._backoff.next_delay())
