"""Define the base class of the commands."""

# Commands import their dependencies when they run, so that --help is fast.

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from cleo.commands.command import Command
from cleo.exceptions import CleoValueError
from cleo.formatters.formatter import Formatter
from cleo.io.outputs.output import Type

from catkinhollow.commands.exit_codes import ExitCode

if TYPE_CHECKING:
    from catkinhollow.errors import Problem
    from catkinhollow.generated.settings import Address

OUTPUT_FORMATS = ("table", "json")


class BaseCommand(Command):
    """Print plain lines and tables, and read common options."""

    def print_line(self, text: str) -> None:
        """Write one line to standard output as it is."""
        self.io.output.write_line(text, type=Type.RAW)

    def print_error(self, text: str) -> None:
        """Write one line to standard error as it is."""
        line = " ".join(text.splitlines())
        self.io.error_output.write_line(line, type=Type.RAW)

    def print_problems(self, problems: Iterable[Problem]) -> ExitCode:
        """Write one line for each problem in the input to standard error."""
        for problem in problems:
            self.print_error(str(problem))
        return ExitCode.INVALID

    def print_table(self, headers: list[str], rows: list[list[str]]) -> None:
        """Write a table of plain text."""
        escaped: list[Any] = [[Formatter.escape(cell) for cell in row] for row in rows]
        table = self.table(rows=escaped, style="compact")
        table.set_headers([*headers]).render()

    def address_option(self, name: str, fallback: str | None = None) -> Address:
        """Return the address given by an option.

        Raise CleoValueError if it is missing or malformed.
        """
        from catkinhollow.addresses import parse_address

        text = self.option(name) or fallback
        if not text:
            raise CleoValueError(f"--{name} HOST:PORT is missing")
        address = parse_address(text)
        if address.is_error():
            raise CleoValueError(f"--{name}: {address.error.reason}")
        return address.ok

    def wants_json(self) -> bool:
        """Return whether --output is json.

        Raise CleoValueError if the format is unknown.
        """
        output = self.option("output")
        if output not in OUTPUT_FORMATS:
            raise CleoValueError(f"--output must be one of {', '.join(OUTPUT_FORMATS)}")
        return bool(output == "json")
