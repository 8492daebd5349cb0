"""Check a configuration before it is sent."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from cleo.helpers import argument, option

from catkinhollow.commands.base import BaseCommand
from catkinhollow.commands.exit_codes import ExitCode

if TYPE_CHECKING:
    from expression import Result

    from catkinhollow.configuration.documents import Document
    from catkinhollow.errors import Problem, StoreError
    from catkinhollow.generated.relay import RelayConfiguration
    from catkinhollow.relay.documents.configuration_review import (
        Difference,
        Finding,
    )


class CheckCommand(BaseCommand):
    """Report errors, doubtful entries and differences of configurations."""

    name = "check"
    description = "Check a configuration of the relay daemons before it is sent."
    arguments = [argument("files", "Configurations in YAML or JSON.", False, True)]
    options = [
        option("against", description="File of the version in force.", flag=False),
        option(
            "store",
            description="Address of the store with the version in force, HOST:PORT.",
            flag=False,
        ),
        option("output", description="table or json.", flag=False, default="table"),
    ]

    def handle(self) -> int:
        """Check each file and return the worst result."""
        as_json = self.wants_json()
        in_force: RelayConfiguration | None = None
        if self.option("against"):
            read = read_configuration(Path(self.option("against")))
            if read.is_error():
                return self.print_problems(read.error)
            in_force = read.ok[1]
        elif self.option("store"):
            fetched = fetch_configuration(str(self.address_option("store")))
            if fetched.is_error():
                self.print_error(f"store: {fetched.error.kind}: {fetched.error.reason}")
                return ExitCode.UNREACHABLE
            in_force = fetched.ok
        codes = [
            self._check_file(Path(name), in_force, as_json=as_json)
            for name in self.argument("files")
        ]
        return ExitCode.INVALID if ExitCode.INVALID in codes else max(codes)

    def _check_file(
        self, path: Path, in_force: RelayConfiguration | None, *, as_json: bool
    ) -> ExitCode:
        from catkinhollow.relay.documents.configuration_review import (
            Severity,
            compare_configurations,
            review_configuration,
            review_version,
        )

        read = read_configuration(path)
        if read.is_error():
            return self.print_problems(read.error)
        document, configuration = read.ok
        findings = review_configuration(configuration)
        differences: list[Difference] = []
        if in_force is not None:
            findings += review_version(in_force, configuration)
            differences = compare_configurations(in_force, configuration)
        findings.sort(key=lambda finding: document.line_of(finding.path))
        if as_json:
            self._print_json(document, findings, differences)
        else:
            self._print_text(document, findings, differences)
        severities = {finding.severity for finding in findings}
        if Severity.ERROR in severities:
            return ExitCode.INVALID
        return ExitCode.DOUBTFUL if severities else ExitCode.OK

    def _print_text(
        self,
        document: Document,
        findings: list[Finding],
        differences: list[Difference],
    ) -> None:
        for finding in findings:
            problem = document.problem(finding.path, finding.reason)
            self.print_line(f"{finding.severity}: {problem}")
        for difference in differences:
            self.print_line(f"differs: {difference}")
        if not findings:
            self.print_line(f"{document.file}: nothing found")

    def _print_json(
        self,
        document: Document,
        findings: list[Finding],
        differences: list[Difference],
    ) -> None:
        from attrs import asdict

        from catkinhollow.codec import encode_json
        from catkinhollow.configuration.documents import format_path

        report = {
            "file": document.file,
            "findings": [
                {
                    "severity": finding.severity.value,
                    "line": document.line_of(finding.path),
                    "path": format_path(finding.path),
                    "reason": finding.reason,
                }
                for finding in findings
            ],
            "differences": [asdict(difference) for difference in differences],
        }
        self.print_line(encode_json(report).decode())


def read_configuration(
    path: Path,
) -> Result[tuple[Document, RelayConfiguration], list[Problem]]:
    """Return a file and its configuration, or what is wrong with it."""
    from expression import Error, Ok

    from catkinhollow.codec import from_plain
    from catkinhollow.configuration.documents import read_document
    from catkinhollow.configuration.schema_check import find_schema_problems
    from catkinhollow.generated.relay import RelayConfiguration

    read = read_document(path)
    if read.is_error():
        return Error(read.error)
    document = read.ok
    problems = find_schema_problems(document, "relay.yaml", "RelayConfiguration")
    if problems:
        return Error(problems)
    decoded = from_plain(document.value, RelayConfiguration)
    if decoded.is_error():
        return Error([document.problem((), decoded.error.reason)])
    return Ok((document, decoded.ok))


def fetch_configuration(address: str) -> Result[RelayConfiguration, StoreError]:
    """Return the configuration in the platform's store."""
    import trio
    from expression import Error

    from catkinhollow.errors import StoreError, StoreErrorKind
    from catkinhollow.platform.object_store import PlatformStore
    from catkinhollow.platform.objects import decode_object
    from catkinhollow.relay.documents.kinds import CONFIGURATION, CONFIGURATION_NAME

    async def fetch() -> Result[RelayConfiguration, StoreError]:
        store = PlatformStore(address)
        try:
            read = await store.get(CONFIGURATION, CONFIGURATION_NAME)
        finally:
            await store.aclose()
        if read.is_error():
            return Error(read.error)
        decoded = decode_object(read.ok)
        return decoded.map_error(
            lambda error: StoreError(kind=StoreErrorKind.REFUSED, reason=error.reason)
        )

    return trio.run(fetch)
