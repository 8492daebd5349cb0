"""Define the HTTP requests and responses that pass through a daemon."""

from enum import StrEnum
from typing import Any

from attrs import frozen

from catkinhollow.codec import encode_json

NOT_RUN_HEADER = b"catkinhollow-not-run"
OUTCOME_HEADER = b"catkinhollow-outcome"
REQUEST_ID_HEADER = b"x-request-id"
DEADLINE_HEADER = b"x-deadline-ms"
BACKER_HEADER = b"x-backer"
VERSION_HEADER = b"x-target-version"
IDEMPOTENCY_HEADER = b"idempotency-key"
TRACE_HEADER = b"traceparent"

Headers = list[tuple[bytes, bytes]]


class Outcome(StrEnum):
    """Classify what is known about whether a request ran."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@frozen(kw_only=True)
class Request:
    """Represent one request; header names are in lower case."""

    method: str
    path: str
    query: bytes
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return find_header(self.headers, name)


@frozen(kw_only=True)
class Response:
    """Represent one whole response; header names are in lower case."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header."""
    for key, value in headers:
        if key == name:
            return value
    return None


def with_header(headers: Headers, name: bytes, value: bytes) -> Headers:
    """Return the headers with one of them set or replaced."""
    return [(key, old) for key, old in headers if key != name] + [(name, value)]


def request_with_headers(request: Request, headers: Headers) -> Request:
    """Return the request with other headers."""
    # attrs' evolve() takes over twice as long, and each call needs two copies.
    return Request(
        method=request.method,
        path=request.path,
        query=request.query,
        headers=headers,
        body=request.body,
    )


def response_with_headers(response: Response, headers: Headers) -> Response:
    """Return the response with other headers."""
    return Response(status=response.status, headers=headers, body=response.body)


def plain_response(
    status: int, reason: str, headers: Headers | None = None
) -> Response:
    """Return a response with one line of text."""
    return Response(
        status=status,
        headers=[(b"content-type", b"text/plain"), *(headers or [])],
        body=f"{reason}\n".encode(),
    )


def json_response(status: int, value: Any) -> Response:
    """Return a response with the value encoded as JSON."""
    return Response(
        status=status,
        headers=[(b"content-type", b"application/json")],
        body=encode_json(value),
    )


def not_run_response(reason: str, status: int = 503) -> Response:
    """Return a refusal that states that the request did not run."""
    return plain_response(status, reason, [(NOT_RUN_HEADER, b"1")])


def unknown_response(reason: str) -> Response:
    """Return the response to a request whose outcome is unknown."""
    return plain_response(504, reason, [(OUTCOME_HEADER, b"unknown")])
