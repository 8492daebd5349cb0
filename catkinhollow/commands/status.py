"""Show the state of the fleet as one daemon knows it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cleo.helpers import option

from catkinhollow.commands.base import BaseCommand
from catkinhollow.commands.exit_codes import ExitCode

if TYPE_CHECKING:
    from catkinhollow.generated.status import DaemonStatus


class StatusCommand(BaseCommand):
    """Request the status of one daemon."""

    name = "status"
    description = "Show the state of the fleet as one daemon knows it."
    options = [
        option("daemon", None, "Admin address of the daemon, HOST:PORT.", flag=False),
        option("output", None, "Either table or json.", flag=False, default="table"),
    ]

    def handle(self) -> int:
        """Print the status that the daemon returned."""
        import trio

        from catkinhollow.addresses import format_address
        from catkinhollow.admin_client import DaemonUnreachable, fetch_status
        from catkinhollow.codec import encode_json

        as_json = self.wants_json()
        address = self.address_option("daemon")
        result = trio.run(fetch_status, address)
        if result.is_error():
            self.print_error(f"{format_address(address)}: {result.error.reason}")
            unreachable = isinstance(result.error, DaemonUnreachable)
            return ExitCode.UNREACHABLE if unreachable else ExitCode.INVALID
        if as_json:
            self.print_line(encode_json(result.ok).decode())
        else:
            self._print_report(result.ok)
        return ExitCode.OK

    def _print_report(self, status: DaemonStatus) -> None:
        from catkinhollow.status_report import build_tables, summarize

        for label, text in summarize(status):
            self.print_line(f"{label:<14} {text}")
        for table in build_tables(status):
            self.print_line(f"\n{table.title}")
            self.print_table(table.headers, table.rows)
