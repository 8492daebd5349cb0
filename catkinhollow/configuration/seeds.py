"""Publish and read the seed lists, which joining daemons contact first."""

from collections.abc import Iterable

from catkinhollow.codec import from_plain, to_plain
from catkinhollow.configuration.store import MEMBERS_KIND, StoreClient
from catkinhollow.errors import StoreErrorKind
from catkinhollow.generated.fleet import SeedList
from catkinhollow.logs import get_logger

logger = get_logger(__name__)

# A joining daemon needs one address that answers. With 16 the list stays
# usable through many minutes of restarts.
MAX_SEEDS = 16
# The list is rewritten only if fewer of its addresses are alive, so that not
# every restart causes a store write.
MIN_LIVE_SEEDS = 8


class SeedPublisher:
    """Keep the seed list of one failure domain up to date in the store."""

    def __init__(self, store: StoreClient, failure_domain: str) -> None:
        self._store = store
        self._failure_domain = failure_domain
        self._published: list[str] = []
        self._revision: int | None = None

    def is_stale(self, alive: Iterable[str]) -> bool:
        """Return whether too few of the published addresses are alive."""
        members = set(alive)
        live = sum(address in members for address in self._published)
        return live < min(MIN_LIVE_SEEDS, len(members))

    async def publish(self, alive: Iterable[str]) -> None:
        """Write the list if it is stale."""
        members = sorted(alive)
        if self._revision is None and not await self._load():
            return
        if not self.is_stale(members):
            return
        result = await self._store.put(
            MEMBERS_KIND,
            self._failure_domain,
            to_plain(SeedList(addresses=members[:MAX_SEEDS])),
            if_revision=self._revision or 0,
        )
        if result.is_ok():
            self._published = members[:MAX_SEEDS]
            self._revision = result.ok.revision
            return
        self._revision = None
        logger.warning("seed list not written", reason=result.error.reason)

    async def _load(self) -> bool:
        result = await self._store.get(MEMBERS_KIND, self._failure_domain)
        if result.is_error():
            if result.error.kind is StoreErrorKind.NOT_FOUND:
                self._published, self._revision = [], 0
                return True
            return False
        seeds = from_plain(result.ok.value, SeedList)
        self._published = seeds.ok.addresses if seeds.is_ok() else []
        self._revision = result.ok.revision
        return True


async def read_seeds(store: StoreClient) -> list[str]:
    """Return the addresses of all seed lists, none if the store fails."""
    result = await store.list_objects(MEMBERS_KIND)
    if result.is_error():
        return []
    addresses: list[str] = []
    for stored in result.ok.objects:
        seeds = from_plain(stored.value, SeedList)
        if seeds.is_ok():
            addresses += seeds.ok.addresses
    return addresses
