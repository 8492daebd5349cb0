"""Tests that compare the stand-in store's state with a dict."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from catkinhollow.errors import StoreErrorKind
from catkinhollow.generated.store import ObjectWrite
from catkinhollow.generated.testbed import StoreFaults
from catkinhollow.testbed.store_state import StoreState

NAMES = st.sampled_from("abc")
REVISIONS = st.integers(0, 12)


class StoreMachine(RuleBasedStateMachine):
    """Compare writes, listings and a watcher's copy with a dict."""

    def __init__(self):
        super().__init__()
        self.state = StoreState(tombstone_limit=1)
        self.expected = {}
        self.copy = {}
        self.watched = 0

    @rule(name=NAMES, value=st.integers(), is_current=st.booleans(), other=REVISIONS)
    def put(self, name, value, is_current, other):
        current = self.expected.get(name, (0, None))[0]
        revision = current if is_current else other
        before = self.state.revision
        write = ObjectWrite(value=value, writer_id="w")
        result = self.state.put("k", name, write, if_revision=revision)
        self.check(result, revision == current, name in self.expected)
        if result.is_ok():
            assert result.ok.revision == before + 1
            self.expected[name] = (before + 1, value)

    @rule(name=NAMES, is_current=st.booleans(), other=REVISIONS)
    def delete(self, name, is_current, other):
        current = self.expected.get(name, (0, None))[0]
        revision = current if is_current else other
        result = self.state.delete("k", name, "w", if_revision=revision)
        present = name in self.expected
        self.check(result, present and revision == current, present)
        if result.is_ok():
            del self.expected[name]

    def check(self, result, accepted, present):
        assert result.is_ok() == accepted
        if not accepted:
            kind = StoreErrorKind.CONFLICT if present else StoreErrorKind.NOT_FOUND
            assert result.error.kind is kind

    @rule()
    def watch(self):
        changes = self.state.changes("k", self.watched)
        if changes is not None:
            if changes.complete:
                self.copy.clear()
            for stored in changes.objects:
                self.copy[stored.name] = (stored.revision, stored.value)
                if stored.deleted:
                    del self.copy[stored.name]
            self.watched = changes.revision
        assert self.copy == self.expected

    @rule()
    def watch_after_loss_of_the_store(self):
        assert self.state.changes("k", self.state.revision + 1).complete

    @invariant()
    def listing_matches(self):
        listed = self.state.list_objects("k").objects
        assert {o.name: (o.revision, o.value) for o in listed} == self.expected


def test_state_matches_a_dict():
    """Guards against lost updates, and watches that miss a change."""
    run_state_machine_as_test(
        StoreMachine,
        settings=settings(derandomize=True, deadline=None, max_examples=150),
    )


def test_stale_reads_return_old_objects_while_writes_use_new_ones():
    """Guards against stale reads that show new writes or block them."""
    state = StoreState()
    write = ObjectWrite(value=1, writer_id="w")
    state.put("k", "a", write, if_revision=0)
    state.set_faults(StoreFaults(stale_reads=True))
    assert state.put("k", "a", write, if_revision=1).is_ok()
    assert state.get("k", "a").revision == 1
    assert state.changes("k", 2) is None
    state.set_faults(StoreFaults())
    assert state.get("k", "a").revision == 2


def test_copy_undoes_later_writes_and_begins_an_era():
    """Guards against a copy that changes with the store."""
    state = StoreState()
    write = ObjectWrite(value=1, writer_id="w")
    state.put("k", "a", write, if_revision=0)
    copy = state.take_copy()
    state.put("k", "b", write, if_revision=0)
    state.delete("k", "a", "w", if_revision=1)
    for era in (1, 2):
        state.restore(copy)
        assert state.era == era
        assert state.revision == 1
        assert [it.name for it in state.list_objects("k").objects] == ["a"]
        # A watch of a revision that the store lacks gets a complete listing.
        assert state.changes("k", 3).complete
        state.put("k", "c", write, if_revision=0)
