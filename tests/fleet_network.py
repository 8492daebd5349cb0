"""Simulated network of daemons with real snapshots and routers."""

from collections import Counter, defaultdict
from random import Random

import trio
from attrs import evolve
from expression import Error

from catkinhollow.calls.pool import Location
from catkinhollow.calls.routing import RouteTable
from catkinhollow.codec import from_plain, to_plain
from catkinhollow.configuration.editing import ApplyFiles
from catkinhollow.configuration.fleet_updates import update_fleet
from catkinhollow.configuration.snapshot import SnapshotHolder
from catkinhollow.configuration.validation import find_fleet_problems
from catkinhollow.control.quarantine_policy import QuarantinePolicy
from catkinhollow.errors import StoreError, StoreErrorKind
from catkinhollow.generated.fleet import (
    Defaults,
    Fleet,
    Route,
    Service,
    Snapshot,
    VersionWeight,
)
from tests import builders
from tests.builders import make_router, send_call
from tests.memory_store import MemoryStore
from tests.mesh_network import Network, snapshot_bytes

ADDRESSES = [f"127.0.0.1:{port}" for port in range(7001, 7007)]
DOMAINS = ("fd0", "fd1", "fd2")
# Start of the router clock, late enough for the targets to be warm.
ROUTER_START_S = 1000.0
CHECK_INTERVAL_S = 0.2
POLL_INTERVAL_S = 0.4
MOVE_MS = 1
SPLIT = [
    VersionWeight(version="v1", percent=50.0),
    VersionWeight(version="v2", percent=50.0, move_started_ms=MOVE_MS),
]
INVALID = Fleet(routes=[Route(name="r", service="missing", path_prefix="/")])


def make_fleet(timeout_ms):
    defaults = Defaults(timeout_ms=timeout_ms, local_preference=False)
    return builders.make_fleet(Service(name="orders"), defaults=defaults)


class HistoryStore(MemoryStore):
    """Record every version of the configuration; can lose an answer."""

    def __init__(self):
        super().__init__()
        self.history = {}
        self.lose_answer = False

    def write(self, kind, name, value):
        stored = super().write(kind, name, value)
        self.history[stored.revision] = from_plain(value, Fleet).ok
        return stored

    async def put(self, kind, name, value, *, if_revision):
        result = await super().put(kind, name, value, if_revision=if_revision)
        if self.lose_answer:
            self.lose_answer = False
            return Error(StoreError(kind=StoreErrorKind.UNAVAILABLE, reason="lost"))
        return result


class FleetNetwork(Network):
    """Simulate daemons that read a store, enforce it and route calls."""

    def __init__(self, seed):
        super().__init__(seed)
        self.store = HistoryStore()
        self.store.write("config", "fleet", to_plain(make_fleet(1500)))
        self.write_changed_fleet(lambda fleet: _with_even_split(fleet))
        self.holders = defaultdict(SnapshotHolder)
        self.routers = {}
        self.policies = defaultdict(QuarantinePolicy)
        self.served = Counter()
        self.cut_links = set()
        self.pinned_revision = None
        self.store_delay_s = 0.0
        self._polled_s = 0.0
        for address in ADDRESSES[:5]:
            self.start(address, ADDRESSES)
        self.pass_time(12.0)

    def write_changed_fleet(self, change):
        """Write a changed configuration in the place of another writer."""
        stored = self.store.objects["config", "fleet"]
        fleet = change(from_plain(stored.value, Fleet).ok)
        return self.store.write("config", "fleet", to_plain(fleet))

    @property
    def newest_valid(self):
        history = self.store.history
        return max(item for item in history if not find_fleet_problems(history[item]))

    def edit(self, edit):
        return trio.run(update_fleet, self.store, edit)

    def apply(self, timeout_ms):
        return self.edit(ApplyFiles(make_fleet(timeout_ms)))

    def start(self, address, seeds, *, incarnation=None):
        node = super().start(address, seeds, incarnation=incarnation)
        own = node.mesh.table.own
        location = Location(failure_domain=own.failure_domain, region=own.region)
        router = make_router([], Fleet(), random=Random(self.random.random()))
        router._location = location
        self.routers[node] = router
        return node

    def make_record(self, address, incarnation):
        index = ADDRESSES.index(address)
        version = f"v{1 + (index >= 3)}"
        made = builders.make_member(
            index, DOMAINS[index % 3], f"r{index % 3 == 0:d}", version=version
        )
        return evolve(made, address=address, incarnation=incarnation)

    def is_reachable(self, one, other):
        return frozenset((one, other)) not in self.cut_links and super().is_reachable(
            one, other
        )

    def enforce(self, node, revision, size=100):
        holder = self.holders[node]
        holder.raise_floor(node.floor)
        fleet = self.store.history[revision]
        if holder.offer(Snapshot(revision=revision, fleet=fleet)).is_error():
            return
        assert holder.revision > node.enforced, "invariant 1: an older version"
        node.enforced = holder.revision
        self.routers[node].enforce(holder.snapshot.fleet, self.router_s)
        data = snapshot_bytes(revision, size)
        now_s, mesh = self.now_s, node.mesh
        self._run(node, mesh.update_own(now_s, enforced_revision=revision))
        self._run(node, mesh.revision_available(revision, data, now_s))

    @property
    def router_s(self):
        return ROUTER_START_S + self.now_s

    def read_store(self, node, revision):
        """Offer a stored revision to a daemon, as the watcher does."""
        if not node.alive or node.stopped:
            return
        self.enforce(node, revision)
        if not find_fleet_problems(self.store.history[revision]):
            self._run(node, node.mesh.store_answered(revision, self.now_s))

    def pass_time(self, seconds):
        """Advance the time with polling watchers, and check every daemon."""
        end_s = self.now_s + seconds
        while self.now_s < end_s:
            self._poll_store()
            self.advance(CHECK_INTERVAL_S)
            for node in list(self.nodes.values()):
                self.check(node)

    def check(self, node):
        """Check the invariants 1, 2, 3 and 12, which hold at any time."""
        holder = self.holders[node]
        if holder.snapshot is not None:
            fleet = holder.snapshot.fleet
            assert fleet == self.store.history[holder.revision], (
                "invariant 3: applied partially"
            )
            services = {service.name for service in fleet.services}
            RouteTable(fleet)
            assert {route.service for route in fleet.routes} <= services, "invariant 2"
        if node.mesh.ready and not node.stopped:
            served = self.served[node.address]
            assert holder.revision >= served, "invariant 1: served an older version"
            self.served[node.address] = holder.revision
        self._update_router(node)

    def pick_targets(self, node, count=12):
        """Return the target entries that a daemon picks for some requests."""
        entries = []
        for _ in range(count):
            sent = send_call(self.routers[node], self.router_s, "POST")
            if sent is not None:
                entries.append(sent[1])
                sent[0].finish_attempt(builders.OK, self.router_s + 0.01)
        return entries

    def _update_router(self, node):
        router, now_s = self.routers[node], self.router_s
        if node.stopped:
            return
        members = node.mesh.table.records.values()
        router.update_members(members, now_s, int(now_s * 1000))
        snapshot = self.holders[node].snapshot
        if snapshot is None:
            return
        policy = self.policies[node]
        changes = policy.update(snapshot.fleet, node.mesh.quarantines)
        for service, version in changes.added:
            router.quarantine(service, version, now_s)
        for service, version in changes.lifted:
            router.lift_quarantine(service, version, now_s)

    def _poll_store(self):
        if self.store.down or self.now_s - self._polled_s < POLL_INTERVAL_S:
            return
        self._polled_s = self.now_s
        revision = self.pinned_revision or self.store.revision
        for address in ADDRESSES[:2]:
            node = self.nodes.get(address)
            if node is not None:
                self._schedule(self.store_delay_s, self.read_store, node, revision)


def _with_even_split(fleet):
    return evolve(fleet, services=[Service(name="orders", split=SPLIT)])
