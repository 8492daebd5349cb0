"""Announce a stand-in target to the daemon on its instance."""

from collections.abc import Callable

import trio
from absl import logging
from httpcore import (
    AsyncConnectionPool,
    NetworkError,
    ProtocolError,
    TimeoutException,
)

from catkinhollow.codec import encode_json
from catkinhollow.generated.messages import TargetRecord
from catkinhollow.generated.settings import Address

logger = logging.get_absl_logger()

# Announcements repeat, as a restarted daemon does not know its target.
ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 1.0


class Announcer:
    """Post the target's record to the daemon's admin address."""

    def __init__(
        self,
        admin: Address,
        make_record: Callable[[], TargetRecord],
        pool: AsyncConnectionPool | None = None,
    ) -> None:
        self._url = f"http://{admin.host}:{admin.port}/announce"
        self._make_record = make_record
        self._pool = pool or AsyncConnectionPool(max_connections=1)
        self._reached = True

    async def run(self) -> None:
        """Announce the target every second until cancelled."""
        while True:
            await self.announce()
            await trio.sleep(ANNOUNCE_INTERVAL_S)

    async def announce(self) -> None:
        """Announce the target once."""
        reached = await self._post(encode_json(self._make_record()))
        if reached != self._reached:
            logger.info("announce url=%s reached=%s", self._url, reached)
        self._reached = reached

    async def _post(self, body: bytes) -> bool:
        headers: dict[bytes | str, bytes | str] = {"Content-Type": "application/json"}
        try:
            with trio.move_on_after(ANNOUNCE_TIMEOUT_S):
                response = await self._pool.request(
                    "POST", self._url, headers=headers, content=body
                )
                return response.status < 300
        except (NetworkError, ProtocolError, TimeoutException):
            return False
        return False
