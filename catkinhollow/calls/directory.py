"""Index the known targets by service."""

from collections import defaultdict
from collections.abc import Iterable
from random import Random

from attrs import define, frozen

from catkinhollow.calls.targets import TargetLimits, TargetStats
from catkinhollow.generated.messages import (
    MemberRecord,
    MemberState,
    TargetRecord,
    TargetState,
)

_ROUTABLE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)
# Apply until the service is configured; no call uses them.
_INITIAL_LIMITS = TargetLimits(slow_start_s=10.0, max_in_flight=10_000)


@frozen(kw_only=True)
class _Placement:
    """Represent one target and the member that announces it."""

    member: MemberRecord
    record: TargetRecord
    usable: bool

    @property
    def rank(self) -> tuple[bool, int]:
        """Return the precedence among members with the same target address."""
        return self.usable, self.member.incarnation


@define(kw_only=True, eq=False)
class TargetEntry:
    """Represent one known target, its location and its statistics."""

    record: TargetRecord
    failure_domain: str
    region: str
    started_s: float
    stats: TargetStats
    usable: bool = True


class TargetDirectory:
    """Index all targets; statistics survive updates of their records."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._services: dict[str, dict[str, TargetEntry]] = defaultdict(dict)
        self._limits: dict[str, TargetLimits] = {}
        self._members: dict[str, MemberRecord] = {}

    def usable(self, service: str) -> list[TargetEntry]:
        """Return the targets of a service that may get calls."""
        entries = self._services.get(service, {})
        return [entry for entry in entries.values() if entry.usable]

    def configure(self, service: str, limits: TargetLimits, now_s: float) -> None:
        """Set the limits of all current and later targets of a service."""
        first = service not in self._limits
        self._limits[service] = limits
        for entry in self._services.get(service, {}).values():
            entry.stats.configure(entry.record.slots, limits, now_s)
            if first:
                entry.stats.restart(entry.started_s, now_s)

    def update(
        self, members: Iterable[MemberRecord], now_s: float, unix_ms: int
    ) -> set[str]:
        """Apply the whole member table; return the services that changed."""
        affected = self._replace_members({item.address: item for item in members})
        if not affected:
            return set()
        placements = _find_placements(self._members.values(), affected)
        changed = self._drop_missing(placements, affected)
        for (service, address), placement in placements.items():
            # A target must not count as just started indefinitely because its
            # clock is ahead. A clock that is behind looks like a higher age.
            age_s = max(0.0, (unix_ms - placement.record.started_ms) / 1000)
            entry = self._services[service].get(address)
            if entry is None:
                self._add(placement, now_s - age_s, now_s)
                changed.add(service)
            elif self._change(entry, placement, now_s - age_s, now_s):
                changed.add(service)
        return changed

    def _replace_members(self, members: dict[str, MemberRecord]) -> set[str]:
        # Most updates change few of 1,400 records. Only the services of the
        # changed records are updated, so that an update does not delay calls.
        old = self._members
        records = [
            record
            for address, record in members.items()
            if old.get(address) is not record
        ]
        records += [old[address] for address in old.keys() - members.keys()]
        records += [old[item.address] for item in records if item.address in old]
        self._members = members
        return {target.service for record in records for target in record.targets}

    def _drop_missing(
        self, placements: dict[tuple[str, str], _Placement], services: set[str]
    ) -> set[str]:
        changed = set()
        for service in services:
            entries = self._services[service]
            for address in [key for key in entries if (service, key) not in placements]:
                entry = entries[address]
                if entry.usable:
                    changed.add(service)
                entry.usable = False
                if not entry.stats.in_flight:
                    del entries[address]
        return changed

    def _add(self, placement: _Placement, started_s: float, now_s: float) -> None:
        record = placement.record
        stats = TargetStats(
            slots=record.slots,
            limits=self._limits.get(record.service, _INITIAL_LIMITS),
            first_call_jitter=self._random.random(),
        )
        stats.restart(started_s, now_s)
        self._services[record.service][record.address] = TargetEntry(
            record=record,
            failure_domain=placement.member.failure_domain,
            region=placement.member.region,
            started_s=started_s,
            stats=stats,
            usable=placement.usable,
        )

    def _change(
        self,
        entry: TargetEntry,
        placement: _Placement,
        started_s: float,
        now_s: float,
    ) -> bool:
        old = (entry.record, entry.failure_domain, entry.region, entry.usable)
        member, record = placement.member, placement.record
        new = (record, member.failure_domain, member.region, placement.usable)
        if old == new:
            return False
        restarted = record.started_ms != entry.record.started_ms
        entry.record, entry.failure_domain, entry.region, entry.usable = new
        entry.stats.configure(record.slots, entry.stats.limits, now_s)
        if restarted:
            entry.started_s = started_s
            entry.stats.restart(started_s, now_s)
        return True


def _find_placements(
    members: Iterable[MemberRecord], services: set[str]
) -> dict[tuple[str, str], _Placement]:
    placements: dict[tuple[str, str], _Placement] = {}
    for member in members:
        routable = member.state in _ROUTABLE_STATES
        for record in member.targets:
            if record.service not in services:
                continue
            usable = routable and record.state is not TargetState.DRAINING
            placement = _Placement(member=member, record=record, usable=usable)
            key = (record.service, record.address)
            known = placements.get(key)
            if known is None or placement.rank > known.rank:
                placements[key] = placement
    return placements
