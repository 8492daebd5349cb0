"""Find what is wrong or doubtful in a configuration before it is sent.

Errors are what the daemons would refuse. Warnings are entries that can never
match a request and limits that contradict each other; daemons accept them.
"""

from collections.abc import Iterator
from enum import StrEnum
from typing import TypeAlias

from attrs import evolve, fields, frozen

from catkinhollow.generated.relay import (
    Organisation,
    RelayConfiguration,
    RelayRoute,
    RelayService,
    RequestLimits,
)
from catkinhollow.relay.documents.configuration_check import find_route_error
from catkinhollow.relay.organisations.keys import find_organisation_error

ConfigurationPath: TypeAlias = tuple[str | int, ...]
Entry: TypeAlias = RelayRoute | RelayService | RequestLimits


class Severity(StrEnum):
    """Tell whether daemons refuse the configuration because of a finding."""

    ERROR = "error"
    WARNING = "warning"


@frozen(kw_only=True)
class Finding:
    """Report one entry of a configuration."""

    severity: Severity
    path: ConfigurationPath
    reason: str


@frozen(kw_only=True)
class Difference:
    """Report one difference from the version in force."""

    section: str
    name: str
    field: str = ""
    """Changed field, "" if the whole entry was added or removed."""
    before: str = ""
    after: str = ""

    def __str__(self) -> str:
        """Return the difference as one line of text."""
        if not self.field:
            return f"{self.section} {self.name}: {self.after or self.before}"
        return f"{self.section} {self.name}: {self.field} {self.before} -> {self.after}"


def review_configuration(configuration: RelayConfiguration) -> list[Finding]:
    """Return all findings of a configuration that fits its schema."""
    return [
        *_review_routes(configuration),
        *_review_services(configuration),
        *_review_organisations(configuration),
        *_review_limits(configuration.limits),
    ]


def compare_configurations(
    before: RelayConfiguration, after: RelayConfiguration
) -> list[Difference]:
    """Return what a version changes by route, service and limit."""
    return [
        *_compare_entries(
            "route",
            {route.name: route for route in before.routes},
            {route.name: route for route in after.routes},
        ),
        *_compare_entries(
            "service",
            {service.name: service for service in before.services},
            {service.name: service for service in after.services},
        ),
        *_compare_organisations(before.organisations, after.organisations),
        *_compare_fields("limits", "of requests", before.limits, after.limits),
    ]


def review_version(
    before: RelayConfiguration, after: RelayConfiguration
) -> list[Finding]:
    """Return why the version in force would not be replaced."""
    if after.version > before.version:
        return []
    reason = f"{after.version} is not newer than {before.version}, which is in force"
    return [_error(("version",), reason)]


def _review_routes(configuration: RelayConfiguration) -> Iterator[Finding]:
    services = {service.name for service in configuration.services}
    names: set[str] = set()
    places: dict[tuple[str, str], str] = {}
    for index, route in enumerate(configuration.routes):
        path = ("routes", index)
        reason = find_route_error(route, services)
        if reason:
            yield _error(path, reason)
        if route.name in names:
            yield _error((*path, "name"), f"the name {route.name!r} is used twice")
        names.add(route.name)
        # Hosts are compared without regard to case, and the last route wins.
        place = (route.host.lower(), route.path_prefix)
        if place in places:
            reason = f"replaces route {places[place]!r}, which never matches"
            yield _warning(path, reason)
        places[place] = route.name
        yield from _review_match(route, path)
        yield from _review_split(route, path)
        yield from _review_times(route, path)


def _review_match(route: RelayRoute, path: ConfigurationPath) -> Iterator[Finding]:
    if not route.host:
        yield _warning((*path, "host"), "never matches: the host is empty")
    elif ":" in route.host:
        reason = "never matches: requests are compared without their port"
        yield _warning((*path, "host"), reason)
    elif not route.host.isascii() or " " in route.host:
        yield _warning((*path, "host"), "never matches: not a host name")
    prefix = route.path_prefix
    if "?" in prefix or "#" in prefix:
        reason = "never matches: requests are compared without their query"
        yield _warning((*path, "path_prefix"), reason)
    elif " " in prefix or not prefix.isascii():
        reason = "never matches: paths arrive percent-encoded"
        yield _warning((*path, "path_prefix"), reason)


def _review_split(route: RelayRoute, path: ConfigurationPath) -> Iterator[Finding]:
    seen: set[str] = set()
    for position, part in enumerate(route.split):
        part_path = (*path, "split", position)
        if part.weight == 0:
            yield _warning(part_path, f"{part.service!r} gets no requests: weight 0")
        if part.service in seen:
            yield _warning(part_path, f"{part.service!r} is listed twice")
        seen.add(part.service)
    if route.split and route.service:
        reason = f"{route.service!r} gets no requests: the split replaces it"
        yield _warning((*path, "service"), reason)


def _review_times(route: RelayRoute, path: ConfigurationPath) -> Iterator[Finding]:
    latency_ms, timeout_ms = route.target_latency_ms, route.timeout_ms
    if latency_ms > timeout_ms:
        reason = f"{latency_ms:g} ms is longer than timeout_ms, {timeout_ms:g} ms"
        yield _warning((*path, "target_latency_ms"), reason)
    elif route.max_attempts > 1 and route.max_attempts * latency_ms > timeout_ms:
        reason = (
            f"{route.max_attempts} attempts of {latency_ms:g} ms do not fit into"
            f" timeout_ms, {timeout_ms:g} ms"
        )
        yield _warning((*path, "max_attempts"), reason)


def _review_services(configuration: RelayConfiguration) -> Iterator[Finding]:
    used = {route.service for route in configuration.routes if not route.split}
    for route in configuration.routes:
        used.update(part.service for part in route.split if part.weight > 0)
    names: set[str] = set()
    for index, service in enumerate(configuration.services):
        path = ("services", index)
        if service.name in names:
            yield _error(path, f"the name {service.name!r} is used twice")
        names.add(service.name)
        if service.name not in used:
            yield _warning(path, f"no route leads to {service.name!r}")
        if service.cold_start_s > 0 and service.cold_requests_per_s == 0:
            reason = f"a cold target gets no requests for {service.cold_start_s:g} s"
            yield _warning((*path, "cold_requests_per_s"), reason)
        if not service.health_path.startswith("/"):
            yield _warning((*path, "health_path"), "does not start with a slash")


def _review_organisations(configuration: RelayConfiguration) -> Iterator[Finding]:
    reason = find_organisation_error(configuration.organisations)
    if reason:
        yield _error(("organisations",), reason)
    for index, organisation in enumerate(configuration.organisations):
        if not organisation.keys:
            reason = f"{organisation.name!r} has no key, so no request belongs to it"
            yield _warning(("organisations", index), reason)
    if not configuration.organisations:
        for index, route in enumerate(configuration.routes):
            if route.allow_anonymous:
                reason = "has no effect: there are no organisations"
                yield _warning(("routes", index, "allow_anonymous"), reason)


def _review_limits(limits: RequestLimits) -> Iterator[Finding]:
    if limits.header_timeout_ms > limits.idle_timeout_ms:
        reason = (
            f"{limits.header_timeout_ms} ms is longer than idle_timeout_ms,"
            f" {limits.idle_timeout_ms} ms"
        )
        yield _warning(("limits", "header_timeout_ms"), reason)


def _compare_organisations(
    before: list[Organisation], after: list[Organisation]
) -> Iterator[Difference]:
    """Compare organisations without showing their keys."""
    old = {item.name: item for item in before}
    new = {item.name: item for item in after}
    for name in sorted(old.keys() | new.keys()):
        difference = Difference(section="organisation", name=name)
        if name not in new:
            yield evolve(difference, before="removed")
        elif name not in old:
            yield evolve(difference, after="added")
        else:
            added = len(set(new[name].keys) - set(old[name].keys))
            removed = len(set(old[name].keys) - set(new[name].keys))
            if added or removed:
                changes = f"{added} added, {removed} removed"
                yield evolve(difference, after=f"keys: {changes}")
            if old[name].priority != new[name].priority:
                yield evolve(
                    difference,
                    field="priority",
                    before=str(old[name].priority),
                    after=str(new[name].priority),
                )


def _compare_entries(
    section: str, before: dict[str, Entry], after: dict[str, Entry]
) -> Iterator[Difference]:
    for name in sorted(before.keys() | after.keys()):
        if name not in after:
            yield Difference(section=section, name=name, before="removed")
        elif name not in before:
            yield Difference(section=section, name=name, after="added")
        else:
            yield from _compare_fields(section, name, before[name], after[name])


def _compare_fields(
    section: str, name: str, before: Entry, after: Entry
) -> Iterator[Difference]:
    for item in fields(type(after)):
        old, new = getattr(before, item.name), getattr(after, item.name)
        if old != new:
            yield Difference(
                section=section,
                name=name,
                field=item.name,
                before=_describe(old),
                after=_describe(new),
            )


def _describe(value: object) -> str:
    if isinstance(value, list):
        return ", ".join(f"{part.service}:{part.weight:g}" for part in value) or "none"
    return str(value)


def _error(path: ConfigurationPath, reason: str) -> Finding:
    return Finding(severity=Severity.ERROR, path=path, reason=reason)


def _warning(path: ConfigurationPath, reason: str) -> Finding:
    return Finding(severity=Severity.WARNING, path=path, reason=reason)
