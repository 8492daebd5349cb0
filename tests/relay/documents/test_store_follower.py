"""Tests of following the store over a slow link."""

from random import Random

import pytest
import trio
from attrs import evolve
from expression import Error, Ok
from memory_store import MemoryStore
from relay_builders import make_configuration
from relay_fleet import decode

from catkinhollow.clock import TrioClock
from catkinhollow.codec import decode_message, encode_message, to_plain
from catkinhollow.errors import StoreError, StoreErrorKind
from catkinhollow.generated.relay import DaemonRecord, Document, RelayConfiguration
from catkinhollow.generated.store import ObjectList
from catkinhollow.relay.documents.document_table import DocumentTable
from catkinhollow.relay.documents.follower_election import (
    MAX_STORE_AGE_S,
    FollowerElection,
)
from catkinhollow.relay.documents.probe_plan import PROBE_INTERVAL_S, ProbeOutcome
from catkinhollow.relay.documents.store_follower import DEAD_WATCH_S, StoreFollower
from catkinhollow.relay.placement.peers import PeerDirectory
from catkinhollow.relay.relay_metrics import RelayMetrics

RECORD = DaemonRecord(
    name="other", address="other:1", failure_domain="a", region="r", service="stock"
)


class Role:
    """Let the test choose whether the store is followed, and by whom."""

    def __init__(self, follows=True, followed=False):
        self.follows = follows
        self.followed = followed

    def should_follow(self, now_s):
        return self.follows

    def is_reached_since(self, time_s):
        return self.followed and time_s < trio.current_time()


class SlowLinkStore(MemoryStore):
    """Return each object after the time that its bytes take on a link."""

    def __init__(self, transfer_s):
        super().__init__()
        self.transfer_s = transfer_s
        self.history = []
        self.changed = trio.Event()
        self.calls = []

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

    async def list_cached(self, kind):
        self.calls.append(f"cached {kind}")
        return await super().list_objects(kind)

    async def list_objects(self, kind):
        self.calls.append(f"list {kind}")
        if self.down:
            return await super().list_objects(kind)
        listing = (await super().list_objects(kind)).ok
        await trio.sleep(len(listing.objects) * self.transfer_s)
        return Ok(evolve(listing, complete=True))

    async def watch(self, kind, *, after, wait_s):
        self.calls.append(f"watch {kind}")
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


class CuttingStore(SlowLinkStore):
    """Cut all waiting watches when it drops its history."""

    def __init__(self):
        super().__init__(transfer_s=0.0)
        self.cut = trio.Event()

    async def watch(self, kind, *, after, wait_s):
        result = Error(StoreError(kind=StoreErrorKind.UNAVAILABLE, reason="cut"))

        async def wait_for_cut():
            await self.cut.wait()
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait_for_cut)
            result = await super().watch(kind, after=after, wait_s=wait_s)
            nursery.cancel_scope.cancel()
        return result

    def drop_history(self):
        self.cut.set()
        self.cut = trio.Event()


class RefusingTable(DocumentTable):
    """Refuse every document."""

    def offer(self, document):
        return False


@pytest.fixture
def table():
    return DocumentTable()


def start_follower(nursery, store, table, clock, role=None):
    enforced = {}

    def on_document(document, source):
        if table.offer(document) and document.name == "configuration/main":
            configuration = decode_message(document.body, RelayConfiguration).ok
            enforced[configuration.version] = clock.current_time()
            follower.set_configured()

    store.on_document = on_document
    store.expect = lambda kind, revision: follower.expect(kind, revision)
    store.reached_s = lambda: follower.reached_s
    store.is_followed = lambda: follower.following
    follower = StoreFollower(
        store=store,
        decode=decode,
        table=table,
        role=role or Role(),
        on_document=on_document,
        clock=TrioClock(),
        random=Random(1),
        metrics=RelayMetrics(),
    )
    nursery.start_soon(follower.run)
    return enforced


async def test_daemon_that_does_not_follow_reads_the_records_once(
    nursery, table, autojump_clock
):
    """Guards against calls of the store that grow with the fleet."""
    store = SlowLinkStore(transfer_s=0.0)
    store.write("daemons", "other", to_plain(RECORD))
    role = Role(follows=False, followed=True)
    start_follower(nursery, store, table, autojump_clock, role)
    await trio.sleep(0.5)
    assert table.get("daemons/other") is not None
    # A peer sends the configuration.
    configuration = encode_message(make_configuration(1))
    store.on_document(
        Document(name="configuration/main", revision=5, body=configuration), "peer"
    )
    await trio.sleep(60.0)
    assert store.calls == ["cached daemons"]


async def test_daemon_reads_the_store_if_no_peer_has_a_configuration(
    nursery, table, autojump_clock
):
    """Guards against a fleet in which every daemon waits for the others."""
    store = SlowLinkStore(transfer_s=0.0)
    store.write("configuration", "main", to_plain(make_configuration(1)))
    role = Role(follows=False, followed=True)
    enforced = start_follower(nursery, store, table, autojump_clock, role)
    await trio.sleep(2.0)
    assert 1 in enforced
    calls = len(store.calls)
    await trio.sleep(60.0)
    assert len(store.calls) == calls


async def test_follower_that_falls_silent_is_replaced(nursery, table, autojump_clock):
    """Guards against changes that nobody passes on."""
    store = SlowLinkStore(transfer_s=0.0)
    store.write("configuration", "main", to_plain(make_configuration(1)))
    role = Role(follows=False, followed=True)
    enforced = start_follower(nursery, store, table, autojump_clock, role)
    await trio.sleep(5.0)
    store.write("configuration", "main", to_plain(make_configuration(2)))
    await trio.sleep(5.0)
    assert 2 not in enforced
    role.follows = True
    await trio.sleep(1.0)
    assert 2 in enforced


async def test_follower_that_is_turned_away_calls_rarely_while_others_follow(
    nursery, table, autojump_clock
):
    """Guards against a price for each refused call of a third of the fleet."""
    store = SlowLinkStore(transfer_s=0.0)
    store.write("configuration", "main", to_plain(make_configuration(1)))
    store.down = True
    role = Role(follows=True, followed=True)
    start_follower(nursery, store, table, autojump_clock, role)
    await trio.sleep(30.0)
    assert len(store.calls) <= 4 * 30.0 / 2.0 + 4


async def test_change_is_in_force_in_time_after_all_watches_were_cut(
    nursery, table, autojump_clock
):
    """Guards against followers that rely on each other after a common loss.

    The statuses of the others still say that the store was reached shortly
    before.
    """
    store = CuttingStore()
    store.write("configuration", "main", to_plain(make_configuration(1)))
    election = FollowerElection(PeerDirectory(RECORD), 0.0)
    enforced = start_follower(nursery, store, table, autojump_clock, election)
    for version in range(2, 12):
        await trio.sleep(6.0)
        now_s = trio.current_time()
        election.hear(0.0, now_s)
        store.drop_history()
        await trio.sleep(0.0)
        store.write("configuration", "main", to_plain(make_configuration(version)))
        await trio.sleep(5.0)
        assert enforced[version] - now_s <= 1.0, version


class SilentStore(SlowLinkStore):
    """Lose the answers to the watches that wait while it is silent."""

    def __init__(self):
        super().__init__(transfer_s=0.0)
        self.silent = False

    async def watch(self, kind, *, after, wait_s):
        result = await super().watch(kind, after=after, wait_s=wait_s)
        if self.silent:
            await trio.sleep_forever()
        return result


async def test_watch_whose_answer_was_lost_is_replaced_soon(
    nursery, table, autojump_clock
):
    """Guards against a follower that the next change does not reach either.

    The store keeps the connection open, so that only a peer that has the
    change shows that an answer was lost.
    """
    store = SilentStore()
    store.write("configuration", "main", to_plain(make_configuration(1)))
    enforced = start_follower(nursery, store, table, autojump_clock)
    await trio.sleep(1.0)
    store.silent = True
    lost = store.write("configuration", "main", to_plain(make_configuration(2)))
    await trio.sleep(0.1)
    store.silent = False
    store.expect("configuration", lost.revision)
    await trio.sleep(DEAD_WATCH_S + 1.0)
    assert 2 in enforced
    written_s = trio.current_time()
    store.write("configuration", "main", to_plain(make_configuration(3)))
    await trio.sleep(1.0)
    assert enforced[3] - written_s <= 0.1


async def test_changes_that_peers_send_first_cost_no_call(
    nursery, table, autojump_clock
):
    """Guards against calls of the store for each change."""
    store = SlowLinkStore(transfer_s=0.5)
    store.write("configuration", "main", to_plain(make_configuration(1)))
    start_follower(nursery, store, table, autojump_clock)
    await trio.sleep(3.0)
    calls = len(store.calls)
    for version in range(2, 12):
        stored = store.write("configuration", "main", to_plain(make_configuration(2)))
        store.expect("configuration", stored.revision)
        await trio.sleep(3.0)
        assert len(store.calls) == calls + version - 1


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


class UnreachableStore(SlowLinkStore):
    """Answer nothing any more once it is cut off."""

    def __init__(self):
        super().__init__(transfer_s=0.0)
        self.cut_off = False

    async def probe(self, kind, *, fresh):
        if self.cut_off:
            await trio.sleep(3.0)
            return ProbeOutcome.FAILED
        return await super().probe(kind, fresh=fresh)


async def test_follower_without_answers_does_not_claim_to_reach_the_store(
    nursery, table, autojump_clock
):
    """Guards against a blind follower that keeps others from following."""
    store = UnreachableStore()
    store.write("configuration", "main", to_plain(make_configuration(1)))
    start_follower(nursery, store, table, autojump_clock)
    await trio.sleep(20.0)
    assert store.is_followed()
    assert trio.current_time() - store.reached_s() <= PROBE_INTERVAL_S
    store.cut_off = True
    cut_off_s = trio.current_time()
    await trio.sleep(MAX_STORE_AGE_S)
    assert not store.is_followed()
    assert store.reached_s() <= cut_off_s
    store.cut_off = False
    await trio.sleep(2.0)
    assert store.is_followed()
