"""Define the interface of the platform's object store."""

from typing import Any, Protocol

from expression import Result

from catkinhollow.errors import StoreError
from catkinhollow.generated.store import ObjectList, StoredObject

FLEET_KIND = "config"
FLEET_NAME = "fleet"
MOVES_KIND = "moves"
LEASES_KIND = "leases"
CONTROLLER_LEASE = "controller"
MEMBERS_KIND = "members"


class StoreClient(Protocol):
    """Read, write and watch objects; errors are returned, not raised."""

    async def get(self, kind: str, name: str) -> Result[StoredObject, StoreError]:
        """Return one object."""

    async def list_objects(self, kind: str) -> Result[ObjectList, StoreError]:
        """Return all objects of a kind."""

    async def put(
        self, kind: str, name: str, value: Any, *, if_revision: int
    ) -> Result[StoredObject, StoreError]:
        """Write an object if it still has the given revision, 0 if new."""

    async def delete(
        self, kind: str, name: str, *, if_revision: int
    ) -> Result[StoredObject, StoreError]:
        """Delete an object if it still has the given revision."""

    async def watch(
        self, kind: str, *, after: int, wait_s: float
    ) -> Result[ObjectList, StoreError]:
        """Return the objects changed after a revision; wait for the first."""
