"""Run the demonstration."""

from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import option


class DemoCommand(Command):
    """Run a whole deployment on loopback and report the results."""

    name = "demo"
    description = "Run a whole deployment on loopback for about a minute."
    options = [option("logs", None, "Keep the logs in this directory.", flag=False)]

    def handle(self) -> int:
        """Run the demo and return 1 if a request was lost or duplicated."""
        from catkinhollow.testbed.demo import run_demo

        logs = self.option("logs")
        return run_demo(Path(logs) if logs else None)
