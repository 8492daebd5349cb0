"""Set the split of services that have never been moved."""

from collections.abc import Iterable, Mapping

from attrs import evolve, frozen
from expression import Ok, Result

from catkinhollow.configuration.editing import EditRefused
from catkinhollow.generated.fleet import Fleet, Service, VersionWeight
from catkinhollow.generated.messages import MemberRecord, MemberState, TargetRecord

_PRESENT_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


def choose_initial_versions(
    fleet: Fleet, members: Iterable[MemberRecord]
) -> dict[str, str]:
    """Return the earliest started version of each service without a split."""
    unsplit_services = {service.name for service in fleet.services if not service.split}
    earliest: dict[str, TargetRecord] = {}
    for member in members:
        if member.state not in _PRESENT_STATES:
            continue
        for target in member.targets:
            if target.service in unsplit_services:
                known = earliest.get(target.service, target)
                earliest[target.service] = min(known, target, key=_start_key)
    return {service: target.version for service, target in earliest.items()}


def _start_key(target: TargetRecord) -> tuple[int, str]:
    return target.started_ms, target.version


@frozen
class SetInitialSplits:
    """Route all traffic of services without a split to their first version.

    Without a split, a version started only for a later move would get
    traffic as soon as the targets of the first version have been replaced.
    """

    versions: Mapping[str, str]
    may_create: bool = False

    def edit(self, stored: Fleet) -> Result[Fleet, EditRefused]:
        """Return the configuration with the missing splits added."""
        services = [self._with_split(service) for service in stored.services]
        return Ok(evolve(stored, services=services))

    def can_reapply(self, before: Fleet, now: Fleet) -> bool:
        """Accept every concurrent change; existing splits are kept."""
        return True

    def _with_split(self, service: Service) -> Service:
        version = self.versions.get(service.name)
        if service.split or version is None:
            return service
        weight = VersionWeight(version=version, percent=100.0)
        return evolve(service, split=[weight])
