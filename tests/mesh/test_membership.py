"""Tests of the member table and the hash rings."""

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinhollow.generated.messages import MemberRecord, MemberState
from catkinhollow.mesh.membership import MemberTable, merge_records, record_hash
from catkinhollow.mesh.rings import Rings, choose_by_rendezvous_hash

NAMES = [f"m{number}" for number in range(6)]
RECORDS = st.builds(
    MemberRecord,
    address=st.just("m"),
    incarnation=st.integers(0, 2),
    version=st.integers(0, 2),
    failure_domain=st.just("a"),
    region=st.just("r"),
    state=st.sampled_from(MemberState),
    suspected_by=st.lists(st.sampled_from(["a", "b"]), unique=True),
)


def make_member(address):
    return MemberRecord(address=address, incarnation=1, failure_domain="a", region="r")


def make_table():
    table = MemberTable(
        make_member("m0"), suspect_timeout_s=3.0, dead_retention_s=600.0
    )
    for name in NAMES[1:]:
        table.merge(make_member(name), 0.0)
    return table


@settings(derandomize=True, deadline=None)
@given(RECORDS, RECORDS, RECORDS)
def test_merge_is_independent_of_order(one, other, third):
    """Guards against tables that diverge when records arrive in any order."""
    both = record_hash(merge_records(merge_records(one, other), third))
    assert both == record_hash(merge_records(third, merge_records(other, one)))
    assert both == record_hash(merge_records(one, merge_records(other, third)))
    assert record_hash(merge_records(one, one)) == record_hash(
        evolve(one, suspected_by=sorted(one.suspected_by))
    )


def test_death_needs_two_reporters_and_expires():
    """Guards against a death declared because of a single broken link.

    Also guards against a dead member that is added again after its record
    has expired.
    """
    table = make_table()
    assert table.suspect("m1", 0.0)
    assert not table.expire(100.0)
    second = evolve(table.records["m1"], state=MemberState.SUSPECT, suspected_by=["m2"])
    assert table.merge(second, 100.0)
    assert not table.expire(102.9)
    assert table.expire(103.1) == ["m1"]
    dead = table.records["m1"]
    table.expire(800.0)
    assert not table.merge(dead, 800.0)
    assert "m1" not in table.records
    assert table.merge(evolve(dead, state=MemberState.ALIVE, incarnation=2), 800.0)


def test_restart_with_equal_incarnation_replaces_the_predecessor():
    """Guards against successive processes with the same incarnation.

    Both take it from the clock, which can give them the same value.
    """
    table = make_table()
    assert table.merge(evolve(make_member("m0"), version=4), 0.0)
    assert (table.own.incarnation, table.own.state) == (2, MemberState.ALIVE)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.booleans(), st.sampled_from(NAMES))))
def test_rings_match_a_rebuilt_copy(steps):
    """Guards against rings that diverge as members are added and removed."""
    rings, members = Rings(), set()
    for present, name in steps:
        (rings.add if present else rings.discard)(name)
        (members.add if present else members.discard)(name)
    rebuilt = Rings()
    for name in sorted(members):
        rebuilt.add(name)
    for name in members:
        assert rings.successors(name) == rebuilt.successors(name)
        for successor in rings.successors(name):
            assert name in rings.predecessors(successor)
        kept = choose_by_rendezvous_hash(members - {name}, "key", 2)
        assert set(choose_by_rendezvous_hash(members, "key", 2)) - {name} <= set(kept)
