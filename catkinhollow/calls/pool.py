"""Group the targets of one service by version and distance."""

import math
from collections.abc import Collection, Iterable

from attrs import define, field, frozen

from catkinhollow.calls.directory import TargetEntry
from catkinhollow.calls.targets import Sample
from catkinhollow.generated.fleet import VersionWeight
from catkinhollow.generated.messages import TargetState

# A slow start of 5 s advances by 1 % in this time.
REFRESH_INTERVAL_S = 0.05
BAD_SAMPLE_WEIGHT = 0.02
# In a service without bad samples, five in a row mark a target as cold.
MIN_BAD_SAMPLE_RATE = 0.05

# Each attempt moves the observed shares by this fraction, so that they follow
# about the last 100 attempts of this daemon.
SHARE_STEP = 0.01
# Two attempts above the weight; a smaller margin would hold back a version
# that is at its weight.
OVERFLOW_MARGIN = 0.02
# A version below this weight is a canary and gets no overflow at all.
CANARY_PERCENT = 10.0

_BAD_SAMPLES = (Sample.REFUSED, Sample.SLOW, Sample.FAILED, Sample.UNREACHABLE)


@frozen(kw_only=True)
class Location:
    """Represent where this ingress daemon runs."""

    failure_domain: str
    region: str


@frozen(kw_only=True)
class PoolSettings:
    """Configure how a service's targets are grouped and ejected."""

    split: list[VersionWeight]
    failure_domains_out: frozenset[str]
    quarantined: frozenset[str]
    max_ejected_percent: float
    local_preference: bool


@frozen(kw_only=True)
class VersionGroup:
    """Represent a version's targets and share, the nearest tier first."""

    version: str
    percent: float
    tiers: list[list[TargetEntry]]

    @property
    def entries(self) -> list[TargetEntry]:
        """Return the targets of every tier."""
        return [entry for tier in self.tiers for entry in tier]


@define(kw_only=True, eq=False)
class ServicePool:
    """Represent the targets of a service that may get calls now."""

    location: Location
    settings: PoolSettings
    groups: list[VersionGroup] = field(factory=list, init=False)
    entries: list[TargetEntry] = field(factory=list, init=False)
    capacity: float = field(default=0.0, init=False)
    bad_sample_rate: float = field(default=MIN_BAD_SAMPLE_RATE, init=False)
    _first_version: str = field(default="", init=False)
    _shares: dict[str, float] = field(factory=dict, init=False)
    _refresh_at_s: float = field(default=-math.inf, init=False)

    def rebuild(self, usable: Iterable[TargetEntry], now_s: float) -> None:
        """Group the usable targets by version and distance."""
        settings = self.settings
        self.groups = self._find_groups(
            [
                entry
                for entry in usable
                if entry.failure_domain not in settings.failure_domains_out
                and entry.record.version not in settings.quarantined
            ]
        )
        self.entries = [entry for group in self.groups for entry in group.entries]
        self._first_version = _first_version(self.entries)
        self._shares = {
            group.version: self._shares.get(group.version, self._weight(group))
            for group in self.groups
        }
        self._apply_announced_failures(now_s)
        self._enforce_ejection_bound(now_s)
        self._refresh_at_s = -math.inf
        self.refresh(now_s)

    def refresh(self, now_s: float) -> None:
        """Update limits and the capacity, at most every 50 ms."""
        if now_s < self._refresh_at_s:
            return
        self._refresh_at_s = now_s + REFRESH_INTERVAL_S
        for entry in self.entries:
            if entry.stats.changes_with_time:
                entry.stats.refresh(now_s)
        self.capacity = float(sum(entry.stats.limit for entry in self.entries))

    def accepts_overflow(self, group: VersionGroup) -> bool:
        """Return whether a version may get calls drawn for another version.

        The version that started first accepts all; a later one may be faulty.
        """
        if group.version == self._first_version:
            return True
        if group.percent < CANARY_PERCENT:
            return False
        share = self._shares[group.version] + SHARE_STEP
        return share <= self._weight(group) + OVERFLOW_MARGIN

    def count_send(self, version: str) -> None:
        """Count an attempt in the observed shares of the versions."""
        if len(self.groups) > 1:
            for name, share in self._shares.items():
                self._shares[name] += SHARE_STEP * ((name == version) - share)

    def record_sample(self, entry: TargetEntry, sample: Sample, now_s: float) -> None:
        """Record a sample that the target's statistics already include."""
        if sample is not Sample.IGNORED:
            is_bad = sample in _BAD_SAMPLES
            rate = self.bad_sample_rate + BAD_SAMPLE_WEIGHT * (
                is_bad - self.bad_sample_rate
            )
            self.bad_sample_rate = max(MIN_BAD_SAMPLE_RATE, rate)
        stats = entry.stats
        if not stats.needs_ejection or stats.ejected_until_s > now_s:
            return
        for group in self.groups:
            if entry in group.entries and self._may_eject(group, now_s):
                stats.eject(now_s)

    def ejected(self, now_s: float) -> list[TargetEntry]:
        """Return the targets that are ejected because of failures."""
        return [entry for entry in self.entries if _is_ejected(entry, now_s)]

    def _weight(self, group: VersionGroup) -> float:
        return group.percent / sum(other.percent for other in self.groups)

    def _ejection_bound(self, group: VersionGroup) -> int:
        # The bound holds for each version, because a service is as good as
        # empty when all targets of its main version are ejected.
        return int(len(group.entries) * self.settings.max_ejected_percent / 100)

    def _may_eject(self, group: VersionGroup, now_s: float) -> bool:
        ejected = sum(_is_ejected(entry, now_s) for entry in group.entries)
        return ejected < self._ejection_bound(group)

    def _apply_announced_failures(self, now_s: float) -> None:
        # The announced health of a target may be late or wrong, so it counts
        # only within the bound on ejections.
        for group in self.groups:
            for entry in group.entries:
                held = entry.stats.ejected_until_s == math.inf
                failed = entry.record.state is TargetState.FAILED
                if held and not failed:
                    entry.stats.readmit(now_s)
                elif failed and not held and self._may_eject(group, now_s):
                    entry.stats.eject_until(math.inf, now_s)

    def _enforce_ejection_bound(self, now_s: float) -> None:
        for group in self.groups:
            ejected = [item for item in group.entries if _is_ejected(item, now_s)]
            ejected.sort(key=lambda entry: entry.stats.ejected_until_s)
            surplus = len(ejected) - self._ejection_bound(group)
            for entry in ejected[: max(0, surplus)]:
                entry.stats.readmit(now_s)

    def _find_groups(self, entries: list[TargetEntry]) -> list[VersionGroup]:
        by_version: dict[str, list[TargetEntry]] = {}
        for entry in entries:
            by_version.setdefault(entry.record.version, []).append(entry)
        if not self.settings.split and entries:
            # A version that is started beside the first one gets no calls
            # until a move sets a split.
            first = _first_version(entries)
            return [self._group(first, 100.0, by_version[first])]
        quarantined = self.settings.quarantined
        weights = [weight for weight in self.settings.split if weight.percent > 0]
        weights = [item for item in weights if item.version not in quarantined]
        if not weights:
            # With every version of the split quarantined, any other version is
            # better than no service.
            return [self._group("", 100.0, entries)] if entries else []
        return [
            self._group(weight.version, weight.percent, by_version[weight.version])
            for weight in weights
            if weight.version in by_version
        ]

    def _group(
        self, version: str, percent: float, entries: Collection[TargetEntry]
    ) -> VersionGroup:
        if not self.settings.local_preference:
            return VersionGroup(version=version, percent=percent, tiers=[list(entries)])
        tiers: list[list[TargetEntry]] = [[], [], []]
        for entry in entries:
            tiers[self._distance(entry)].append(entry)
        used = [tier for tier in tiers if tier]
        return VersionGroup(version=version, percent=percent, tiers=used)

    def _distance(self, entry: TargetEntry) -> int:
        if entry.failure_domain == self.location.failure_domain:
            return 0
        return 1 if entry.region == self.location.region else 2


def _first_version(entries: Iterable[TargetEntry]) -> str:
    records = [entry.record for entry in entries]
    started = [(record.started_ms, record.version) for record in records]
    return min(started)[1] if started else ""


def _is_ejected(entry: TargetEntry, now_s: float) -> bool:
    return entry.stats.ejected_until_s > now_s
