"""Validate the references and limits of a whole fleet configuration."""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from typing import get_args

from attrs import fields
from msgspec import Meta

from catkinhollow.errors import Problem
from catkinhollow.generated.fleet import (
    Defaults,
    Fleet,
    FleetException,
    RetryPolicy,
    Service,
)

FULL_SHARE_PERCENT = 100.0
SHARE_TOLERANCE_PERCENT = 0.001

# Type and bounds of each setting. The value of an exception must meet those of
# the default that it replaces.
SETTING_TYPES = {
    item.name: get_args(item.type)
    for item in (*fields(Defaults), *fields(RetryPolicy))
    if get_args(item.type)
}


def find_fleet_problems(fleet: Fleet) -> list[Problem]:
    """Return the problems that the schema cannot express."""
    return [
        *_find_duplicates("services", [service.name for service in fleet.services]),
        *_find_duplicates("routes", [route.name for route in fleet.routes]),
        *_find_duplicates("exceptions", [item.name for item in fleet.exceptions]),
        *_find_unknown_services(fleet),
        *_find_ambiguous_routes(fleet),
        *_find_exception_problems(fleet),
        *_find_share_problems(fleet.services),
        *_find_duplicates("failure_domains_out", fleet.failure_domains_out),
    ]


def _find_duplicates(section: str, names: Sequence[str]) -> Iterator[Problem]:
    counts = Counter(names)
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            yield Problem(
                path=f"{section}[{index}]",
                reason=f"'{name}' is listed {counts[name]} times",
            )
        seen.add(name)


def _find_unknown_services(fleet: Fleet) -> Iterator[Problem]:
    services = {service.name for service in fleet.services}
    for index, route in enumerate(fleet.routes):
        if route.service not in services:
            yield Problem(
                path=f"routes[{index}].service",
                reason=f"there is no service '{route.service}'",
            )


def _find_ambiguous_routes(fleet: Fleet) -> Iterator[Problem]:
    route_names: dict[tuple[str, str], str] = {}
    for index, route in enumerate(fleet.routes):
        for method in route.methods:
            first = route_names.setdefault((method, route.path_prefix), route.name)
            if first != route.name:
                yield Problem(
                    path=f"routes[{index}].path_prefix",
                    reason=f"{method} {route.path_prefix} belongs to route '{first}'",
                )


def _find_exception_problems(fleet: Fleet) -> Iterator[Problem]:
    services = {service.name for service in fleet.services}
    routes = {route.name for route in fleet.routes}
    seen: dict[tuple[str, str, str], str] = {}
    for index, item in enumerate(fleet.exceptions):
        path = f"exceptions[{index}]"
        if not item.service and not item.route:
            yield Problem(path=path, reason="names neither a service nor a route")
        if item.service and item.service not in services:
            yield Problem(
                path=f"{path}.service", reason=f"there is no service '{item.service}'"
            )
        if item.route and item.route not in routes:
            yield Problem(
                path=f"{path}.route", reason=f"there is no route '{item.route}'"
            )
        scope = (item.service, item.route, item.setting.value)
        first = seen.setdefault(scope, item.name)
        if first != item.name:
            yield Problem(
                path=path, reason=f"exception '{first}' already sets {item.setting}"
            )
        yield from _find_value_problems(f"{path}.value", item)


def _find_value_problems(path: str, item: FleetException) -> Iterator[Problem]:
    base_type, bounds = SETTING_TYPES[item.setting]
    assert isinstance(bounds, Meta)
    if base_type is int and item.value % 1:
        yield Problem(path=path, reason=f"{item.setting} must be a whole number")
    elif bounds.ge is not None and not item.value >= bounds.ge:
        yield Problem(path=path, reason=f"{item.value:g} is less than {bounds.ge:g}")
    elif bounds.le is not None and not item.value <= bounds.le:
        yield Problem(path=path, reason=f"{item.value:g} is greater than {bounds.le:g}")


def _find_share_problems(services: Iterable[Service]) -> Iterator[Problem]:
    for index, service in enumerate(services):
        path = f"services[{index}]"
        yield from _find_duplicates(
            f"{path}.backers", [b.name for b in service.backers]
        )
        yield from _find_duplicates(f"{path}.split", [w.version for w in service.split])
        shares = sum(backer.share_percent for backer in service.backers)
        if shares > FULL_SHARE_PERCENT + SHARE_TOLERANCE_PERCENT:
            yield Problem(
                path=f"{path}.backers", reason=f"shares add up to {shares:g} %"
            )
        total = sum(weight.percent for weight in service.split)
        if service.split and abs(total - FULL_SHARE_PERCENT) > SHARE_TOLERANCE_PERCENT:
            yield Problem(
                path=f"{path}.split", reason=f"percentages add up to {total:g}, not 100"
            )
