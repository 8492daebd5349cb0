"""Read the configuration from the store at startup if no peer provides it."""

from random import Random

import trio

from catkinhollow.configuration.backoff import Backoff
from catkinhollow.configuration.seeds import read_seeds
from catkinhollow.configuration.store import StoreClient
from catkinhollow.configuration.watcher import StoreWatcher
from catkinhollow.mesh.mesh_service import MeshService

# Peers usually answer within this time. Waiting for them keeps load off the
# store when many daemons restart at once.
PEER_GRACE_S = 1.0
RETRY_BASE_S = 1.0
RETRY_MAX_S = 10.0


class Bootstrap:
    """Read seeds and the configuration from the store until ready."""

    def __init__(
        self,
        store: StoreClient,
        watcher: StoreWatcher,
        mesh: MeshService,
        random: Random,
    ) -> None:
        self._store = store
        self._watcher = watcher
        self._mesh = mesh
        self._backoff = Backoff(base_s=RETRY_BASE_S, max_s=RETRY_MAX_S, random=random)

    async def run(self) -> None:
        """Poll the store with backoff; return when the daemon is ready."""
        await trio.sleep(PEER_GRACE_S)
        while not self._mesh.ready:
            self._mesh.add_seeds(await read_seeds(self._store))
            await self._watcher.read_once()
            await trio.sleep(self._backoff.next_delay())
