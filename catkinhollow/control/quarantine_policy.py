"""Decide which quarantines apply to the current split."""

from collections.abc import Iterable

from attrs import frozen

from catkinhollow.generated.fleet import Fleet
from catkinhollow.generated.messages import Quarantine

# Service and version.
VersionKey = tuple[str, str]


@frozen(kw_only=True)
class QuarantineChanges:
    """Describe the versions that the router has to block or unblock."""

    added: frozenset[VersionKey]
    lifted: frozenset[VersionKey]


class QuarantinePolicy:
    """Apply each quarantine until a later move to the same version starts."""

    def __init__(self) -> None:
        self._applied: frozenset[VersionKey] = frozenset()

    def update(
        self, fleet: Fleet, quarantines: Iterable[Quarantine]
    ) -> QuarantineChanges:
        """Return the changes since the last update."""
        move_started_ms_of = {
            (service.name, weight.version): weight.move_started_ms
            for service in fleet.services
            for weight in service.split
        }
        effective = frozenset(
            key
            for quarantine in quarantines
            if quarantine.move_started_ms
            >= move_started_ms_of.get(
                key := (quarantine.service, quarantine.version), 0
            )
        )
        changes = QuarantineChanges(
            added=effective - self._applied, lifted=self._applied - effective
        )
        self._applied = effective
        return changes
