"""Check fleet configuration files."""

from pathlib import Path

from cleo.helpers import argument, option

from catkinhollow.commands.base import BaseCommand
from catkinhollow.commands.exit_codes import ExitCode


class ValidateCommand(BaseCommand):
    """Check files without access to the store."""

    name = "validate"
    description = "Check fleet configuration files."
    arguments = [
        argument("files", "YAML files that together define one fleet.", False, True)
    ]

    options = [
        option("relay", None, "Check configurations of relay daemons, one a file.")
    ]

    def handle(self) -> int:
        """Print every problem, or what the files define."""
        if self.option("relay"):
            return self._check_relay_files()
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

    def _check_relay_files(self) -> int:
        from catkinhollow.relay.documents.configuration_files import load_configuration

        code = ExitCode.OK
        for name in self.argument("files"):
            result = load_configuration(Path(name))
            if result.is_error():
                code = self.print_problems(result.error)
                continue
            configuration = result.ok
            self.print_line(
                f"valid: {len(configuration.services)} services,"
                f" {len(configuration.routes)} routes,"
                f" {len(configuration.organisations)} organisations"
            )
        return code
