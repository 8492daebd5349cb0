"""Tests of following the store over a slow link."""

from random import Random

import pytest
import trio
from attrs import evolve
from expression import Ok
from memory_store import MemoryStore
from relay_builders import make_configuration
from relay_fleet import decode

from catkinhollow.codec import decode_message, to_plain
from catkinhollow.generated.relay import DaemonRecord, RelayConfiguration
from catkinhollow.generated.store import ObjectList
from catkinhollow.relay.documents import DocumentTable
from catkinhollow.relay.relay_metrics import RelayMetrics
from catkinhollow.relay.store_follower import StoreFollower

OWN_RECORD = DaemonRecord(
    name="own", address="own:1", failure_domain="a", region="r", service="stock"
)


class SlowLinkStore(MemoryStore):
    """Return each object after the time that its bytes take on a link."""

    def __init__(self, transfer_s):
        super().__init__()
        self.transfer_s = transfer_s
        self.history = []
        self.changed = trio.Event()

    def write(self, kind, name, value):
        stored = super().write(kind, name, value)
        self._record(stored)
        return stored

    def remove(self, kind, name):
        stored = self.objects.pop((kind, name))
        self.revision += 1
        self._record(evolve(stored, revision=self.revision, deleted=True))

    def _record(self, stored):
        self.history.append(stored)
        self.changed.set()
        self.changed = trio.Event()

    async def list_objects(self, kind):
        listing = (await super().list_objects(kind)).ok
        await trio.sleep(len(listing.objects) * self.transfer_s)
        return Ok(evolve(listing, complete=True))

    async def watch(self, kind, *, after, wait_s):
        while True:
            found = [s for s in self.history if s.kind == kind and s.revision > after]
            if found:
                break
            await self.changed.wait()
        revision = self.revision
        # The platform gives a deletion the revision of the response.
        objects = [evolve(s, revision=revision) if s.deleted else s for s in found]
        await trio.sleep(len(objects) * self.transfer_s)
        return Ok(ObjectList(revision=revision, objects=objects))


class RefusingTable(DocumentTable):
    """Refuse every document."""

    def offer(self, document):
        return False


@pytest.fixture
def table():
    return DocumentTable()


def start_follower(nursery, store, table, clock):
    enforced = {}

    def on_document(document, source):
        if table.offer(document) and document.name == "configuration/main":
            configuration = decode_message(document.body, RelayConfiguration).ok
            enforced[configuration.version] = clock.current_time()

    follower = StoreFollower(
        store=store,
        decode=decode,
        table=table,
        own_record=OWN_RECORD,
        on_document=on_document,
        random=Random(1),
        metrics=RelayMetrics(),
    )
    nursery.start_soon(follower.run)
    return enforced


async def test_newest_version_is_in_force_in_time_after_a_burst_on_a_slow_link(
    nursery, table, autojump_clock
):
    """Guards against a daemon that reads all older versions first."""
    store = SlowLinkStore(transfer_s=0.32)
    store.write("configuration", "main", to_plain(make_configuration(1)))
    enforced = start_follower(nursery, store, table, autojump_clock)
    await trio.sleep(5.0)
    written = {}
    for version in range(2, 27):
        store.write("configuration", "main", to_plain(make_configuration(version)))
        written[version] = autojump_clock.current_time()
        await trio.sleep(0.06)
    await trio.sleep(20.0)
    for version, written_s in written.items():
        in_force_s = min(at_s for v, at_s in enforced.items() if v >= version)
        assert in_force_s - written_s <= 2.5, version


async def test_watch_continues_after_a_burst(nursery, table, autojump_clock):
    """Guards against a daemon that lists objects for ever."""
    store = SlowLinkStore(transfer_s=0.3)
    start_follower(nursery, store, table, autojump_clock)
    for version in range(1, 20):
        store.write("configuration", "main", to_plain(make_configuration(version)))
        await trio.sleep(0.1)
    await trio.sleep(10.0)
    calls = []
    list_objects = store.list_objects
    store.list_objects = lambda kind: calls.append(kind) or list_objects(kind)
    await trio.sleep(60.0)
    assert calls == []


async def test_object_written_again_after_its_deletion_is_known(
    nursery, table, autojump_clock
):
    """Guards against an evacuation that is ignored when it is repeated."""
    store = SlowLinkStore(transfer_s=0.0)
    store.write("evacuations", "a", {})
    start_follower(nursery, store, table, autojump_clock)
    await trio.sleep(1.0)
    assert table.get("evacuations/a") is not None
    store.remove("evacuations", "a")
    store.write("evacuations", "a", {})
    store.write("configuration", "main", to_plain(make_configuration(1)))
    await trio.sleep(1.0)
    assert table.get("evacuations/a") is not None


async def test_refused_version_is_listed_once(nursery, autojump_clock):
    """Guards against listings without end for a version that is not valid."""
    store = SlowLinkStore(transfer_s=0.1)
    start_follower(nursery, store, RefusingTable(), autojump_clock)
    await trio.sleep(1.0)
    for version in (5, 4):
        store.write("configuration", "main", to_plain(make_configuration(version)))
    await trio.sleep(2.0)
    calls = []
    list_objects = store.list_objects
    store.list_objects = lambda kind: calls.append(kind) or list_objects(kind)
    await trio.sleep(5.0)
    assert calls == []
