"""Assemble the command line."""

from cleo.application import Application
from cleo.io.inputs.argv_input import ArgvInput

from catkinhollow import __version__
from catkinhollow.commands.standin import StandinStoreCommand, StandinTargetCommand

COMMANDS = [
    StandinStoreCommand(),
    StandinTargetCommand(),
]


def run(arguments: list[str]) -> int:
    """Run the command that the arguments name and return its exit code."""
    application = Application("catkinhollow", __version__)
    application.auto_exits(False)
    for command in COMMANDS:
        application.add(command)
    return application.run(ArgvInput(arguments))
