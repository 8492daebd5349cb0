"""Define the edits that commands make to the fleet configuration."""

from collections.abc import Iterable, Iterator
from typing import Any, Protocol

from attrs import asdict, evolve, fields, frozen
from expression import Error, Ok, Result

from catkinhollow.generated.fleet import Defaults, Fleet


@frozen(kw_only=True)
class EditRefused:
    """Report an edit that cannot be applied."""

    reason: str


class FleetEdit(Protocol):
    """Derive a new configuration from the stored one."""

    @property
    def may_create(self) -> bool:
        """Return whether the edit may write the first configuration."""

    def edit(self, stored: Fleet) -> Result[Fleet, EditRefused]:
        """Return the edited configuration."""

    def can_reapply(self, before: Fleet, now: Fleet) -> bool:
        """Return whether the edit may be repeated after a concurrent change.

        before is the configuration read at the first attempt, now the one that
        other writers have stored since then.
        """


@frozen
class ApplyFiles:
    """Replace what files define; keep splits and failure_domains_out."""

    files: Fleet
    may_create: bool = True

    def edit(self, stored: Fleet) -> Result[Fleet, EditRefused]:
        """Combine the files with the stored splits and failure_domains_out."""
        splits = {service.name: service.split for service in stored.services}
        edited = evolve(
            self.files,
            services=[
                evolve(service, split=splits.get(service.name, []))
                for service in self.files.services
            ],
            failure_domains_out=stored.failure_domains_out,
        )
        return Ok(edited)

    def can_reapply(self, before: Fleet, now: Fleet) -> bool:
        """Accept concurrent changes of splits and failure_domains_out only."""
        return _without_runtime_state(before) == _without_runtime_state(now)


@frozen
class TakeDomainOut:
    """Take a failure domain out of service.

    known_domains are the failure domains that have members. Without force, the
    edit is refused if it would leave none of them in service; if no domain is
    known, it is not refused.
    """

    name: str
    known_domains: frozenset[str] = frozenset()
    force: bool = False
    may_create: bool = False

    def edit(self, stored: Fleet) -> Result[Fleet, EditRefused]:
        """Return the configuration with the failure domain out of service."""
        out = stored.failure_domains_out
        if self.name in out:
            return Ok(stored)
        remaining = self.known_domains - {*out, self.name}
        if self.known_domains and not remaining and not self.force:
            reason = f"no failure domain would be left in service without {self.name}"
            return Error(EditRefused(reason=f"{reason}; --force takes it out anyway"))
        return Ok(evolve(stored, failure_domains_out=[*out, self.name]))

    def can_reapply(self, before: Fleet, now: Fleet) -> bool:
        """Accept every concurrent change; this edit is independent of it."""
        return True


@frozen
class ReturnDomain:
    """Return a failure domain to service."""

    name: str
    may_create: bool = False

    def edit(self, stored: Fleet) -> Result[Fleet, EditRefused]:
        """Return the configuration with the failure domain in service."""
        out = [name for name in stored.failure_domains_out if name != self.name]
        return Ok(evolve(stored, failure_domains_out=out))

    def can_reapply(self, before: Fleet, now: Fleet) -> bool:
        """Accept every concurrent change; this edit is independent of it."""
        return True


def _without_runtime_state(fleet: Fleet) -> Fleet:
    """Return the configuration without splits and failure_domains_out.

    Moves and operators set these while the fleet runs.
    """
    return evolve(
        fleet,
        services=[evolve(service, split=[]) for service in fleet.services],
        failure_domains_out=[],
    )


def list_changes(before: Fleet, after: Fleet) -> list[str]:
    """Return one line of text for each difference."""
    return [
        *_default_changes(before.defaults, after.defaults),
        *_entry_changes("service", before.services, after.services),
        *_entry_changes("route", before.routes, after.routes),
        *_entry_changes("exception", before.exceptions, after.exceptions),
        *_domain_changes(before.failure_domains_out, after.failure_domains_out),
    ]


def _default_changes(before: Defaults, after: Defaults) -> Iterator[str]:
    old, new = _flatten(asdict(before)), _flatten(asdict(after))
    for name, value in new.items():
        if old[name] != value:
            yield f"default {name}: {old[name]} -> {value}"


def _flatten(values: dict[str, Any]) -> dict[str, Any]:
    flat: dict[str, Any] = {}
    for name, value in values.items():
        flat.update(_flatten(value) if isinstance(value, dict) else {name: value})
    return flat


def _entry_changes(
    kind: str, before: Iterable[Any], after: Iterable[Any]
) -> Iterator[str]:
    old = {entry.name: entry for entry in before}
    new = {entry.name: entry for entry in after}
    for name, entry in new.items():
        if name not in old:
            yield f"{kind} {name}: added"
        elif old[name] != entry:
            differing = (
                item.name
                for item in fields(type(entry))
                if getattr(old[name], item.name) != getattr(entry, item.name)
            )
            yield f"{kind} {name}: changed {', '.join(differing)}"
    for name in old:
        if name not in new:
            yield f"{kind} {name}: removed"
    if old.keys() == new.keys() and list(old) != list(new):
        yield f"{kind}s: in another order"


def _domain_changes(before: list[str], after: list[str]) -> Iterator[str]:
    for name in after:
        if name not in before:
            yield f"failure domain {name}: out of service"
    for name in before:
        if name not in after:
            yield f"failure domain {name}: returned to service"
