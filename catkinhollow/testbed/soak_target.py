"""Provide the target of one daemon in a soak test."""

from collections.abc import Callable
from itertools import count

import trio
from httpcore import AsyncConnectionPool, NetworkError, ProtocolError, TimeoutException

from catkinhollow.calls.exchange import Headers, Response, plain_response
from catkinhollow.calls.http_server import (
    Receive,
    Scope,
    Send,
    read_request,
    send_response,
)
from catkinhollow.codec import encode_json
from catkinhollow.generated.relay import RelaySettings
from catkinhollow.logs import get_logger
from catkinhollow.platform.headers import PLATFORM_HEADERS as NAMES
from catkinhollow.testbed.loopback_server import serve_on_loopback
from catkinhollow.timer import Clock

logger = get_logger(__name__)

WORK_S = 0.02
# Work of one run in four, which is still running when links are replaced.
LONG_WORK_S = 1.0
LONG_RUN_INTERVAL = 4
SLOTS = 4
ANNOUNCE_INTERVAL_S = 0.5
MAX_BODY_BYTES = 100_000
# Requests with this prefix get a long body.
DOWNLOAD_PREFIX = "/p/"
DOWNLOAD_BYTES = 150_000


class SoakTarget:
    """Serve requests, report their runs, and announce each lifetime."""

    def __init__(
        self,
        settings: RelaySettings,
        port: int,
        record_run: Callable[[str], None],
        clock: Clock,
        *,
        long_runs: bool = False,
    ) -> None:
        self._settings = settings
        self._port = port
        self._record_run = record_run
        self._clock = clock
        self._long_runs = long_runs
        self._runs = count(1)
        self._lifetime = ""
        self._lifetimes = count(1)
        self._down_s = 0.0
        self._scope = trio.CancelScope()
        self._pool = AsyncConnectionPool()

    async def run(self) -> None:
        """Serve until cancelled, with a new lifetime after each crash."""
        while True:
            self._lifetime = f"{self._settings.instance}-{next(self._lifetimes)}"
            with trio.CancelScope() as self._scope:
                async with trio.open_nursery() as nursery:
                    await nursery.start(serve_on_loopback, self, self._port)
                    nursery.start_soon(self._announce)
            await trio.sleep(self._down_s)

    def crash(self, down_s: float) -> None:
        """End this lifetime at once; start the next one after `down_s`."""
        self._down_s = down_s
        self._scope.cancel()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        read = await read_request(scope, receive, MAX_BODY_BYTES)
        if read.is_error():
            await send_response(send, read.error)
            return
        request = read.ok
        headers: Headers = [(NAMES.lifetime, self._lifetime.encode())]
        request_id = request.header(NAMES.request_id)
        if request_id is None:
            await send_response(send, Response(status=200, headers=headers, body=b""))
            return
        expected = request.header(NAMES.expected_lifetime)
        if expected is not None and expected != self._lifetime.encode():
            await send_response(send, plain_response(421, "another lifetime", headers))
            return
        self._record_run(request_id.decode())
        await trio.sleep(self._work_s())
        headers += [(NAMES.request_id, request_id), (NAMES.signature, b"soak")]
        body = request_id
        if request.path.startswith(DOWNLOAD_PREFIX):
            body = request_id.ljust(DOWNLOAD_BYTES)
        await send_response(send, Response(status=200, headers=headers, body=body))

    def _work_s(self) -> float:
        is_long = self._long_runs and next(self._runs) % LONG_RUN_INTERVAL == 0
        return LONG_WORK_S if is_long else WORK_S

    async def _announce(self) -> None:
        started_ms = self._clock.unix_ms()
        url = f"http://{self._settings.announcements}/instances/{self._lifetime}"
        for sequence in count(1):
            announcement = {
                "service": self._settings.service,
                "address": self._settings.target,
                "failure_domain": self._settings.failure_domain,
                "version": "v1",
                "slots": SLOTS,
                "state": "ready",
                "cold_remaining_ms": 0,
                "seq": sequence,
                "born": started_ms,
            }
            content = encode_json(announcement)
            try:
                with trio.move_on_after(ANNOUNCE_INTERVAL_S):
                    await self._pool.request("PUT", url, content=content)
            except (NetworkError, ProtocolError, TimeoutException) as error:
                logger.debug("announcement not accepted", reason=repr(error))
            await trio.sleep(ANNOUNCE_INTERVAL_S)
