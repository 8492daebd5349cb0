"""Watch over the target on this daemon's instance."""

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

HEALTHY_STATUS = 200


class ControlAction(StrEnum):
    """Name what a daemon may order its target to do."""

    DRAIN = "drain"
    UNDRAIN = "undrain"


class TargetSupervisor:
    """Probe the target, and order it to drain or to resume."""

    def __init__(self, settings: ProbeSettings, events: EventManager) -> None:
        self._settings = settings
        self._events = events
        self._health = TargetHealth(settings.failures_to_unhealthy)
        self._pool = AsyncConnectionPool(max_connections=2)
        self._wanted: ControlAction | None = None
        self._applied: tuple[int, ControlAction] | None = None

    @property
    def record(self) -> TargetRecord | None:
        """Return the record of the target, if one has announced itself."""
        return self._health.record

    def announce(self, record: TargetRecord) -> None:
        """Take an announcement of the target."""
        self._publish_if(lambda: self._health.announced(record))

    def set_drain(self, drain: bool) -> None:
        """Order the target to drain, or to take new work again."""
        self._wanted = ControlAction.DRAIN if drain else ControlAction.UNDRAIN

    async def check(self) -> None:
        """Probe the target and repeat an order that has not reached it."""
        record = self._health.record
        if record is None:
            return
        healthy = await self._request("GET", record.address, "/health")
        self._publish_if(lambda: self._health.probed(healthy))
        await self._apply_order(record)

    async def aclose(self) -> None:
        """Close the connections to the target."""
        await self._pool.aclose()

    def _publish_if(self, update: Callable[[], bool]) -> None:
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

    async def _apply_order(self, record: TargetRecord) -> None:
        # A restarted target has forgotten an earlier order.
        if self._wanted is None:
            return
        order = (record.started_ms, self._wanted)
        if order == self._applied:
            return
        path = f"/control/{self._wanted.value}"
        if await self._request("POST", record.address, path):
            self._applied = order
            logger.info("target ordered", action=self._wanted.value)

    async def _request(self, method: str, address: str, path: str) -> bool:
        limit_s = self._settings.timeout_ms / 1000
        with trio.move_on_after(limit_s):
            try:
                response = await self._pool.request(method, f"http://{address}{path}")
            except (NetworkError, ProtocolError, TimeoutException):
                return False
            return response.status == HEALTHY_STATUS
        return False
