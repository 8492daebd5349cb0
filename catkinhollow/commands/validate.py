"""Check fleet configuration files."""

from pathlib import Path

from cleo.helpers import argument

from catkinhollow.commands.base import BaseCommand
from catkinhollow.commands.exit_codes import ExitCode


class ValidateCommand(BaseCommand):
    """Check files without access to the store."""

    name = "validate"
    description = "Check fleet configuration files."
    arguments = [
        argument("files", "YAML files that together define one fleet.", False, True)
    ]

    def handle(self) -> int:
        """Print every problem, or what the files define."""
        from catkinhollow.configuration.fleet_files import load_fleet

        result = load_fleet([Path(name) for name in self.argument("files")])
        if result.is_error():
            return self.print_problems(result.error)
        fleet = result.ok
        self.print_line(
            f"valid: {len(fleet.services)} services, {len(fleet.routes)} routes,"
            f" {len(fleet.exceptions)} exceptions"
        )
        return ExitCode.OK
