"""Tests of the store watcher in virtual time."""

from random import Random

import trio
from expression import Error, Ok

from catkinhollow.codec import to_plain
from catkinhollow.configuration.snapshot import SnapshotHolder
from catkinhollow.configuration.watcher import StoreWatcher
from catkinhollow.errors import StoreError, StoreErrorKind
from catkinhollow.generated.fleet import Fleet, Route, Service
from catkinhollow.generated.settings import Address, StoreSettings
from catkinhollow.generated.store import ObjectList, StoredObject

VALID = Fleet(services=[Service(name="orders")])
INVALID = Fleet(routes=[Route(name="r", service="missing", path_prefix="/")])
SETTINGS = StoreSettings(address=Address(host="127.0.0.1", port=1))


class ScriptedStore:
    """Answer each watch with the next scripted result, then block."""

    def __init__(self, results):
        self.results = list(results)
        self.watched_after = []

    async def watch(self, kind, *, after, wait_s):
        self.watched_after.append(after)
        if not self.results:
            await trio.sleep_forever()
        return self.results.pop(0)


def make_listing(revision, fleet):
    value = to_plain(fleet)
    stored = StoredObject(kind="config", name="fleet", revision=revision, value=value)
    return Ok(ObjectList(revision=revision, objects=[stored]))


async def run_watcher(store, nursery):
    holder, answers = SnapshotHolder(), []
    watcher = StoreWatcher(store, SETTINGS, holder.offer, answers.append, Random(1))
    watcher.set_elected(True)
    nursery.start_soon(watcher.run)
    await trio.sleep(60)
    return holder, answers, watcher


async def test_stale_listing_does_not_replace_a_newer_one(autojump_clock, nursery):
    """Guards against a store whose listing goes back to an older revision."""
    store = ScriptedStore(
        [make_listing(7, VALID), make_listing(5, VALID), make_listing(9, VALID)]
    )
    holder, answers, _ = await run_watcher(store, nursery)
    assert holder.revision == 9
    assert answers == [7, 5, 9]
    assert store.watched_after == [0, 7, 5, 9]


async def test_invalid_version_is_not_a_floor(autojump_clock, nursery):
    """Guards against joining daemons that wait for an invalid version."""
    store = ScriptedStore([make_listing(7, VALID), make_listing(8, INVALID)])
    holder, answers, _ = await run_watcher(store, nursery)
    assert holder.revision == 7
    assert answers == [7]


async def test_outage_is_survived(autojump_clock, nursery):
    """Guards against a watch that stops after the first failure."""
    outage = Error(StoreError(kind=StoreErrorKind.UNAVAILABLE, reason="down"))
    store = ScriptedStore([outage] * 4 + [make_listing(3, VALID)])
    holder, _, _ = await run_watcher(store, nursery)
    assert holder.revision == 3


async def test_loser_of_an_election_stops_watching(autojump_clock, nursery):
    """Guards against former watchers that keep loading the store."""
    store = ScriptedStore([])
    _, _, watcher = await run_watcher(store, nursery)
    watcher.set_elected(False)
    await trio.sleep(60)
    store.results = [make_listing(3, VALID)]
    assert store.watched_after == [0]
    watcher.set_elected(True)
    await trio.sleep(60)
    assert store.watched_after == [0, 0, 3]
