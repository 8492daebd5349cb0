"""Show the effective settings of a daemon."""

from pathlib import Path

from cleo.helpers import argument

from catkinhollow.commands.base import BaseCommand
from catkinhollow.commands.exit_codes import ExitCode


class SettingsShowCommand(BaseCommand):
    """Show each setting and where its value comes from."""

    name = "settings show"
    description = "Show the effective settings and where each value comes from."
    arguments = [argument("file", "Settings file of a daemon.")]

    def handle(self) -> int:
        """Print each value with the file and line that set it, or default."""
        from catkinhollow.configuration.settings import list_values, read_settings_file

        result = read_settings_file(Path(self.argument("file")))
        if result.is_error():
            return self.print_problems(result.error)
        rows = [[item.path, item.text, item.origin] for item in list_values(result.ok)]
        self.print_table(["setting", "value", "from"], rows)
        return ExitCode.OK
