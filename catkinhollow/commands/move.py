"""Move services to target versions."""

from __future__ import annotations

from functools import partial
from getpass import getuser
from typing import TYPE_CHECKING

from cleo.exceptions import CleoValueError
from cleo.helpers import argument, option

from catkinhollow.commands.exit_codes import ExitCode
from catkinhollow.commands.store_command import STORE_OPTION, StoreCommand

if TYPE_CHECKING:
    from catkinhollow.generated.fleet import Move

SERVICE_ARGUMENT = argument("service", "Name of the service.")
TABLE_HEADERS = ["service", "version", "from", "state", "percent", "operator", "reason"]


class MoveStartCommand(StoreCommand):
    """Request a move of a service to a target version."""

    name = "move start"
    description = "Move a service to a target version by a deadline."
    arguments = [SERVICE_ARGUMENT, argument("version", "Target version to move to.")]
    options = [
        STORE_OPTION,
        option(
            "by",
            None,
            "Deadline as +15m or as an ISO 8601 time with offset.",
            flag=False,
        ),
        option("from", None, "Version in use if the service has no split.", flag=False),
        option(
            "operator",
            None,
            "Name of the operator (default: current user).",
            flag=False,
        ),
    ]

    def handle(self) -> int:
        """Create the move unless the service has a running one."""
        from catkinhollow.clock import TrioClock
        from catkinhollow.control.move_requests import MoveRequest, start_move
        from catkinhollow.deadlines import parse_deadline

        if not self.option("by"):
            raise CleoValueError("--by TIME is missing")
        now_ms = TrioClock().unix_ms()
        deadline_ms = parse_deadline(self.option("by"), now_ms)
        if deadline_ms.is_error():
            raise CleoValueError(f"--by: {deadline_ms.error.reason}")
        request = MoveRequest(
            service=self.argument("service"),
            version=self.argument("version"),
            deadline_ms=deadline_ms.ok,
            operator=self.option("operator") or getuser(),
            old_version=self.option("from") or "",
        )
        result = self.use_store(partial(start_move, request=request, now_ms=now_ms))
        if result.is_error():
            return self.report_error(result.error)
        move = result.ok
        self.print_line(
            f"move of {move.service} from {move.old_version} to {move.version} started"
        )
        return ExitCode.OK


class MoveStatusCommand(StoreCommand):
    """Show the last move of each service, or of one."""

    name = "move status"
    description = "Show the last move of each service, or of one."
    arguments = [argument("service", "Name of the service.", optional=True)]
    options = [
        STORE_OPTION,
        option("output", None, "Either table or json.", flag=False, default="table"),
    ]

    def handle(self) -> int:
        """Print the stored moves."""
        from catkinhollow.codec import encode_json
        from catkinhollow.control.move_requests import list_moves

        as_json = self.wants_json()
        result = self.use_store(list_moves)
        if result.is_error():
            return self.report_error(result.error)
        service = self.argument("service")
        moves = [move for move in result.ok if service in (None, move.service)]
        if service and not moves:
            self.print_error(f"refused: no move of {service}")
            return ExitCode.INVALID
        if as_json:
            self.print_line(encode_json(moves).decode())
        else:
            self.print_table(TABLE_HEADERS, [_build_row(move) for move in moves])
        return ExitCode.OK


class MoveWaitCommand(StoreCommand):
    """Wait for the end of the move of a service."""

    name = "move wait"
    description = "Wait for the end of the move of a service."
    arguments = [SERVICE_ARGUMENT]
    options = [STORE_OPTION]

    def handle(self) -> int:
        """Print each change of the move and return how it ended."""
        from catkinhollow.control.move_requests import wait_for_end
        from catkinhollow.generated.fleet import MoveState

        wait = partial(
            wait_for_end, service=self.argument("service"), on_change=self._print_change
        )
        result = self.use_store(wait)
        if result.is_error():
            return self.report_error(result.error)
        is_done = result.ok.state == MoveState.DONE
        return ExitCode.OK if is_done else ExitCode.NOT_MOVED

    def _print_change(self, move: Move) -> None:
        reason = f": {move.reason}" if move.reason else ""
        progress = f"{move.state} at {move.percent:g} %{reason}"
        self.print_line(f"{move.service} to {move.version}: {progress}")


class MoveCancelCommand(StoreCommand):
    """Cancel the move of a service."""

    name = "move cancel"
    description = "Return the traffic of a running move to the old version."
    arguments = [SERVICE_ARGUMENT]
    options = [STORE_OPTION]

    def handle(self) -> int:
        """Request the cancellation."""
        from catkinhollow.control.move_requests import cancel_move

        result = self.use_store(partial(cancel_move, service=self.argument("service")))
        if result.is_error():
            return self.report_error(result.error)
        move = result.ok
        self.print_line(f"move of {move.service} to {move.version} is being cancelled")
        return ExitCode.OK


def _build_row(move: Move) -> list[str]:
    return [
        move.service,
        move.version,
        move.old_version,
        move.state,
        f"{move.percent:g}",
        move.operator,
        move.reason,
    ]
