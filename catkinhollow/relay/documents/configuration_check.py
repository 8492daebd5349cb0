"""Validate configuration versions."""

from catkinhollow.generated.relay import RelayConfiguration, RelayRoute
from catkinhollow.relay.organisations.keys import find_organisation_error


def find_error(
    configuration: RelayConfiguration,
    known_version: int,
    valid: RelayConfiguration | None = None,
) -> str:
    """Return why a version must not be applied, "" if it is valid.

    Routes that are the same objects as in a version that is known to be valid
    are not checked again if their services still exist.
    """
    if configuration.version < known_version:
        return f"version {configuration.version} is older than {known_version}"
    services = {service.name for service in configuration.services}
    checked: set[int] = set()
    if valid is not None and services.issuperset(item.name for item in valid.services):
        checked = {id(route) for route in valid.routes}
    for route in configuration.routes:
        error = "" if id(route) in checked else find_route_error(route, services)
        if error:
            return f"route {route.name}: {error}"
    error = find_organisation_error(configuration.organisations)
    return f"organisation {error}" if error else ""


def find_route_error(route: RelayRoute, services: set[str]) -> str:
    """Return why daemons refuse a route, "" if they accept it."""
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        return f"prefix {prefix!r} does not start and end with a slash"
    names = [part.service for part in route.split] or [route.service]
    for name in names:
        if name not in services:
            return f"unknown service {name!r}"
    if route.split and not any(part.weight > 0 for part in route.split):
        return "no part of the split has a positive weight"
    return ""
