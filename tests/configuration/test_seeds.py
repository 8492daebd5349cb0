"""Tests of the seed lists in the store."""

from catkinhollow.configuration.seeds import MAX_SEEDS, SeedPublisher, read_seeds
from tests.memory_store import MemoryStore


def make_addresses(first, count):
    return [f"10.0.0.{number}:9000" for number in range(first, first + count)]


async def test_list_is_written_only_when_it_is_stale():
    """Guards against a write to the store on every restart of a daemon."""
    store = MemoryStore()
    publisher = SeedPublisher(store, "a")
    await publisher.publish(make_addresses(50, 20))
    await publisher.publish(make_addresses(0, 100))
    await publisher.publish(make_addresses(54, 20))
    assert store.writes == 1
    await publisher.publish(make_addresses(60, 20))
    assert store.writes == 2
    assert await read_seeds(store) == make_addresses(60, MAX_SEEDS)


async def test_only_member_of_a_domain_is_published():
    """Guards against a failure domain that commands do not find."""
    store = MemoryStore()
    await SeedPublisher(store, "a").publish(["10.0.0.1:9000"])
    assert await read_seeds(store) == ["10.0.0.1:9000"]


async def test_publisher_follows_a_list_that_another_daemon_wrote():
    """Guards against a publisher that conflicts on every write."""
    store = MemoryStore()
    first, second = SeedPublisher(store, "a"), SeedPublisher(store, "a")
    await first.publish(make_addresses(0, 8))
    await second.publish(make_addresses(10, 8))
    await first.publish(make_addresses(20, 8))
    await first.publish(make_addresses(20, 8))
    assert await read_seeds(store) == make_addresses(20, 8)


async def test_outage_writes_nothing_and_reads_nothing():
    """Guards against a store outage that raises in the publisher."""
    store = MemoryStore()
    store.down = True
    await SeedPublisher(store, "a").publish(make_addresses(0, 8))
    assert (store.writes, await read_seeds(store)) == (0, [])
