"""Tests of the initial split of services that have never been moved."""

from catkinhollow.control.initial_split import (
    SetInitialSplits,
    choose_initial_versions,
)
from catkinhollow.generated.fleet import Fleet, Service, VersionWeight
from catkinhollow.generated.messages import MemberRecord, MemberState, TargetRecord

V2_ONLY = [VersionWeight(version="v2", percent=100.0)]
FLEET = Fleet(services=[Service(name="orders"), Service(name="stock", split=V2_ONLY)])


def make_member(number, version, started_ms, state=MemberState.ALIVE, service="orders"):
    target = TargetRecord(
        service=service,
        version=version,
        address=f"127.0.0.1:{number}",
        slots=10,
        started_ms=started_ms,
    )
    return MemberRecord(
        address=f"127.0.0.1:{9000 + number}",
        incarnation=1,
        failure_domain="a",
        region="r",
        state=state,
        targets=[target],
    )


def test_first_started_version_gets_all_traffic():
    """Guards against traffic to a version whose move has not started."""
    members = [
        make_member(1, "v2", 200),
        make_member(2, "v1", 100),
        make_member(3, "v0", 50, state=MemberState.DEAD),
        make_member(4, "v1", 10, service="stock"),
    ]
    assert choose_initial_versions(FLEET, members) == {"orders": "v1"}


def test_split_written_by_a_move_in_the_meantime_is_kept():
    """Guards against a late write that reverts a move."""
    edit = SetInitialSplits({"orders": "v1", "stock": "v1"})
    fleet = edit.edit(FLEET).ok
    assert [service.split[0].version for service in fleet.services] == ["v1", "v2"]
