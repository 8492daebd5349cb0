"""Define the parsers of HTTP/1.1 that servers and clients use."""

from typing import Protocol

from attrs import frozen

from catkinhollow.calls.exchange import Headers, Request


class InvalidRequestError(Exception):
    """Signal a request that is refused, and with which status."""

    def __init__(self, status: int, reason: str, detail: str = "") -> None:
        super().__init__(detail or reason)
        self.status = status
        self.reason = reason


class InvalidResponseError(Exception):
    """Signal bytes that are no whole response."""


@frozen(kw_only=True)
class ParseLimits:
    """Limit what is read of one request, in bytes."""

    max_head_bytes: int
    """Also limits what carries no part of a body, such as trailers."""
    max_body_bytes: int


@frozen
class ReceivedRequest:
    """Represent a whole request."""

    request: Request
    keeps_open: bool
    """Whether further requests may follow on the connection."""


class RequestParser(Protocol):
    """Split the bytes of one connection into requests.

    After an InvalidRequestError the parser must not be used again.
    """

    @property
    def started(self) -> bool:
        """Return whether a part of a request has arrived."""

    @property
    def ended(self) -> bool:
        """Return whether the caller sends no more bytes."""

    @property
    def method(self) -> str:
        """Return the method of the request that has begun, "" if unknown."""

    @property
    def awaits_continue(self) -> bool:
        """Return whether the caller sends its body after a 100 response."""

    def feed(self, data: bytes) -> None:
        """Add received bytes; none mean that the caller sends no more."""

    def continue_sent(self) -> None:
        """Record that a 100 response was sent."""

    def next_request(self, limits: ParseLimits) -> ReceivedRequest | None:
        """Return the next request, None if it is not whole yet.

        Raises InvalidRequestError.
        """


class ResponseParser(Protocol):
    """Read one response, after any number of informational ones.

    Each method that reads raises InvalidResponseError. The parser must not be
    used after that.
    """

    @property
    def has_head(self) -> bool:
        """Return whether the head of the final response is whole."""

    @property
    def complete(self) -> bool:
        """Return whether the response is whole."""

    @property
    def has_extra_data(self) -> bool:
        """Return whether bytes have arrived after the whole response."""

    @property
    def keeps_open(self) -> bool:
        """Return whether a further request may follow on the connection."""

    @property
    def status(self) -> int:
        """Return the status of the final response."""

    @property
    def headers(self) -> Headers:
        """Return the headers of the final response; names in lower case."""

    @property
    def parts(self) -> int:
        """Return the number of reads and chunks that the body came in."""

    def feed(self, data: bytes) -> None:
        """Read the next bytes; none mean that the target sends no more."""

    def take_body(self) -> bytes:
        """Return what has arrived of the body since the last call."""
