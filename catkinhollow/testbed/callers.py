"""Send calls as clients do, and record each one."""

from collections.abc import Callable, Sequence
from enum import StrEnum
from random import Random
from uuid import uuid4

import trio
from attrs import Factory, define, frozen
from httpcore import (
    AsyncConnectionPool,
    ConnectError,
    NetworkError,
    ProtocolError,
    Response,
    TimeoutException,
)

from catkinhollow.calls.exchange import (
    BACKER_HEADER,
    DEADLINE_HEADER,
    IDEMPOTENCY_HEADER,
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
    Headers,
    find_header,
)

CALL_TIMEOUT_S = 10.0
CONNECT_ATTEMPTS = 3
MIN_SERVER_ERROR = 500


class CallResult(StrEnum):
    """Classify what a response says about a request."""

    OK = "ok"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"
    WRONG_ANSWER = "wrong_answer"


@frozen(kw_only=True)
class CallKind:
    """Describe a kind of call and its share of the calls."""

    name: str
    method: str
    path: str
    weight: float
    """Share of the calls that are of this kind, relative to other kinds."""
    worth: float
    """Weight of a call of this kind in the served percentage."""
    idempotent: bool = True
    backer: str = ""


@frozen(kw_only=True)
class CallRecord:
    """Represent one call as its caller observed it."""

    request_id: str
    kind: CallKind
    result: CallResult
    status: int
    started_s: float
    taken_s: float
    """Time from the call to its response or timeout."""
    version: str = ""
    refusal: str = ""


@define
class CallLog:
    """Collect the records of all callers."""

    records: list[CallRecord] = Factory(list)

    def count(self, result: CallResult) -> int:
        """Return the number of calls with a result."""
        return sum(record.result is result for record in self.records)

    def between(self, start_s: float, end_s: float) -> list[CallRecord]:
        """Return the calls that started from `start_s` to before `end_s`."""
        return [item for item in self.records if start_s <= item.started_s < end_s]


class CallerGroup:
    """Make calls at a mean rate that does not depend on response times."""

    def __init__(
        self,
        addresses: Callable[[], Sequence[str]],
        kinds: Sequence[CallKind],
        rate_per_s: float,
        random: Random,
        log: CallLog,
    ) -> None:
        self._addresses = addresses
        self._kinds = kinds
        self._weights = [kind.weight for kind in kinds]
        self._rate_per_s = rate_per_s
        self._random = random
        self._log = log
        self._pools: dict[str, AsyncConnectionPool] = {}
        self._stopping = trio.Event()

    def stop(self) -> None:
        """Make no new calls; calls in flight finish."""
        self._stopping.set()

    async def run(self) -> None:
        """Make calls until stopped, and wait for their responses."""
        async with trio.open_nursery() as nursery:
            while not self._stopping.is_set():
                kind = self._random.choices(self._kinds, self._weights)[0]
                address = self._random.choice(self._addresses())
                nursery.start_soon(self.call, address, kind)
                pause_s = self._random.expovariate(self._rate_per_s)
                with trio.move_on_after(pause_s):
                    await self._stopping.wait()
        for pool in self._pools.values():
            await pool.aclose()

    async def call(self, address: str, kind: CallKind) -> CallRecord:
        """Make one call through an ingress daemon and record it."""
        request_id = uuid4().hex
        started_s = trio.current_time()
        response = await self._send(address, kind, request_id)
        result = classify_response(response, request_id)
        record = CallRecord(
            request_id=request_id,
            kind=kind,
            result=result,
            status=response.status if response else 0,
            started_s=started_s,
            taken_s=trio.current_time() - started_s,
            version=_version(response),
            refusal=_reason(response) if result is CallResult.NOT_RUN else "",
        )
        self._log.records.append(record)
        return record

    async def _send(
        self, address: str, kind: CallKind, request_id: str
    ) -> Response | None:
        headers = _headers(kind, request_id)
        with trio.move_on_after(CALL_TIMEOUT_S):
            for _ in range(CONNECT_ATTEMPTS):
                try:
                    return await self._request(address, kind, headers)
                except ConnectError:
                    # No byte was sent, so another daemon may be tried.
                    address = self._random.choice(self._addresses())
                except (NetworkError, ProtocolError, TimeoutException):
                    return None
        return None

    async def _request(
        self, address: str, kind: CallKind, headers: Headers
    ) -> Response:
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = AsyncConnectionPool(max_connections=100)
        return await pool.request(
            kind.method,
            f"http://{address}{kind.path}",
            headers=headers,
            content=b"" if kind.method == "GET" else b"{}",
        )


def _headers(kind: CallKind, request_id: str) -> Headers:
    headers = [
        (REQUEST_ID_HEADER, request_id.encode()),
        (DEADLINE_HEADER, str(int(CALL_TIMEOUT_S * 1000)).encode()),
        (BACKER_HEADER, kind.backer.encode()),
    ]
    if not kind.idempotent:
        headers.append((IDEMPOTENCY_HEADER, request_id.encode()))
    return headers


def classify_response(response: Response | None, request_id: str) -> CallResult:
    """Return what a response says about the request of its caller."""
    if response is None:
        return CallResult.UNKNOWN
    headers = [(name.lower(), value) for name, value in response.headers]
    if find_header(headers, NOT_RUN_HEADER) == b"1":
        return CallResult.NOT_RUN
    if response.status == 504:
        return CallResult.UNKNOWN
    if find_header(headers, REQUEST_ID_HEADER) != request_id.encode():
        return CallResult.WRONG_ANSWER
    if response.status >= MIN_SERVER_ERROR:
        return CallResult.FAILED
    if request_id.encode() not in response.content:
        return CallResult.WRONG_ANSWER
    return CallResult.OK


def _reason(response: Response | None) -> str:
    return response.content.decode(errors="replace").strip() if response else ""


def _version(response: Response | None) -> str:
    if response is None:
        return ""
    headers = [(name.lower(), value) for name, value in response.headers]
    return (find_header(headers, b"x-target-version") or b"").decode()
