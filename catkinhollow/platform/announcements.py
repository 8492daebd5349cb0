"""Receive the announcements of the target on the instance."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from catkinhollow.calls.exchange import (
    Request,
    Response,
    json_response,
    plain_response,
)
from catkinhollow.codec import decode_json
from catkinhollow.logs import get_logger
from catkinhollow.platform.generated import (
    AnnouncedState,
    TargetAnnouncement,
    TargetDeparture,
)
from catkinhollow.relay.gate_jobs import Announcement

logger = get_logger(__name__)

PATH_PREFIX = "/instances/"


class TargetListener(Protocol):
    """Handle announcements of the target."""

    def announce(self, announcement: Announcement) -> bool:
        """Handle an announcement; return False if it is outdated."""

    def depart(self, lifetime: str, started_ms: int | None) -> None:
        """Handle the departure of a target, which is about to end.

        started_ms is the Unix time of the target's start, if it is known.
        """


class AnnouncementApplication:
    """Answer the announcements of the target."""

    def __init__(self, listener: TargetListener, service: str) -> None:
        self._listener = listener
        self._service = service

    async def __call__(
        self, request: Request, wait_for_disconnect: Callable[[], Awaitable[None]]
    ) -> Response:
        """Return the response to one announcement."""
        return self._handle(request)

    def _handle(self, request: Request) -> Response:
        lifetime = request.path.removeprefix(PATH_PREFIX)
        if not request.path.startswith(PATH_PREFIX) or not lifetime:
            return plain_response(404, "no such resource")
        if request.method == "PUT":
            return self._handle_announcement(lifetime, request.body)
        if request.method == "DELETE":
            return self._handle_departure(lifetime, request.body)
        return plain_response(405, "only PUT and DELETE")

    def _handle_announcement(self, lifetime: str, body: bytes) -> Response:
        decoded = decode_json(body, TargetAnnouncement)
        if decoded.is_error():
            logger.warning(
                "announcement refused", lifetime=lifetime, reason=decoded.error.reason
            )
            return plain_response(400, decoded.error.reason)
        message = decoded.ok
        if message.service != self._service:
            logger.warning(
                "announcement refused", lifetime=lifetime, service=message.service
            )
            return plain_response(400, "target of another service")
        accepted = self._listener.announce(
            Announcement(
                lifetime=lifetime,
                version=message.version,
                slots=message.slots,
                draining=message.state is AnnouncedState.DRAINING,
                cold_s=message.cold_remaining_ms / 1000.0,
                sequence=message.seq,
                started_ms=message.born,
            )
        )
        if not accepted:
            logger.info(
                "announcement outdated", lifetime=lifetime, sequence=message.seq
            )
        return json_response(200, {})

    def _handle_departure(self, lifetime: str, body: bytes) -> Response:
        decoded = decode_json(body or b"{}", TargetDeparture)
        started_ms = decoded.ok.born if decoded.is_ok() else None
        logger.info("target departs", lifetime=lifetime)
        self._listener.depart(lifetime, started_ms)
        return json_response(200, {})
