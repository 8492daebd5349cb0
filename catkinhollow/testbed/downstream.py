"""Call the next service of a chain from a stand-in target."""

from catkinhollow.calls.egress import HttpTargetClient, TargetClient
from catkinhollow.calls.exchange import (
    DEADLINE_HEADER,
    REQUEST_ID_HEADER,
    Headers,
    Request,
)
from catkinhollow.generated.settings import HttpSettings
from catkinhollow.testbed.target_model import Call

LOOPBACK_PREFIX = "127."
TIMEOUT_S = 10.0
OK_STATUS = 200


def parse_then(text: str) -> tuple[str, ...]:
    """Return the ADDRESS/PATH of each downstream call of a chain.

    Raise ValueError for a step that is not on loopback or has no path.
    """
    steps = tuple(text.split(",")) if text else ()
    if not all(step.startswith(LOOPBACK_PREFIX) and "/" in step for step in steps):
        raise ValueError("then holds no ADDRESS/PATH on loopback")
    return steps


def chain_path(path: str, steps: tuple[str, ...]) -> tuple[str, bytes]:
    """Return the path and query of a call with downstream calls."""
    return path, f"then={','.join(steps)}".encode() if steps else b""


class DownstreamCaller:
    """Make the next call of a chain and wait for its response."""

    def __init__(self, client: TargetClient | None = None) -> None:
        self._client = client or HttpTargetClient(HttpSettings())

    async def call(self, call: Call) -> bool:
        """Make the next call, if any; return whether the chain succeeded."""
        if not call.then:
            return True
        address, _, path = call.then[0].partition("/")
        path, query = chain_path(f"/{path}", call.then[1:])
        request = Request(
            method="GET",
            path=path,
            query=query,
            headers=_headers(call, address),
            body=b"",
        )
        result = await self._client.send(address, request, TIMEOUT_S)
        return result.status == OK_STATUS


def _headers(call: Call, address: str) -> Headers:
    headers = [
        (b"host", address.encode()),
        (REQUEST_ID_HEADER, call.request_id.encode("latin-1")),
    ]
    if call.deadline_s is not None:
        deadline_ms = int(call.deadline_s * 1000)
        headers.append((DEADLINE_HEADER, str(deadline_ms).encode()))
    return headers
