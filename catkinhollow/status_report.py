"""Format a daemon's status as text lines and tables."""

from collections import Counter
from collections.abc import Iterable
from datetime import UTC, datetime

from attrs import frozen

from catkinhollow.generated.status import (
    DaemonStatus,
    ExceptionStatus,
    MemberStatus,
    SplitStatus,
)

MS_PER_S = 1000
MAX_LISTED_MEMBERS = 20
RUNNING_STATES = ("alive", "suspect")


@frozen(kw_only=True)
class Table:
    """Represent one table of text cells."""

    title: str
    headers: list[str]
    rows: list[list[str]]


def summarize(status: DaemonStatus) -> list[tuple[str, str]]:
    """Summarize the state of the fleet in labelled lines."""
    lines = [
        ("daemon", f"{status.address} {'ready' if status.ready else 'NOT READY'}"),
        ("place", f"failure domain {status.failure_domain}, region {status.region}"),
        ("configuration", _describe_revision(status)),
        ("members", _count_states(status.members)),
        ("controller", _describe_controller(status)),
        ("domains out", ", ".join(status.failure_domains_out) or "none"),
    ]
    if status.rejected:
        rejected = status.rejected
        lines.append(
            ("last rejected", f"revision {rejected.revision}: {rejected.reason}")
        )
    return lines


def build_tables(status: DaemonStatus) -> list[Table]:
    """Return the tables of the status that have rows."""
    tables = [
        _build_domain_table(status),
        _build_member_table(status.members),
        _build_move_table(status),
        _build_split_table(status.splits),
        _build_quarantine_table(status),
        build_exception_table(status.exceptions),
    ]
    return [table for table in tables if table.rows]


def build_exception_table(exceptions: Iterable[ExceptionStatus]) -> Table:
    """Return a table of the exceptions with their reasons."""
    return Table(
        title="exceptions",
        headers=["name", "scope", "setting", "value", "reason"],
        rows=[
            [
                item.name,
                describe_scope(item.service, item.route),
                item.setting,
                f"{item.value:g}",
                item.reason,
            ]
            for item in exceptions
        ],
    )


def describe_scope(service: str, route: str) -> str:
    """Return the service and route that an exception applies to."""
    parts = [
        f"service {service}" if service else "",
        f"route {route}" if route else "",
    ]
    return ", ".join(part for part in parts if part)


def _describe_revision(status: DaemonStatus) -> str:
    enforced = f"revision {status.enforced_revision} enforced"
    if not status.enforced_revision:
        enforced = "none enforced"
    if status.enforced_revision == status.newest_revision:
        return f"{enforced}, the newest known"
    return f"{enforced}, newest known {status.newest_revision}"


def _count_states(members: list[MemberStatus]) -> str:
    states = Counter(member.state for member in members)
    lagging = sum(1 for member in members if member.lag_revisions)
    counts = [f"{count} {state}" for state, count in sorted(states.items())]
    return ", ".join([*counts, f"{lagging} lagging"])


def _describe_controller(status: DaemonStatus) -> str:
    if status.controller is None:
        return "none known"
    address, epoch = status.controller.address, status.controller.epoch
    return f"{address}, epoch {epoch}" if epoch else f"{address}, by election"


def _build_domain_table(status: DaemonStatus) -> Table:
    domains = sorted({member.failure_domain for member in status.members})
    return Table(
        title="failure domains",
        headers=["name", "service", "running", "lagging", "ready targets", "others"],
        rows=[
            _build_domain_row(
                domain,
                "OUT" if domain in status.failure_domains_out else "in",
                [item for item in status.members if item.failure_domain == domain],
            )
            for domain in domains
        ],
    )


def _build_domain_row(
    domain: str, service_state: str, members: list[MemberStatus]
) -> list[str]:
    running = [member for member in members if member.state in RUNNING_STATES]
    targets = Counter(target.state for member in running for target in member.targets)
    others = [
        f"{count} {state}"
        for state, count in sorted(targets.items())
        if state != "ready"
    ]
    return [
        domain,
        service_state,
        f"{len(running)} of {len(members)}",
        str(sum(1 for member in members if member.lag_revisions)),
        str(targets["ready"]),
        ", ".join(others),
    ]


def _build_member_table(members: list[MemberStatus]) -> Table:
    """Return a table of members that need attention, largest lag first."""
    listed = [item for item in members if item.state != "alive" or item.lag_revisions]
    listed.sort(key=lambda member: (-member.lag_revisions, member.address))
    title = "members not alive or lagging"
    if len(listed) > MAX_LISTED_MEMBERS:
        title += f" (first {MAX_LISTED_MEMBERS} of {len(listed)})"
    return Table(
        title=title,
        headers=["address", "failure domain", "state", "revision", "lag"],
        rows=[
            [
                member.address,
                member.failure_domain,
                member.state,
                str(member.enforced_revision),
                str(member.lag_revisions),
            ]
            for member in listed[:MAX_LISTED_MEMBERS]
        ],
    )


def _build_move_table(status: DaemonStatus) -> Table:
    return Table(
        title="running moves",
        headers=["service", "from", "to", "percent", "deadline", "operator"],
        rows=[
            [
                move.service,
                move.old_version,
                move.version,
                f"{move.percent:g}",
                _format_time(move.deadline_ms),
                move.operator,
            ]
            for move in status.moves
        ],
    )


def _build_split_table(splits: Iterable[SplitStatus]) -> Table:
    return Table(
        title="version splits",
        headers=["service", "version", "percent"],
        rows=[
            [split.service, share.version, f"{share.percent:g}"]
            for split in splits
            for share in split.versions
        ],
    )


def _build_quarantine_table(status: DaemonStatus) -> Table:
    return Table(
        title="quarantined versions",
        headers=["service", "version", "reason"],
        rows=[[item.service, item.version, item.reason] for item in status.quarantines],
    )


def _format_time(unix_ms: int) -> str:
    time = datetime.fromtimestamp(unix_ms / MS_PER_S, UTC)
    return time.isoformat(sep=" ", timespec="seconds")
