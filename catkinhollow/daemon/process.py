"""Run a daemon with settings that the daemon command has validated.

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
from catkinhollow.startup.held_signals import HeldSignals

INVALID_SETTINGS = 1


def run_process(held_signals: HeldSignals) -> int:
    """Run the daemon until it is stopped and return its exit code."""
    settings = settings_from_environment()
    if settings.is_error():
        print(f"settings: {settings.error.reason}", file=sys.stderr)
        return INVALID_SETTINGS
    configure_logging(settings.ok.log_level.value)
    _freeze_loaded_objects()
    if not held_signals.stop_requested:
        trio.run(_run, settings.ok, held_signals)
    held_signals.ignore()
    return 0


def _freeze_loaded_objects() -> None:
    # Objects created by the imports live as long as the process. A full
    # garbage collection that visits them stops all calls for about 30 ms.
    gc.collect()
    gc.freeze()


async def _run(settings: Settings, held_signals: HeldSignals) -> None:
    await Daemon(settings).run(held_signals)
