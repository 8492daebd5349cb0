"""Find what is wrong with a configuration version."""

from catkinhollow.generated.relay import RelayConfiguration, RelayRoute


def find_fault(configuration: RelayConfiguration, known_version: int) -> str:
    """Return why a version must not come into force, "" if it may."""
    if configuration.version < known_version:
        return f"version {configuration.version} is older than {known_version}"
    services = {service.name for service in configuration.services}
    for route in configuration.routes:
        fault = _route_fault(route, services)
        if fault:
            return f"route {route.name}: {fault}"
    return ""


def _route_fault(route: RelayRoute, services: set[str]) -> str:
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        return f"prefix {prefix!r} does not begin and end with a slash"
    names = [part.service for part in route.split] or [route.service]
    for name in names:
        if name not in services:
            return f"unknown service {name!r}"
    if route.split and not any(part.weight > 0 for part in route.split):
        return "no part of the split has a weight"
    return ""
