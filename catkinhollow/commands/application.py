"""Assemble the command line."""

from cleo.application import Application
from cleo.io.inputs.argv_input import ArgvInput

from catkinhollow import __version__


def run(arguments: list[str]) -> int:
    """Run the command that the arguments name and return its exit code."""
    application = Application("catkinhollow", __version__)
    application.auto_exits(False)
    return application.run(ArgvInput(arguments))
