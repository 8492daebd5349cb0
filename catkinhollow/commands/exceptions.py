"""List the exceptions to the fleet defaults."""

from cleo.helpers import option

from catkinhollow.commands.exit_codes import ExitCode
from catkinhollow.commands.store_command import STORE_OPTION, StoreCommand


class ExceptionsCommand(StoreCommand):
    """Show each exception with its reason."""

    name = "exceptions"
    description = "List the exceptions to the fleet defaults with their reasons."
    options = [
        STORE_OPTION,
        option("output", None, "Either table or json.", flag=False, default="table"),
    ]

    def handle(self) -> int:
        """Print the stored exceptions."""
        from catkinhollow.codec import encode_json
        from catkinhollow.configuration.fleet_updates import read_fleet
        from catkinhollow.daemon.status import list_exceptions
        from catkinhollow.status_report import build_exception_table

        as_json = self.wants_json()
        result = self.use_store(read_fleet)
        if result.is_error():
            return self.report_error(result.error)
        exceptions = list_exceptions(result.ok.fleet)
        if as_json:
            self.print_line(encode_json(exceptions).decode())
        else:
            table = build_exception_table(exceptions)
            self.print_table(table.headers, table.rows)
        return ExitCode.OK
