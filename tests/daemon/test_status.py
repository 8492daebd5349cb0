"""Tests of the status response and of its text report."""

from catkinhollow.codec import decode_json, encode_json
from catkinhollow.daemon.status import build_status
from catkinhollow.errors import RejectionKind, SnapshotRejected
from catkinhollow.generated.fleet import (
    ExceptionSetting,
    Fleet,
    FleetException,
    Lease,
    Move,
    MoveState,
    Service,
    Snapshot,
    VersionWeight,
)
from catkinhollow.generated.messages import MemberRecord, MemberState, TargetRecord
from catkinhollow.generated.status import DaemonStatus
from catkinhollow.status_report import build_tables, summarize


def make_member(port, revision, state="alive", domain="a"):
    target = TargetRecord(
        service="orders", version="v1", address="x:1", slots=10, started_ms=1
    )
    return MemberRecord(
        address=f"127.0.0.1:{port}",
        incarnation=1,
        failure_domain=domain,
        region="r",
        state=MemberState(state),
        enforced_revision=revision,
        targets=[target],
    )


FLEET = Fleet(
    services=[
        Service(name="orders", split=[VersionWeight(version="v1", percent=100.0)])
    ],
    exceptions=[
        FleetException(
            name="slow",
            service="orders",
            setting=ExceptionSetting.TIMEOUT_MS,
            value=5000,
            reason="Orders are confirmed by hand.",
        )
    ],
    failure_domains_out=["b"],
)
MOVES = [
    Move(
        service="orders",
        version=f"v{number}",
        old_version="v1",
        deadline_ms=1_800_000_000_000,
        started_ms=1,
        operator="maria",
        state=MoveState(state),
    )
    for number, state in ((2, "running"), (3, "done"))
]


def test_status_shows_lagging_members_and_exceptions():
    """Guards against a status that hides a lagging or missing member."""
    status = build_status(
        own=make_member(1, 7),
        ready=True,
        snapshot=Snapshot(revision=7, fleet=FLEET),
        newest_revision=5,
        members=[
            make_member(3, 2, "dead", "b"),
            make_member(2, 9, domain="b"),
            make_member(1, 7),
        ],
        moves=MOVES,
        lease=Lease(holder="127.0.0.1:2", epoch=4),
        rejected=SnapshotRejected(
            kind=RejectionKind.INVALID, revision=9, reason="no service 'x'"
        ),
    )
    assert decode_json(encode_json(status), DaemonStatus).ok == status
    assert status.newest_revision == 9
    lags = {item.address[-1]: item.lag_revisions for item in status.members}
    assert lags == {"1": 2, "2": 0, "3": 0}
    assert [move.version for move in status.moves] == ["v2"]

    summary = dict(summarize(status))
    assert summary["configuration"] == "revision 7 enforced, newest known 9"
    assert summary["members"] == "2 alive, 1 dead, 1 lagging"
    assert summary["domains out"] == "b"
    assert "no service 'x'" in summary["last rejected"]
    tables = {table.title: table.rows for table in build_tables(status)}
    assert tables["failure domains"] == [
        ["a", "in", "1 of 1", "1", "1", ""],
        ["b", "OUT", "1 of 2", "0", "1", ""],
    ]
    listed = tables["members not alive or lagging"]
    assert [row[0][-1] for row in listed] == ["1", "3"]
    assert tables["exceptions"][0][-1] == "Orders are confirmed by hand."
    assert tables["running moves"][0][4] == "2027-01-15 08:00:00+00:00"


def test_status_of_a_daemon_without_configuration():
    """Guards against a daemon that cannot report that it is not ready."""
    own = make_member(1, 0)
    status = build_status(
        own=own, ready=False, snapshot=None, newest_revision=0, members=[own]
    )
    summary = dict(summarize(status))
    assert "NOT READY" in summary["daemon"]
    assert summary["configuration"].startswith("none enforced")
    assert summary["controller"] == "none known"


def test_controller_without_a_known_epoch_is_the_elected_one():
    """Guards against an unknown epoch that is shown as epoch 0 of a lease."""
    own = make_member(1, 0)
    elected = Lease(holder="127.0.0.1:2", epoch=0)
    status = build_status(
        own=own,
        ready=True,
        snapshot=None,
        newest_revision=0,
        members=[own],
        lease=elected,
    )
    assert dict(summarize(status))["controller"] == "127.0.0.1:2, by election"
