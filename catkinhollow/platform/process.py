"""Run a relay daemon with the settings and the store of the platform."""

import os
import sys
from collections.abc import Mapping
from math import inf
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import trio
from attrs import evolve
from expression import Result

from catkinhollow.errors import DecodeError
from catkinhollow.generated.relay import RelaySettings
from catkinhollow.logs import configure_logging
from catkinhollow.platform.announcements import AnnouncementApplication
from catkinhollow.platform.headers import PLATFORM_HEADERS
from catkinhollow.platform.object_store import PlatformStore
from catkinhollow.platform.objects import decode_object
from catkinhollow.relay.application import RelayDaemon
from catkinhollow.relay.relay_settings import SettingsFile
from catkinhollow.startup.held_signals import HeldSignals

SETTINGS_VARIABLE = "CATKINHOLLOW_SETTINGS"
# The platform tells the capacity of the instance's link in this variable.
LINK_VARIABLE = "CATKINHOLLOW_LINK_MBPS"
USAGE_DUTY = "usage_report"
INVALID_SETTINGS = 1

if TYPE_CHECKING:
    from catkinhollow.platform.usage_api import PlatformUsageApi


class ProcessSettings:
    """Read the settings file, and the link's capacity from the environment."""

    def __init__(self, environment: Mapping[str, str]) -> None:
        self._file = SettingsFile(Path(environment.get(SETTINGS_VARIABLE, "")))
        self._link_mbps = _parse_link_mbps(environment.get(LINK_VARIABLE, ""))

    def read(self) -> Result[RelaySettings, DecodeError]:
        """Return the settings, or the first error in the file."""
        return self._file.read().map(self._with_link)

    def _with_link(self, settings: RelaySettings) -> RelaySettings:
        if settings.link_mbps or not self._link_mbps:
            return settings
        return evolve(settings, link_mbps=self._link_mbps)


def run_process(held_signals: HeldSignals) -> int:
    """Run the daemon until it is stopped and return its exit code."""
    process_settings = ProcessSettings(os.environ)
    settings = process_settings.read()
    if settings.is_error():
        print(settings.error.reason, file=sys.stderr)
        return INVALID_SETTINGS
    configure_logging(settings.ok.log_level.value, sys.stdout)
    if not held_signals.stop_requested:
        trio.run(_run, settings.ok, process_settings, held_signals)
    held_signals.ignore()
    return 0


async def _run(
    settings: RelaySettings,
    process_settings: ProcessSettings,
    held_signals: HeldSignals,
) -> None:
    store = PlatformStore(settings.store)
    usage_api = _make_usage_api(settings)
    daemon = RelayDaemon(
        settings=settings,
        store=store,
        decode=decode_object,
        header_names=PLATFORM_HEADERS,
        announcement_app=lambda listener, service: AnnouncementApplication(
            listener, service
        ),
        reload_settings=process_settings.read,
        random=Random(),
        usage_api=usage_api,
    )
    try:
        await daemon.run(held_signals)
    finally:
        with trio.CancelScope(shield=True):
            await store.aclose()
            if usage_api is not None:
                await usage_api.aclose()


def _make_usage_api(settings: RelaySettings) -> "PlatformUsageApi | None":
    """Return the API if the settings call for reports, None otherwise."""
    if not settings.usage_api or USAGE_DUTY not in settings.duties:
        return None
    # Daemons without reports are started without these modules.
    from catkinhollow.platform.usage_api import PlatformUsageApi

    return PlatformUsageApi(settings.usage_api)


def _parse_link_mbps(text: str) -> float:
    """Return the capacity of the link in Mbit/s, 0 if it is unknown."""
    try:
        capacity = float(text or 0)
    except ValueError:
        capacity = -1.0
    if not 0 <= capacity < inf:
        print(f"{LINK_VARIABLE}: not a capacity: {text}", file=sys.stderr)
        return 0.0
    return capacity
