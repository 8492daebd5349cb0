"""Fix the version of services that have never been moved."""

from collections.abc import Iterable, Mapping

from attrs import evolve, frozen
from expression import Ok, Result

from catkinhollow.configuration.editing import EditRefused
from catkinhollow.generated.fleet import Fleet, Service, VersionWeight
from catkinhollow.generated.messages import MemberRecord, MemberState, TargetRecord

_PRESENT = (MemberState.ALIVE, MemberState.SUSPECT)


def choose_initial_versions(
    fleet: Fleet, members: Iterable[MemberRecord]
) -> dict[str, str]:
    """Return the first started version of each service without a split."""
    open_services = {service.name for service in fleet.services if not service.split}
    first: dict[str, TargetRecord] = {}
    for member in members:
        if member.state not in _PRESENT:
            continue
        for target in member.targets:
            if target.service in open_services:
                known = first.get(target.service, target)
                first[target.service] = min(known, target, key=_start)
    return {service: target.version for service, target in first.items()}


def _start(target: TargetRecord) -> tuple[int, str]:
    return target.started_ms, target.version


@frozen
class SetInitialSplits:
    """Give services without a split all traffic to their first version.

    Without this a version that is only started for a later move would get
    traffic once the targets of the first version have been replaced.
    """

    versions: Mapping[str, str]
    may_create: bool = False

    def edit(self, stored: Fleet) -> Result[Fleet, EditRefused]:
        """Return the configuration with the missing splits."""
        services = [self._with_split(service) for service in stored.services]
        return Ok(evolve(stored, services=services))

    def can_reapply(self, before: Fleet, now: Fleet) -> bool:
        """Allow every other change, as a split that is there is kept."""
        return True

    def _with_split(self, service: Service) -> Service:
        version = self.versions.get(service.name)
        if service.split or version is None:
            return service
        weight = VersionWeight(version=version, percent=100.0)
        return evolve(service, split=[weight])
