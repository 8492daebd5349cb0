"""Start the daemon process with settings that the daemon command validated.

This process does not import the libraries that read and validate YAML, which
keeps it small.
"""

import gc
import sys

import trio

from catkinhollow.application import Daemon
from catkinhollow.daemon.settings_environment import settings_from_environment
from catkinhollow.generated.settings import Settings
from catkinhollow.logs import configure_logging

INVALID_SETTINGS = 1


def main() -> int:
    """Run the daemon and return its exit code."""
    settings = settings_from_environment()
    if settings.is_error():
        print(f"settings: {settings.error.reason}", file=sys.stderr)
        return INVALID_SETTINGS
    configure_logging(settings.ok.log_level.value)
    _freeze_loaded_objects()
    trio.run(_run, settings.ok)
    return 0


def _freeze_loaded_objects() -> None:
    # Objects created by the imports live as long as the process. A full
    # garbage collection that visits them stops all calls for about 30 ms.
    gc.collect()
    gc.freeze()


async def _run(settings: Settings) -> None:
    await Daemon(settings).run()


if __name__ == "__main__":
    sys.exit(main())
