"""Provide an in-memory store with the interface of the store client."""

from collections.abc import Callable

from expression import Error, Ok

from catkinhollow.errors import StoreError, StoreErrorKind
from catkinhollow.generated.store import ObjectList, StoredObject
from catkinhollow.relay.documents.probe_plan import ProbeOutcome


class MemoryStore:
    """Keep objects with a store-wide revision and count writes.

    down makes every read fail. Each put first calls and removes the first
    function in before_put.
    """

    def __init__(self):
        self.objects = {}
        self.revision = 0
        self.writes = 0
        self.down = False
        self.before_put: list[Callable[[], None]] = []

    def write(self, kind, name, value):
        self.revision += 1
        self.writes += 1
        stored = StoredObject(kind=kind, name=name, revision=self.revision, value=value)
        self.objects[kind, name] = stored
        return stored

    async def probe(self, kind, *, fresh):
        return ProbeOutcome.REFUSED if self.down else ProbeOutcome.ANSWERED

    async def renew_connections(self):
        return 0

    async def get(self, kind, name):
        if self.down:
            return _error(StoreErrorKind.UNAVAILABLE)
        if (kind, name) not in self.objects:
            return _error(StoreErrorKind.NOT_FOUND)
        return Ok(self.objects[kind, name])

    async def list_objects(self, kind):
        if self.down:
            return _error(StoreErrorKind.UNAVAILABLE)
        found = [item for key, item in self.objects.items() if key[0] == kind]
        return Ok(ObjectList(revision=self.revision, objects=found))

    async def put(self, kind, name, value, *, if_revision):
        if self.before_put:
            self.before_put.pop(0)()
        stored = self.objects.get((kind, name))
        if (stored.revision if stored else 0) != if_revision:
            return _error(StoreErrorKind.CONFLICT)
        return Ok(self.write(kind, name, value))


def _error(kind):
    return Error(StoreError(kind=kind, reason="stand-in"))
