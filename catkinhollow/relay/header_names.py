"""Name the HTTP headers that carry the state of a call."""

from attrs import frozen

from catkinhollow.calls.exchange import (
    DEADLINE_HEADER,
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
)


@frozen(kw_only=True)
class HeaderNames:
    """Configure the lower-case header names of callers and targets."""

    request_id: bytes = REQUEST_ID_HEADER
    deadline: bytes = DEADLINE_HEADER
    not_run: bytes = NOT_RUN_HEADER
    signature: bytes = b"x-target-signature"
    expected_lifetime: bytes = b"x-expected-lifetime"
    lifetime: bytes = b"x-target-lifetime"
    cold_remaining: bytes = b"x-target-cold-ms"
    caller_service: bytes = b"x-caller-service"
    organisation: bytes = b"x-organisation"
    load: bytes = b"x-target-load"
