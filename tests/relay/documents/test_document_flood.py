"""Tests of passing documents on in fleets of up to 1,400 daemons."""

from collections import Counter
from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from relay_builders import make_peer

from catkinhollow.events import EventManager
from catkinhollow.generated.relay import Document
from catkinhollow.relay.documents.document_flood import (
    CROSS_DOMAIN_DELAY_S,
    MAX_HELD_REVISIONS,
    MAX_PUSHED_BYTES,
    MIN_REVISION_INTERVAL_S,
    REQUEST_TIMEOUT_S,
    ChangeDamper,
    DocumentPulls,
)
from catkinhollow.relay.documents.document_sync import DocumentSync
from catkinhollow.relay.documents.document_table import DocumentTable
from catkinhollow.relay.placement.peers import PeerDirectory
from catkinhollow.timer import Subscription

STATUS_INTERVAL_S = 1.0
# Links to targets, beside those to ring neighbours.
OTHER_LINKS = 20


class World:
    """Deliver messages and callbacks in virtual time."""

    def __init__(self, seed=1, loss=0.0, copies=0.0):
        self.now_s = 0.0
        self.random = Random(seed)
        self.loss = loss
        self.copies = copies
        self.members = {}
        self.sent = Counter()
        self.bytes = Counter()
        self._queue = []
        self._sequence = count()

    @property
    def clock(self):
        return self

    def monotonic(self):
        return self.now_s

    def unix_ms(self):
        return int(self.now_s * 1000)

    def call_after(self, delay_s, callback):
        subscription = Subscription(callback, None)
        due = (self.now_s + delay_s, next(self._sequence), subscription)
        heappush(self._queue, due)
        return subscription

    def deliver(self, address, handler, sender, message):
        """Deliver a message once, not at all, or twice."""
        if self.random.random() < self.loss:
            return
        times = 2 if self.random.random() < self.copies else 1
        for _ in range(times):
            delay_s = self.random.uniform(0.001, 0.02)
            self.call_after(
                delay_s, lambda: self.members[address].receive(handler, sender, message)
            )

    def run(self, duration_s):
        end_s = self.now_s + duration_s
        while self._queue and self._queue[0][0] <= end_s:
            self.now_s, _, subscription = heappop(self._queue)
            subscription.callback()
        self.now_s = end_s


class Member:
    """Represent one daemon with links to its ring neighbours."""

    def __init__(self, world, record):
        self.world = world
        self.record = record
        self.directory = PeerDirectory(record)
        self.table = DocumentTable()
        self.sync = DocumentSync(
            link=self,
            documents=self.table,
            timer=world,
            events=EventManager(),
            accepts=lambda _: True,
            is_configured=lambda: True,
            is_confirmed=lambda _: True,
            random=Random(record.address),
        )
        self.alive = True
        self.neighbours = []
        self.linked = []

    def link(self, records):
        for record in records:
            if record is not self.record:
                self.directory.put(record)
        walks = self.directory.ring_walks()
        self.neighbours = list(dict.fromkeys(next(walk) for walk in walks))
        others = self.world.random.sample(list(self.world.members), k=OTHER_LINKS)
        self.linked = [*self.neighbours, *others]

    def is_nearby(self, address):
        own = self.record.failure_domain
        return self.world.members[address].record.failure_domain == own

    def send_documents(self, address, message):
        return self._send(address, "handle_documents", message)

    def send_index(self, address, message):
        return self._send(address, "handle_index", message)

    def send_announcement(self, address, message):
        return self._send(address, "handle_announcement", message)

    def send_request(self, address, message):
        return self._send(address, "handle_request", message)

    def _send(self, address, handler, message):
        self.world.sent[handler] += 1
        if handler == "handle_documents":
            size = len(message.compressed or b"")
            size += sum(len(document.body) for document in message.documents)
            self.world.bytes[address] += size
        self.world.deliver(address, handler, self.record.address, message)
        return True

    def receive(self, handler, sender, message):
        if self.alive and handler == "status":
            self.sync.compare(sender, message, configured=True)
        elif self.alive:
            getattr(self.sync, handler)(sender, message)

    def send_statuses(self):
        if self.alive:
            for address in self.neighbours:
                self.world.deliver(
                    address, "status", self.record.address, self.table.digest
                )
        self.world.call_after(STATUS_INTERVAL_S, self.send_statuses)


def make_world(size, **changes):
    world = World(**changes)
    records = [
        make_peer(f"d{number}", failure_domain="abcde"[number % 5]).record
        for number in range(size)
    ]
    for record in records:
        world.members[record.address] = Member(world, record)
    for member in world.members.values():
        member.link(records)
        world.call_after(world.random.random(), member.send_statuses)
    return world


def make_document(revision, size=100, name="configuration/main"):
    # Random bytes, because documents are compressed.
    body = Random(revision).randbytes(size)
    return Document(name=name, revision=revision, body=body)


def revisions(world, name="configuration/main"):
    return [
        member.table.revision(name) for member in world.members.values() if member.alive
    ]


@pytest.mark.parametrize("size", [300, 1400])
def test_change_is_everywhere_soon_and_transferred_once(size):
    """Guards against changes that are late, or cost more in larger fleets.

    The large document reaches five followers of the store at once. Small ones
    are passed on once by each daemon to at most eight neighbours.
    """
    world = make_world(size)
    document = make_document(1, 60_000)
    for address in list(world.members)[:5]:
        world.members[address].sync.offer(document, "store")
    world.run(1.0)
    assert set(revisions(world)) == {1}
    assert sum(world.bytes.values()) <= 1.05 * 60_000 * size
    assert max(world.bytes.values()) <= 2 * 60_100
    world.sent.clear()
    evacuation = make_document(2, name="evacuations/a")
    world.members["d0:1"].sync.offer(evacuation, "store")
    world.run(0.5)
    assert set(revisions(world, "evacuations/a")) == {2}
    assert world.sent["handle_documents"] <= 8 * size


@pytest.mark.parametrize("size", [25, 300])
def test_series_of_versions_costs_each_daemon_few_of_them(size):
    """Guards against a storm of configurations that takes all processor time.

    Thirty versions in 5 s; the last one is in force everywhere within 1.5 s.
    """
    world = make_world(size)
    for revision in range(1, 31):
        for address in list(world.members)[:5]:
            world.members[address].sync.offer(make_document(revision, 60_000), "store")
        world.run(5.0 / 30)
    world.run(1.5)
    assert set(revisions(world)) == {30}
    assert sum(world.bytes.values()) <= 13 * 60_000 * size


def test_single_change_is_not_held_back():
    """Guards against a delay of each change at each daemon on its way."""
    damper = ChangeDamper()
    first, second, third = (make_document(n, 60_000) for n in (1, 2, 3))
    assert damper.passes(first, "store", 0.0)
    assert not damper.passes(second, "store", 0.1)
    assert not damper.passes(third, "p:1", 0.2)
    assert not damper.passes(second, "p:2", 0.3)
    assert damper.take_due(0.4) == []
    assert damper.take_due(MIN_REVISION_INTERVAL_S) == [(third, "p:1")]
    assert damper.passes(make_document(4, 60_000), "store", 9.0)
    small = make_document(5, 100, "evacuations/a")
    assert all(damper.passes(small, "store", 9.0 + n / 10) for n in range(3))


@pytest.mark.parametrize("size", [25, 80])
def test_storm_of_small_versions_costs_few_messages(size):
    """Guards against small versions that are all passed on by each daemon.

    Thirty versions in a second; the last one is in force everywhere within
    half a second.
    """
    world = make_world(size)
    world.run(3.0)
    world.sent.clear()
    for revision in range(1, 31):
        world.members["d0:1"].sync.offer(make_document(revision, 500), "store")
        world.run(1.0 / 30)
    world.run(0.5)
    assert set(revisions(world)) == {30}
    world.run(2.0)
    assert world.sent["handle_documents"] <= 30 * 1.5 * size
    assert world.sent["handle_announcement"] <= 30 * 6 * size


def offer_storm(versions, invalid=()):
    """Offer versions in 0.4 s; return those checked, and the one in force."""
    world = make_world(25)
    member = next(iter(world.members.values()))
    checked = []

    def accepts(document):
        checked.append(document.revision)
        return document.revision not in invalid

    member.sync._accepts = accepts
    for revision in versions:
        member.sync.offer(make_document(revision, 60_000), "store")
        world.run(0.4 / len(versions))
    world.run(1.0)
    return checked, member.table.revision("configuration/main")


def test_versions_that_are_passed_over_are_not_decoded():
    """Guards against a storm whose versions are all decoded and checked."""
    checked, newest = offer_storm(range(1, 31))
    assert newest == 30
    # The first and the last one, and one each time that too many are held.
    assert len(checked) <= 2 + 29 // MAX_HELD_REVISIONS


@pytest.mark.parametrize(
    ("versions", "invalid", "expected"),
    [
        ([1, 2, 3], {3}, 2),
        ([1, 2, 3], {2, 3}, 1),
        ([1, 3, 2], {3}, 2),
        (range(1, 31), set(range(5, 31)), 4),
        (range(1, 31), set(range(2, 31)) - {11}, 11),
    ],
)
def test_invalid_version_does_not_hide_an_older_one(versions, invalid, expected):
    """Guards against a valid version that is lost to a later invalid one."""
    _, newest = offer_storm(versions, invalid)
    assert newest == expected


def test_lost_messages_are_repaired():
    """Guards against a daemon that misses a change for ever."""
    world = make_world(300, loss=0.1, copies=0.1)
    for revision in range(1, 6):
        world.members["d0:1"].sync.offer(make_document(revision, 5_000), "store")
        world.run(0.1)
    world.run(8.0)
    assert set(revisions(world)) == {5}


def test_change_passes_daemons_that_have_ended():
    """Guards against a fleet whose parts wait for dead neighbours."""
    world = make_world(300)
    members = list(world.members.values())
    for member in members[1::5]:
        # A whole failure domain.
        member.alive = False
    members[0].sync.offer(make_document(1, 60_000), "store")
    world.run(3.0)
    assert set(revisions(world)) == {1}


@pytest.mark.parametrize("seed", range(8))
def test_change_reaches_all_survivors_when_most_daemons_end(seed):
    """Guards against configurations that are late after a mass loss of power.

    No daemon knows yet which of its neighbours have ended.
    """
    world = make_world(80, seed=seed)
    members = list(world.members.values())
    for member in members:
        member.alive = world.random.random() < 0.4
    members[0].alive = True
    members[0].sync.offer(make_document(1, 60_000), "store")
    evacuation = make_document(2, name="evacuations/a")
    members[0].sync.offer(evacuation, "store")
    world.run(1.0)
    assert set(revisions(world)) == {1}
    assert set(revisions(world, "evacuations/a")) == {2}


def test_document_is_requested_from_one_neighbour_at_a_time():
    """Guards against several transfers of the same version to one daemon."""
    pulls = DocumentPulls(lambda _: True)
    version = make_document(5)
    for address in ("near", "other"):
        pulls.announced(version, address, 0.0, same_domain=True)
    assert pulls.take_due(0.0) == {"near": ["configuration/main"]}
    assert pulls.take_due(REQUEST_TIMEOUT_S - 0.01) == {}
    assert pulls.take_due(REQUEST_TIMEOUT_S) == {"other": ["configuration/main"]}
    pulls.received("configuration/main", 5, 1.0)
    assert not pulls.pending


def test_neighbour_in_the_same_failure_domain_is_asked_first():
    """Guards against transfers between failure domains."""
    pulls = DocumentPulls(lambda _: True)
    pulls.announced(make_document(5), "far", 0.0, same_domain=False)
    assert pulls.take_due(0.0) == {}
    pulls.announced(make_document(5), "near", 0.1, same_domain=True)
    assert list(pulls.take_due(0.1)) == ["near"]
    pulls.lost("near")
    assert list(pulls.take_due(CROSS_DOMAIN_DELAY_S)) == ["far"]


def test_neighbour_whose_link_is_known_to_work_is_asked_first():
    """Guards against requests that are lost one after another."""
    pulls = DocumentPulls({"works"}.__contains__)
    for address in ("dead", "dead too", "works"):
        pulls.announced(make_document(5), address, 0.0, same_domain=True)
    assert list(pulls.take_due(0.0)) == ["works"]
    assert list(pulls.take_due(REQUEST_TIMEOUT_S)) == ["dead"]


class FloodMachine(RuleBasedStateMachine):
    """Change documents while daemons end, restart and lose messages."""

    def __init__(self):
        super().__init__()
        self.world = make_world(25, loss=0.1, copies=0.1)
        self.revision = 0
        self.seen = {}

    @rule(member=st.integers(0, 24), size=st.sampled_from([10, 2 * MAX_PUSHED_BYTES]))
    def change(self, member, size):
        self.revision += 1
        document = make_document(self.revision, size)
        source = list(self.world.members.values())[member]
        if source.alive:
            source.sync.offer(document, "store")

    @rule(member=st.integers(0, 24))
    def end_or_restart(self, member):
        member = list(self.world.members.values())[member]
        member.alive = not member.alive

    @rule(duration_s=st.sampled_from([0.01, 0.1, 1.0]))
    def wait(self, duration_s):
        self.world.run(duration_s)

    @rule()
    def settle(self):
        """Expect the same documents everywhere after a calm time."""
        for member in self.world.members.values():
            member.alive = True
        self.world.loss = 0.0
        self.world.run(10.0)
        assert len(set(revisions(self.world))) == 1
        self.world.loss = 0.1

    @invariant()
    def no_daemon_goes_back(self):
        for address, member in self.world.members.items():
            revision = member.table.revision("configuration/main")
            assert revision >= self.seen.get(address, -1)
            self.seen[address] = revision


FloodMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=20, stateful_step_count=30
)
TestFlood = FloodMachine.TestCase
