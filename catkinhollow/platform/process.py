"""Run a relay daemon with the settings and the store of the platform."""

import os
import sys
from pathlib import Path
from random import Random

import trio

from catkinhollow.generated.relay import RelaySettings
from catkinhollow.logs import configure_logging
from catkinhollow.platform.announcements import AnnouncementApplication
from catkinhollow.platform.header_names import PLATFORM_HEADERS
from catkinhollow.platform.object_store import PlatformStore
from catkinhollow.platform.objects import decode_object
from catkinhollow.relay.application import RelayDaemon
from catkinhollow.relay.relay_settings import SettingsFile

SETTINGS_VARIABLE = "CATKINHOLLOW_SETTINGS"
INVALID_SETTINGS = 1


def run_process() -> int:
    """Run the daemon until it is stopped and return its exit code."""
    file = SettingsFile(Path(os.environ.get(SETTINGS_VARIABLE, "")))
    settings = file.read()
    if settings.is_error():
        print(settings.error.reason, file=sys.stderr)
        return INVALID_SETTINGS
    configure_logging(settings.ok.log_level.value, sys.stdout)
    trio.run(_run, settings.ok, file)
    return 0


async def _run(settings: RelaySettings, file: SettingsFile) -> None:
    store = PlatformStore(settings.store)
    daemon = RelayDaemon(
        settings=settings,
        store=store,
        decode=decode_object,
        header_names=PLATFORM_HEADERS,
        announcement_app=lambda listener, service: AnnouncementApplication(
            listener, service
        ),
        reload_settings=file.read,
        random=Random(),
    )
    try:
        await daemon.run()
    finally:
        with trio.CancelScope(shield=True):
            await store.aclose()
