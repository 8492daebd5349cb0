"""Encode requests and responses as HTTP/1.1 messages.

The framing of the body is decided here alone: headers of the message that
would tell another length are left out.
"""

import re

from catkinhollow.calls.exchange import Headers, Request, Response
from catkinhollow.calls.http_grammar import REQUEST_HEAD, RESPONSE_HEAD

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_FRAMING = (b"content-length", b"transfer-encoding", b"connection")
_BODILESS_STATUSES = (204, 304)
_METHODS_WITHOUT_BODY = ("GET", "HEAD", "DELETE")


class EncodingError(Exception):
    """Signal a message that can't be sent."""


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers without the hop-by-hop headers."""
    return [header for header in headers if header[0] not in HOP_BY_HOP]


def encode_response(response: Response, *, method: str, closes: bool) -> bytes:
    """Return the bytes of the response to a request with a method.

    Raises EncodingError.
    """
    status, body = response.status, response.body
    lines = [b"HTTP/1.1 %d " % status]
    lines += [
        b"%s: %s" % header for header in response.headers if header[0] not in _FRAMING
    ]
    lines.append(b"content-length: %d" % len(body))
    if closes:
        lines.append(b"connection: close")
    lines.append(b"\r\n")
    head = b"\r\n".join(lines)
    if status < 200 or not _is_whole(RESPONSE_HEAD, head, len(lines)):
        raise EncodingError(f"response with status {status} is malformed")
    if method == "HEAD" or status in _BODILESS_STATUSES:
        return head
    return head + body


def encode_request(request: Request) -> bytes:
    """Return the head of a request, which its body follows.

    Raises EncodingError.
    """
    target = request.path.encode()
    if request.query:
        target += b"?" + request.query
    lines = [b"%s %s HTTP/1.1" % (request.method.encode(), target)]
    lines += [
        b"%s: %s" % header for header in request.headers if header[0] not in HOP_BY_HOP
    ]
    if request.body or request.method not in _METHODS_WITHOUT_BODY:
        lines.append(b"content-length: %d" % len(request.body))
    lines.append(b"\r\n")
    head = b"\r\n".join(lines)
    has_host = request.header(b"host") is not None
    if not has_host or not _is_whole(REQUEST_HEAD, head, len(lines)):
        raise EncodingError("request is malformed")
    return head


def _is_whole(pattern: re.Pattern[bytes], head: bytes, lines: int) -> bool:
    """Return whether a head is well-formed and has no line within a value."""
    return pattern.fullmatch(head) is not None and head.count(b"\n") == lines
