"""Tests of when a quarantine applies."""

from catkinhollow.control.quarantine_policy import QuarantinePolicy
from catkinhollow.generated.fleet import Fleet, Service, VersionWeight
from catkinhollow.generated.messages import Quarantine


def make_fleet(started_ms, percent=5.0):
    split = [
        VersionWeight(version="v1", percent=100.0 - percent),
        VersionWeight(version="v2", percent=percent, move_started_ms=started_ms),
    ]
    return Fleet(services=[Service(name="orders", split=split)])


def make_quarantine(started_ms):
    return Quarantine(
        service="orders", version="v2", move_started_ms=started_ms, reason="fails"
    )


def test_quarantine_applies_before_the_store_knows_of_it():
    """Guards against a bad version that keeps traffic without the store."""
    policy = QuarantinePolicy()
    changes = policy.update(make_fleet(100), [make_quarantine(100)])
    assert changes.added == {("orders", "v2")}
    assert policy.update(make_fleet(100), [make_quarantine(100)]).added == frozenset()


def test_later_move_to_the_same_version_lifts_the_quarantine():
    """Guards against a repaired version that never gets traffic again."""
    policy = QuarantinePolicy()
    policy.update(make_fleet(100), [make_quarantine(100)])
    changes = policy.update(make_fleet(200), [make_quarantine(100)])
    assert changes.lifted == {("orders", "v2")}


def test_restarted_daemon_ignores_the_quarantine_of_an_earlier_move():
    """Guards against a joining daemon that applies outdated quarantines.

    A joining daemon receives them together with the member table.
    """
    changes = QuarantinePolicy().update(make_fleet(200), [make_quarantine(100)])
    assert not changes.added
