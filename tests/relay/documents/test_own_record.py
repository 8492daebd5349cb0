"""Tests of the record that a daemon keeps in the store."""

from random import Random

import pytest
import trio
from expression import Error
from memory_store import MemoryStore
from relay_builders import make_announcement

from catkinhollow.codec import encode_message, from_plain
from catkinhollow.errors import StoreError, StoreErrorKind
from catkinhollow.generated.relay import (
    DaemonRecord,
    Departure,
    Document,
    GateState,
)
from catkinhollow.relay.admission.gate import MAX_DEPARTURES, Gate
from catkinhollow.relay.documents.document_table import DocumentTable
from catkinhollow.relay.documents.own_record import STORE_DEPARTURE_S, OwnRecordKeeper

RECORD = DaemonRecord(
    name="one", address="1:1", failure_domain="a", region="r", service="stock"
)
DEPARTURE = Departure(lifetime="t1", started_ms=1000)


class Store(MemoryStore):
    """Refuse writes while the store is read-only."""

    def __init__(self):
        super().__init__()
        self.read_only = False

    async def put(self, kind, name, value, *, if_revision):
        if self.read_only:
            return Error(StoreError(kind=StoreErrorKind.UNAVAILABLE, reason="down"))
        if if_revision and (kind, name) not in self.objects:
            return Error(StoreError(kind=StoreErrorKind.NOT_FOUND, reason="gone"))
        return await super().put(kind, name, value, if_revision=if_revision)


class Follower:
    """Pass stored records to the table, odd ones excepted."""

    def __init__(self, table):
        self.table = table
        self.daemons_listed = trio.Event()

    def apply_object(self, stored):
        record = from_plain(stored.value, DaemonRecord)
        if record.is_error():
            return
        self.table.offer(
            Document(
                name=f"{stored.kind}/{stored.name}",
                revision=stored.revision,
                body=encode_message(record.ok),
            )
        )


class Process:
    """Run the keeper and the gate of one process of the daemon."""

    def __init__(self, store, nursery, *, listed=True):
        self.gate = Gate(awaits_history=True)
        self.table = DocumentTable()
        self.follower = Follower(self.table)
        self.keeper = OwnRecordKeeper(
            store=store,
            follower=self.follower,
            table=self.table,
            record=RECORD,
            on_history=self.set_history,
            random=Random(1),
        )
        stored = store.objects.get(("daemons", "one"))
        if listed and stored is not None:
            self.follower.apply_object(stored)
        self.follower.daemons_listed.set()
        nursery.start_soon(self.keeper.run)

    def set_history(self, departures):
        for departure in departures:
            self.gate.depart(departure.lifetime, departure.started_ms)
        self.gate.awaits_history = False

    def announce(self, lifetime="t1", started_ms=1000, sequence=1):
        announcement = make_announcement(
            lifetime, started_ms=started_ms, sequence=sequence
        )
        self.gate.announce(announcement, 0.0)
        return self.gate.state(0.0)


@pytest.fixture
def store():
    return Store()


@pytest.mark.parametrize("listed", [True, False])
async def test_departure_survives_the_end_of_all_daemons(
    store, nursery, autojump_clock, listed
):
    """Guards against a departed target that a late announcement brings back.

    No peer remembers the departure. The cached listing that a daemon reads at
    its start may be older than the record.
    """
    first = Process(store, nursery)
    assert await first.keeper.record_departure(DEPARTURE)
    second = Process(store, nursery, listed=listed)
    assert second.announce() is GateState.UNKNOWN
    await trio.sleep(1.0)
    assert second.announce(sequence=2) is GateState.DRAINING
    assert second.announce("t2", started_ms=2000) is GateState.SERVING


async def test_restarted_daemon_keeps_the_departures_in_the_store(
    store, nursery, autojump_clock
):
    """Guards against a restart that erases the departures it should read."""
    first = Process(store, nursery)
    assert await first.keeper.record_departure(DEPARTURE)
    second = Process(store, nursery, listed=False)
    await trio.sleep(1.0)
    later = Departure(lifetime="t2", started_ms=2000)
    assert await second.keeper.record_departure(later)
    stored = from_plain(store.objects["daemons", "one"].value, DaemonRecord).ok
    assert stored.departures == [DEPARTURE, later]


async def test_departure_counts_as_stored_after_the_write_only(
    store, nursery, autojump_clock
):
    """Guards against an acknowledgement that the store knows nothing of."""
    process = Process(store, nursery)
    await trio.sleep(1.0)
    store.read_only = True
    started_s = trio.current_time()
    assert not await process.keeper.record_departure(DEPARTURE)
    assert trio.current_time() - started_s == pytest.approx(STORE_DEPARTURE_S)
    store.read_only = False
    await trio.sleep(2.0)
    assert await process.keeper.record_departure(DEPARTURE)


async def test_deleted_record_is_written_again(store, nursery, autojump_clock):
    """Guards against a daemon that insists on a revision that is gone."""
    process = Process(store, nursery)
    await trio.sleep(1.0)
    assert await process.keeper.record_departure(DEPARTURE)
    second = Process(store, nursery)
    await trio.sleep(1.0)
    revision = store.objects.pop(("daemons", "one")).revision
    second.table.offer(
        Document(name="daemons/one", revision=revision + 1, deleted=True, body=b"")
    )
    second.keeper.record_changed()
    await trio.sleep(5.0)
    stored = from_plain(store.objects["daemons", "one"].value, DaemonRecord).ok
    assert stored.departures == [DEPARTURE]


async def test_odd_record_of_another_writer_is_replaced(store, nursery, autojump_clock):
    """Guards against departures that an odd record keeps from the store."""
    store.write("daemons", "one", {"name": 7})
    process = Process(store, nursery)
    await trio.sleep(1.0)
    assert process.announce() is GateState.SERVING
    assert await process.keeper.record_departure(DEPARTURE)


async def test_repeated_departure_is_written_once(store, nursery, autojump_clock):
    """Guards against a write of the store with each repeated announcement."""
    process = Process(store, nursery)
    await trio.sleep(1.0)
    for _ in range(3):
        assert await process.keeper.record_departure(DEPARTURE)
    assert store.writes == 2


async def test_record_keeps_the_latest_departures_only(store, nursery, autojump_clock):
    """Guards against a record that grows with each target at its address."""
    process = Process(store, nursery)
    for number in range(2 * MAX_DEPARTURES):
        departure = Departure(lifetime=f"t{number}", started_ms=number)
        assert await process.keeper.record_departure(departure)
    stored = from_plain(store.objects["daemons", "one"].value, DaemonRecord).ok
    assert [each.lifetime for each in stored.departures] == ["t4", "t5", "t6", "t7"]
