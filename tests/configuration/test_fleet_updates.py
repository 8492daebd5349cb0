"""Model-based tests of conditional updates of the fleet configuration."""

import trio
from attrs import evolve
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from catkinhollow.codec import from_plain, to_plain
from catkinhollow.configuration.editing import ApplyFiles, ReturnDomain, TakeDomainOut
from catkinhollow.configuration.fleet_updates import plan_update, update_fleet
from catkinhollow.errors import StoreErrorKind
from catkinhollow.generated.fleet import Defaults, Fleet, Service, VersionWeight
from tests.memory_store import MemoryStore

DOMAINS = st.sampled_from(["a", "b", "c"])
ALL_DOMAINS = frozenset("abc")
TIMEOUTS = st.integers(10, 12)
NAMES = st.sets(st.sampled_from(["orders", "stock"]))
OTHER_CHANGES = st.sampled_from(["none", "split", "domain", "defaults"])


class FleetUpdates(RuleBasedStateMachine):
    """Apply files and take domains out while another writer interferes."""

    def __init__(self):
        super().__init__()
        self.store = MemoryStore()
        self.exists = False
        self.timeout_ms, self.splits, self.out = None, {}, []

    @rule(timeout_ms=TIMEOUTS, names=NAMES, other=OTHER_CHANGES, dry_run=st.booleans())
    def apply(self, timeout_ms, names, other, dry_run):
        files = Fleet(
            defaults=Defaults(timeout_ms=timeout_ms),
            services=[Service(name=name) for name in sorted(names)],
        )
        if dry_run:
            before = self.store.revision
            assert trio.run(plan_update, self.store, ApplyFiles(files)).is_ok()
            assert self.store.revision == before
            return
        same = self._same_configuration(timeout_ms, names)
        changed = [] if same else self._schedule_concurrent_write(other)
        writes = self.store.writes
        result = trio.run(update_fleet, self.store, ApplyFiles(files))
        if "defaults" in changed and not self._same_configuration(timeout_ms, names):
            assert result.error.kind is StoreErrorKind.CONFLICT
            return
        assert result.is_ok()
        assert self.store.writes - writes == len(changed) + (
            not self._same_configuration(timeout_ms, names)
        )
        self.exists, self.timeout_ms = True, timeout_ms
        self.splits = {name: self.splits.get(name) for name in names}

    @rule(name=DOMAINS, other=OTHER_CHANGES, force=st.booleans())
    def take_out(self, name, other, force):
        changed = (
            self._schedule_concurrent_write(other)
            if self._will_take_out(name, force)
            else []
        )
        edit = TakeDomainOut(name, ALL_DOMAINS, force)
        result = trio.run(update_fleet, self.store, edit)
        assert result.is_ok() == (name in self.out or self._will_take_out(name, force))
        if result.is_ok() and name not in self.out:
            self.out.append(name)
        assert len(changed) <= 1

    @rule(name=DOMAINS)
    def return_domain(self, name):
        result = trio.run(update_fleet, self.store, ReturnDomain(name))
        assert result.is_ok() == self.exists
        self.out = [item for item in self.out if item != name]

    @invariant()
    def stored_configuration_matches_the_model(self):
        if not self.exists:
            assert self.store.objects == {}
            return
        fleet = self._stored()
        assert fleet.defaults.timeout_ms == self.timeout_ms
        assert fleet.failure_domains_out == self.out
        assert {
            service.name: service.split[0].version if service.split else None
            for service in fleet.services
        } == self.splits

    def _will_take_out(self, name, force):
        remaining = ALL_DOMAINS - {*self.out, name}
        return self.exists and name not in self.out and bool(remaining or force)

    def _same_configuration(self, timeout_ms, names):
        expected = (timeout_ms, names)
        return self.exists and expected == (self.timeout_ms, set(self.splits))

    def _schedule_concurrent_write(self, other):
        """Let another writer change the object just before the next put."""
        if not self.exists or other == "none":
            return []
        self.store.before_put = [lambda: self._write_concurrently(other)]
        return [other]

    def _write_concurrently(self, other):
        fleet = self._stored()
        if other == "split":
            split = [VersionWeight(version="v2", percent=100.0)]
            services = [evolve(item, split=split) for item in fleet.services]
            fleet = evolve(fleet, services=services)
            self.splits = dict.fromkeys(self.splits, "v2")
        elif other == "domain":
            self.out = [] if self.out else ["z"]
            fleet = evolve(fleet, failure_domains_out=self.out)
        else:
            self.timeout_ms = 12 if self.timeout_ms != 12 else 11
            fleet = evolve(fleet, defaults=Defaults(timeout_ms=self.timeout_ms))
        self.store.write("config", "fleet", to_plain(fleet))

    def _stored(self):
        return from_plain(self.store.objects["config", "fleet"].value, Fleet).ok


FleetUpdates.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=20
)
TestFleetUpdates = FleetUpdates.TestCase


def test_unusable_name_is_not_written():
    """Guards against writing a version that no daemon can decode."""
    store = MemoryStore()
    store.write("config", "fleet", to_plain(Fleet()))
    result = trio.run(update_fleet, store, TakeDomainOut("No Name"))
    assert result.is_error()
    assert store.writes == 1
