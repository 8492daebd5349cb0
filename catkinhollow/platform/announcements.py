"""Take the status reports of the target on the instance."""

from typing import Protocol

from catkinhollow.calls.exchange import Request, Response, plain_response
from catkinhollow.calls.http_server import (
    Receive,
    Scope,
    Send,
    json_response,
    read_request,
    send_response,
)
from catkinhollow.codec import decode_json
from catkinhollow.logs import get_logger
from catkinhollow.platform.generated import (
    TargetFarewell,
    TargetNews,
    TargetStateWord,
)
from catkinhollow.relay.gate_jobs import Announcement

logger = get_logger(__name__)

MAX_REPORT_BYTES = 65536
PATH_PREFIX = "/instances/"


class TargetListener(Protocol):
    """Take news of the target."""

    def announce(self, news: Announcement) -> bool:
        """Take what the target tells of itself; False if it is outdated."""

    def depart(self, lifetime: str, started_ms: int | None) -> None:
        """Take the announcement that the target ends."""


class AnnouncementApplication:
    """Serve status reports as an ASGI application."""

    def __init__(self, listener: TargetListener, service: str) -> None:
        self._listener = listener
        self._service = service

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        read = await read_request(scope, receive, MAX_REPORT_BYTES)
        response = self._answer(read.ok) if read.is_ok() else read.error
        await send_response(send, response)

    def _answer(self, request: Request) -> Response:
        lifetime = request.path.removeprefix(PATH_PREFIX)
        if not request.path.startswith(PATH_PREFIX) or not lifetime:
            return plain_response(404, "no such resource")
        if request.method == "PUT":
            return self._take_report(lifetime, request.body)
        if request.method == "DELETE":
            return self._take_farewell(lifetime, request.body)
        return plain_response(405, "only PUT and DELETE")

    def _take_report(self, lifetime: str, body: bytes) -> Response:
        decoded = decode_json(body, TargetNews)
        if decoded.is_error():
            logger.warning(
                "status report refused", lifetime=lifetime, reason=decoded.error.reason
            )
            return plain_response(400, decoded.error.reason)
        news = decoded.ok
        if news.service != self._service:
            logger.warning(
                "status report refused", lifetime=lifetime, service=news.service
            )
            return plain_response(400, "target of another service")
        taken = self._listener.announce(
            Announcement(
                lifetime=lifetime,
                version=news.version,
                slots=news.slots,
                draining=news.state is TargetStateWord.DRAINING,
                cold_s=news.cold_remaining_ms / 1000.0,
                sequence=news.seq,
                started_ms=news.born,
            )
        )
        if not taken:
            logger.info("status report outdated", lifetime=lifetime, sequence=news.seq)
        return json_response(200, {})

    def _take_farewell(self, lifetime: str, body: bytes) -> Response:
        decoded = decode_json(body or b"{}", TargetFarewell)
        started_ms = decoded.ok.born if decoded.is_ok() else None
        logger.info("target leaves", lifetime=lifetime)
        self._listener.depart(lifetime, started_ms)
        return json_response(200, {})
