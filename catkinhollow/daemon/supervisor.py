"""Supervise the target on this daemon's instance."""

from collections.abc import Callable
from enum import StrEnum

import trio
from httpcore import (
    AsyncConnectionPool,
    NetworkError,
    ProtocolError,
    TimeoutException,
)

from catkinhollow.daemon.target_health import TargetHealth
from catkinhollow.events import EventManager, TargetChanged
from catkinhollow.generated.messages import TargetRecord
from catkinhollow.generated.settings import ProbeSettings
from catkinhollow.logs import get_logger

logger = get_logger(__name__)

HTTP_OK = 200


class ControlAction(StrEnum):
    """List the control actions that a daemon can request from its target."""

    DRAIN = "drain"
    UNDRAIN = "undrain"


class TargetSupervisor:
    """Probe the target, and request that it drains or resumes work."""

    def __init__(self, settings: ProbeSettings, events: EventManager) -> None:
        self._settings = settings
        self._events = events
        self._health = TargetHealth(settings.failures_to_unhealthy)
        self._pool = AsyncConnectionPool(max_connections=2)
        self._desired_action: ControlAction | None = None
        self._last_applied: tuple[int, ControlAction] | None = None

    @property
    def record(self) -> TargetRecord | None:
        """Return the record of the target, if one has announced itself."""
        return self._health.record

    def announce(self, record: TargetRecord) -> None:
        """Handle an announcement of the target."""
        self._publish_change(lambda: self._health.update_record(record))

    def set_drain(self, drain: bool) -> None:
        """Set whether the target has to drain or to accept new work."""
        self._desired_action = ControlAction.DRAIN if drain else ControlAction.UNDRAIN

    async def check(self) -> None:
        """Probe the target and send the control action if it is pending."""
        record = self._health.record
        if record is None:
            return
        healthy = await self._request("GET", record.address, "/health")
        self._publish_change(lambda: self._health.add_probe_result(healthy))
        await self._apply_action(record)

    async def aclose(self) -> None:
        """Close the connections to the target."""
        await self._pool.aclose()

    def _publish_change(self, update: Callable[[], bool]) -> None:
        if update() and self._health.record is not None:
            record = self._health.record
            logger.info(
                "target changed",
                service=record.service,
                version=record.version,
                address=record.address,
                state=record.state.value,
            )
            self._events.emit(TargetChanged(record=record))

    async def _apply_action(self, record: TargetRecord) -> None:
        # A restarted target does not know earlier actions, so the start time
        # is part of what was applied.
        if self._desired_action is None:
            return
        current = (record.started_ms, self._desired_action)
        if current == self._last_applied:
            return
        path = f"/control/{self._desired_action.value}"
        if await self._request("POST", record.address, path):
            self._last_applied = current
            logger.info(
                "control action sent to the target", action=self._desired_action.value
            )

    async def _request(self, method: str, address: str, path: str) -> bool:
        timeout_s = self._settings.timeout_ms / 1000
        with trio.move_on_after(timeout_s):
            try:
                response = await self._pool.request(method, f"http://{address}{path}")
            except (NetworkError, ProtocolError, TimeoutException):
                return False
            return response.status == HTTP_OK
        return False
