"""Build the response of a daemon's status endpoint."""

from collections.abc import Iterable

from catkinhollow.errors import SnapshotRejected
from catkinhollow.generated.fleet import Fleet, Lease, Move, MoveState, Snapshot
from catkinhollow.generated.messages import MemberRecord, MemberState, Quarantine
from catkinhollow.generated.status import (
    ControllerStatus,
    DaemonStatus,
    ExceptionStatus,
    MemberStatus,
    MoveStatus,
    QuarantineStatus,
    RejectedStatus,
    SplitStatus,
    TargetStatus,
    VersionShare,
)

RUNNING_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


def build_status(
    *,
    own: MemberRecord,
    ready: bool,
    snapshot: Snapshot | None,
    newest_revision: int,
    members: Iterable[MemberRecord],
    moves: Iterable[Move] = (),
    quarantines: Iterable[Quarantine] = (),
    lease: Lease | None = None,
    rejected: SnapshotRejected | None = None,
) -> DaemonStatus:
    """Return the status; members must include the daemon's own record."""
    records = sorted(members, key=lambda record: record.address)
    enforced = snapshot.revision if snapshot else 0
    fleet = snapshot.fleet if snapshot else Fleet()
    revisions = (record.enforced_revision for record in records)
    newest = max([newest_revision, enforced, *revisions])
    return DaemonStatus(
        address=own.address,
        failure_domain=own.failure_domain,
        region=own.region,
        ready=ready,
        enforced_revision=enforced,
        newest_revision=newest,
        members=[_member_status(record, newest) for record in records],
        exceptions=list_exceptions(fleet),
        failure_domains_out=list(fleet.failure_domains_out),
        splits=_split_statuses(fleet),
        moves=[_move_status(move) for move in moves if move.state is MoveState.RUNNING],
        quarantines=[
            QuarantineStatus(
                service=item.service, version=item.version, reason=item.reason
            )
            for item in quarantines
        ],
        controller=_controller_status(lease),
        rejected=_rejected_status(rejected),
    )


def _member_status(record: MemberRecord, newest_revision: int) -> MemberStatus:
    # A member that is not running cannot enforce newer versions, so it is not
    # counted as lagging.
    running = record.state in RUNNING_STATES
    return MemberStatus(
        address=record.address,
        failure_domain=record.failure_domain,
        region=record.region,
        state=record.state.value,
        enforced_revision=record.enforced_revision,
        lag_revisions=newest_revision - record.enforced_revision if running else 0,
        targets=[
            TargetStatus(
                service=target.service,
                version=target.version,
                address=target.address,
                state=target.state.value,
            )
            for target in record.targets
        ],
    )


def list_exceptions(fleet: Fleet) -> list[ExceptionStatus]:
    """Return the exceptions of a configuration with their reasons."""
    return [
        ExceptionStatus(
            name=item.name,
            service=item.service,
            route=item.route,
            setting=item.setting.value,
            value=item.value,
            reason=item.reason,
        )
        for item in fleet.exceptions
    ]


def _split_statuses(fleet: Fleet) -> list[SplitStatus]:
    return [
        SplitStatus(
            service=service.name,
            versions=[
                VersionShare(version=weight.version, percent=weight.percent)
                for weight in service.split
            ],
        )
        for service in fleet.services
        if service.split
    ]


def _move_status(move: Move) -> MoveStatus:
    return MoveStatus(
        service=move.service,
        version=move.version,
        old_version=move.old_version,
        percent=move.percent,
        deadline_ms=move.deadline_ms,
        operator=move.operator,
    )


def _controller_status(lease: Lease | None) -> ControllerStatus | None:
    if lease is None:
        return None
    return ControllerStatus(address=lease.holder, epoch=lease.epoch)


def _rejected_status(rejected: SnapshotRejected | None) -> RejectedStatus | None:
    if rejected is None:
        return None
    return RejectedStatus(revision=rejected.revision, reason=rejected.reason)
