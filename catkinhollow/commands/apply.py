"""Write fleet configuration files to the store."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from cleo.helpers import argument, option

from catkinhollow.commands.exit_codes import ExitCode
from catkinhollow.commands.store_command import STORE_OPTION, StoreCommand

if TYPE_CHECKING:
    from catkinhollow.configuration.fleet_updates import FleetUpdate


class ApplyCommand(StoreCommand):
    """Replace the stored configuration with that of the files."""

    name = "apply"
    description = "Write fleet configuration files to the store."
    arguments = [
        argument("files", "YAML files that together define one fleet.", False, True)
    ]
    options = [
        STORE_OPTION,
        option("dry-run", description="Show the changes and write nothing."),
    ]

    def handle(self) -> int:
        """Write the configuration if every file is valid."""
        from catkinhollow.configuration.editing import ApplyFiles
        from catkinhollow.configuration.fleet_files import load_fleet
        from catkinhollow.configuration.fleet_updates import plan_update, update_fleet

        loaded = load_fleet([Path(name) for name in self.argument("files")])
        if loaded.is_error():
            return self.print_problems(loaded.error)
        run_update = plan_update if self.option("dry-run") else update_fleet
        edit = ApplyFiles(loaded.ok)
        result = self.use_store(lambda store: run_update(store, edit))
        if result.is_error():
            return self.report_error(result.error)
        self._report(result.ok)
        return ExitCode.OK

    def _report(self, update: FleetUpdate) -> None:
        from catkinhollow.configuration.editing import list_changes

        for change in list_changes(update.before.fleet, update.after.fleet):
            self.print_line(change)
        if self.option("dry-run"):
            self.print_line(f"dry run: revision {update.before.revision} is unchanged")
        elif update.before.revision == update.after.revision:
            self.print_line(f"no changes: revision {update.after.revision}")
        else:
            self.print_line(f"applied: revision {update.after.revision}")
