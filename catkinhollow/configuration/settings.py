"""Read and validate the settings file of a daemon."""

from collections.abc import Iterator
from itertools import combinations
from pathlib import Path
from typing import Any

from attrs import frozen
from expression import Error, Ok, Result

from catkinhollow.codec import encode_json, from_plain, to_plain
from catkinhollow.configuration.documents import (
    Document,
    ValuePath,
    format_path,
    parse_path,
    read_document,
)
from catkinhollow.configuration.schema_check import find_schema_problems
from catkinhollow.errors import Problem
from catkinhollow.generated.settings import Address, Settings

WILDCARD_HOSTS = {"0.0.0.0", "::"}


@frozen(kw_only=True)
class SettingsFile:
    """Represent validated settings and the document they come from."""

    settings: Settings
    document: Document


@frozen(kw_only=True)
class EffectiveValue:
    """Represent one effective setting; origin is file:line or "default"."""

    path: str
    text: str
    origin: str


def load_settings(path: Path) -> Result[Settings, list[Problem]]:
    """Return the settings of a file, or all problems found in it."""
    return read_settings_file(path).map(lambda loaded: loaded.settings)


def read_settings_file(path: Path) -> Result[SettingsFile, list[Problem]]:
    """Return the settings of a file together with its document."""
    return read_document(path).bind(_validate_document)


def find_settings_problems(settings: Settings) -> Iterator[Problem]:
    """Yield the problems that the schema cannot express."""
    yield from _find_address_problems(settings)
    lease = settings.lease
    if lease.renew_interval_s >= lease.stop_deciding_s:
        yield Problem(
            path="lease.renew_interval_s",
            reason=f"{lease.renew_interval_s:g} s must be less than"
            f" stop_deciding_s, {lease.stop_deciding_s:g} s",
        )
    if lease.stop_deciding_s >= lease.takeover_s:
        yield Problem(
            path="lease.stop_deciding_s",
            reason=f"{lease.stop_deciding_s:g} s must be less than"
            f" takeover_s, {lease.takeover_s:g} s",
        )
    store = settings.store
    if store.retry_base_ms > store.retry_max_ms:
        yield Problem(
            path="store.retry_base_ms",
            reason=f"{store.retry_base_ms} is greater than"
            f" retry_max_ms, {store.retry_max_ms}",
        )


def _validate_document(document: Document) -> Result[SettingsFile, list[Problem]]:
    problems = find_schema_problems(document, "settings.yaml", "Settings")
    if problems:
        return Error(problems)
    decoded = from_plain(document.value, Settings)
    if decoded.is_error():
        return Error([document.problem((), decoded.error.reason)])
    problems = [
        document.problem(parse_path(problem.path), problem.reason)
        for problem in find_settings_problems(decoded.ok)
    ]
    if problems:
        return Error(problems)
    return Ok(SettingsFile(settings=decoded.ok, document=document))


def _find_address_problems(settings: Settings) -> Iterator[Problem]:
    listeners = {
        "traffic": settings.traffic,
        "admin": settings.admin,
        "peer": settings.peer,
    }
    for (name, first), (other_name, second) in combinations(listeners.items(), 2):
        if _conflicts_with(first, second):
            yield Problem(
                path=other_name,
                reason=f"{second.host}:{second.port} is also the address of '{name}'",
            )
    for name, listener in listeners.items():
        if listener == settings.store.address:
            yield Problem(
                path="store.address", reason=f"is also the address of '{name}'"
            )


def _conflicts_with(first: Address, second: Address) -> bool:
    same_host = first.host == second.host
    wildcard = bool(WILDCARD_HOSTS & {first.host, second.host})
    return first.port == second.port and (same_host or wildcard)


def list_values(loaded: SettingsFile) -> Iterator[EffectiveValue]:
    """Yield every effective value, set or default, with its origin."""
    for path, value in _iterate_leaves((), to_plain(loaded.settings)):
        is_set = path in loaded.document.lines
        location = f"{loaded.document.file}:{loaded.document.line_of(path)}"
        yield EffectiveValue(
            path=format_path(path),
            text=encode_json(value).decode(),
            origin=location if is_set else "default",
        )


def _iterate_leaves(path: ValuePath, value: Any) -> Iterator[tuple[ValuePath, Any]]:
    if isinstance(value, dict) and value:
        for key, item in value.items():
            yield from _iterate_leaves((*path, key), item)
    elif isinstance(value, list) and value:
        for index, item in enumerate(value):
            yield from _iterate_leaves((*path, index), item)
    else:
        yield path, value
