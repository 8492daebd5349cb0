"""Start the daemon in this process."""

import os
import sys
from pathlib import Path
from typing import NoReturn

from cleo.exceptions import CleoValueError
from cleo.helpers import option

from catkinhollow.commands.base import BaseCommand

DAEMON_MODULE = "catkinhollow.daemon"


class DaemonCommand(BaseCommand):
    """Check the settings, then replace this process with the daemon."""

    name = "daemon"
    description = "Run the daemon of this instance."
    options = [option("settings", None, "Settings file of the daemon.", flag=False)]

    def handle(self) -> int:
        """Replace this process with the daemon.

        A new interpreter leaves out the large libraries that the checks load.
        """
        from catkinhollow.configuration.settings import load_settings
        from catkinhollow.daemon.settings_environment import settings_to_environment

        file = self.option("settings")
        if not file:
            raise CleoValueError("--settings FILE is missing")
        result = load_settings(Path(file))
        if result.is_error():
            return self.print_problems(result.error)
        return _exec_daemon(settings_to_environment(result.ok))


def _exec_daemon(environment: dict[str, str]) -> NoReturn:
    sys.stdout.flush()
    arguments = [sys.executable, "-m", DAEMON_MODULE]
    os.execve(sys.executable, arguments, environment)
