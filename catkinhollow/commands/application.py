"""Assemble the command line."""

import sys

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput

from catkinhollow import __version__
from catkinhollow.commands.apply import ApplyCommand
from catkinhollow.commands.bench import (
    BenchCompareCommand,
    BenchReportCommand,
    BenchRunCommand,
)
from catkinhollow.commands.check import CheckCommand
from catkinhollow.commands.daemon import DaemonCommand
from catkinhollow.commands.demo import DemoCommand
from catkinhollow.commands.domain import DomainInCommand, DomainOutCommand
from catkinhollow.commands.exceptions import ExceptionsCommand
from catkinhollow.commands.exit_codes import ExitCode
from catkinhollow.commands.move import (
    MoveCancelCommand,
    MoveStartCommand,
    MoveStatusCommand,
    MoveWaitCommand,
)
from catkinhollow.commands.settings_show import SettingsShowCommand
from catkinhollow.commands.standin import StandinStoreCommand, StandinTargetCommand
from catkinhollow.commands.status import StatusCommand
from catkinhollow.commands.store_command import StoreConnector, connect_store
from catkinhollow.commands.validate import ValidateCommand


def build_commands(connector: StoreConnector) -> list[Command]:
    """Return every command of the command line."""
    return [
        ValidateCommand(),
        CheckCommand(),
        ApplyCommand(connector),
        DomainOutCommand(connector),
        DomainInCommand(connector),
        ExceptionsCommand(connector),
        MoveStartCommand(connector),
        MoveStatusCommand(connector),
        MoveWaitCommand(connector),
        MoveCancelCommand(connector),
        StatusCommand(),
        SettingsShowCommand(),
        DaemonCommand(),
        StandinStoreCommand(),
        StandinTargetCommand(),
        DemoCommand(),
        BenchRunCommand(),
        BenchReportCommand(),
        BenchCompareCommand(),
    ]


def run(arguments: list[str], connector: StoreConnector = connect_store) -> int:
    """Run the command that the arguments name and return its exit code."""
    application = Application("catkinhollow", __version__)
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in build_commands(connector):
        application.add(command)
    try:
        return application.run(ArgvInput(arguments))
    except CleoError as error:
        print(f"usage: {str(error).splitlines()[0]}", file=sys.stderr)
        return ExitCode.USAGE
