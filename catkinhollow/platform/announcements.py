"""Receive the announcements of the target on the instance."""

from collections.abc import Awaitable, Callable

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
from catkinhollow.relay.admission.gate_jobs import Announcement
from catkinhollow.relay.admission.target_listener import Acknowledgement, TargetListener

logger = get_logger(__name__)

PATH_PREFIX = "/instances/"


class AnnouncementApplication:
    """Answer the announcements of the target."""

    def __init__(self, listener: TargetListener, service: str) -> None:
        self._listener = listener
        self._service = service

    async def __call__(
        self, request: Request, wait_for_disconnect: Callable[[], Awaitable[None]]
    ) -> Response:
        """Return the response to one announcement."""
        return await self._handle(request)

    async def _handle(self, request: Request) -> Response:
        lifetime = request.path.removeprefix(PATH_PREFIX)
        if not request.path.startswith(PATH_PREFIX) or not lifetime:
            return plain_response(404, "no such resource")
        if request.method == "PUT":
            return await self._handle_announcement(lifetime, request.body)
        if request.method == "DELETE":
            return await self._handle_departure(lifetime, request.body)
        return plain_response(405, "only PUT and DELETE")

    async def _handle_announcement(self, lifetime: str, body: bytes) -> Response:
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
        acknowledgement = await self._listener.announce(
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
        if acknowledgement is Acknowledgement.OUTDATED:
            logger.info(
                "announcement outdated", lifetime=lifetime, sequence=message.seq
            )
        return _to_response(acknowledgement)

    async def _handle_departure(self, lifetime: str, body: bytes) -> Response:
        decoded = decode_json(body or b"{}", TargetDeparture)
        started_ms = decoded.ok.born if decoded.is_ok() else None
        return _to_response(await self._listener.depart(lifetime, started_ms))


def _to_response(acknowledgement: Acknowledgement) -> Response:
    if acknowledgement is Acknowledgement.NOT_STORED:
        return plain_response(503, "the store has not taken the departure")
    return json_response(200, {})
