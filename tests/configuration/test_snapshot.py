"""Tests of which configuration version is enforced."""

from hypothesis import given, settings
from hypothesis import strategies as st

from catkinhollow.configuration.snapshot import SnapshotHolder
from catkinhollow.generated.fleet import Fleet, Route, Service, Snapshot

VALID = Fleet(services=[Service(name="orders")])
INVALID = Fleet(routes=[Route(name="r", service="missing", path_prefix="/")])


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["offer", "floor"]), st.integers(0, 20), st.booleans()
        )
    )
)
def test_revision_never_goes_back(steps):
    """Guards against going back to an older version.

    Snapshots may arrive out of order, be stale or be invalid.
    """
    holder = SnapshotHolder()
    expected = floor = 0
    for action, revision, valid in steps:
        if action == "floor":
            holder.raise_floor(revision)
            floor = max(floor, revision)
        else:
            fleet = VALID if valid else INVALID
            result = holder.offer(Snapshot(revision=revision, fleet=fleet))
            accepted = valid and revision > expected and revision >= floor
            assert result.is_ok() == accepted
            expected = revision if accepted else expected
            floor = max(floor, expected)
        assert holder.revision == expected


def test_invalid_snapshot_changes_nothing():
    """Guards against a version that is only partly applied."""
    holder = SnapshotHolder()
    holder.offer(Snapshot(revision=1, fleet=VALID))
    result = holder.offer(Snapshot(revision=2, fleet=INVALID))
    assert result.is_error()
    assert "no service 'missing'" in result.error.reason
    assert holder.snapshot.fleet is VALID
