"""Read the fleet configuration from the files that operators write."""

from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path
from typing import Any

from attrs import define, field, frozen
from expression import Error, Ok, Result

from catkinhollow.codec import from_plain
from catkinhollow.configuration.documents import (
    Document,
    ValuePath,
    parse_path,
    read_document,
)
from catkinhollow.configuration.schema_check import find_schema_problems
from catkinhollow.configuration.validation import find_fleet_problems
from catkinhollow.errors import Problem
from catkinhollow.generated.fleet import Fleet

LIST_SECTIONS = ("services", "routes", "exceptions")


@frozen(kw_only=True)
class _Origin:
    """Represent the file and index that a merged list entry came from."""

    document: Document
    index: int


@define
class _MergedFiles:
    """Merge the sections of all files and track the origin of each entry."""

    value: dict[str, Any] = field(factory=dict)
    origins: dict[str, list[_Origin]] = field(factory=dict)
    defaults: Document | None = None

    def add(self, document: Document) -> None:
        """Append the lists of a file and copy its defaults, if any."""
        for section in LIST_SECTIONS:
            entries = document.value.get(section, [])
            self.value.setdefault(section, []).extend(entries)
            self.origins.setdefault(section, []).extend(
                _Origin(document=document, index=index) for index in range(len(entries))
            )
        if "defaults" in document.value:
            self.value["defaults"] = document.value["defaults"]
            self.defaults = document

    def locate(self, problem: Problem) -> Problem:
        """Map a problem of the merged configuration to its file and line."""
        match parse_path(problem.path):
            case (str(section), int(index), *rest) if section in self.origins:
                origin = self.origins[section][index]
                path: ValuePath = (section, origin.index, *rest)
                return origin.document.problem(path, problem.reason)
            case path if self.defaults and path[:1] == ("defaults",):
                return self.defaults.problem(path, problem.reason)
        return problem


def load_fleet(paths: Sequence[Path]) -> Result[Fleet, list[Problem]]:
    """Return the merged configuration of the files, or all problems found."""
    documents: list[Document] = []
    problems: list[Problem] = []
    for path in paths:
        result = read_document(path)
        if result.is_error():
            problems.extend(result.error)
        else:
            documents.append(result.ok)
            problems.extend(_find_document_problems(result.ok))
    if problems:
        return Error(problems)
    problems = list(_find_duplicate_defaults(documents))
    if problems:
        return Error(problems)
    return _merge(documents)


def _find_document_problems(document: Document) -> Iterator[Problem]:
    problems = find_schema_problems(document, "fleet.yaml", "Fleet")
    if problems:
        yield from problems
        return
    if "failure_domains_out" in document.value:
        yield document.problem(
            ("failure_domains_out",),
            "set by 'domain out' and 'domain in', not by files",
        )
    for index, service in enumerate(document.value.get("services", [])):
        if "split" in service:
            yield document.problem(
                ("services", index, "split"), "set by 'move', not by files"
            )


def _find_duplicate_defaults(documents: Iterable[Document]) -> Iterator[Problem]:
    first: Document | None = None
    for document in documents:
        if "defaults" not in document.value:
            continue
        if first is not None:
            location = f"{first.file}:{first.line_of(('defaults',))}"
            yield document.problem(("defaults",), f"already set in {location}")
        first = first or document


def _merge(documents: Iterable[Document]) -> Result[Fleet, list[Problem]]:
    merged = _MergedFiles()
    for document in documents:
        merged.add(document)
    decoded = from_plain(merged.value, Fleet)
    if decoded.is_error():
        return Error([Problem(path="", reason=decoded.error.reason)])
    problems = find_fleet_problems(decoded.ok)
    if problems:
        return Error([merged.locate(problem) for problem in problems])
    return Ok(decoded.ok)
