"""Tests of connections whose callers or targets send odd bytes.

Hypothesis chooses the steps of a caller, or the bytes that a target answers,
and plays them against the real server or client in virtual time.
"""

import re
from itertools import count

import trio
from hypothesis import example, given, settings
from hypothesis import strategies as st
from trio.testing import memory_stream_pair

from catkinhollow.calls.egress import HttpTargetClient
from catkinhollow.calls.exchange import Request, Response
from catkinhollow.calls.retries import AttemptKind
from catkinhollow.generated.relay import RequestLimits
from catkinhollow.generated.settings import HttpSettings
from catkinhollow.relay.admission.target_responses import make_classifier
from catkinhollow.relay.header_names import HeaderNames
from catkinhollow.relay.request_server import RequestServer

LIMITS = RequestLimits(max_header_bytes=2048, max_body_bytes=2000)
NAMES = HeaderNames()
RUN_S = 0.3

METHODS = ("GET", "HEAD", "POST", "OPTIONS", "CONNECT", "PUT", "X")
FIELDS = (
    "content-length: 0",
    "content-length: 5",
    "content-length: 4000",
    "content-length: -1",
    "content-length: 5\r\ncontent-length: 6",
    "transfer-encoding: chunked",
    "transfer-encoding: gzip",
    "expect: 100-continue",
    "connection: close",
    "upgrade: h2c\r\nconnection: upgrade",
    "x: " + "y" * 3000,
)
BODIES = (b"", b"abcde", b"5\r\nabcde\r\n", b"0\r\n\r\n", b"zz\r\n", bytes(3000))
PAUSES_S = (0.0, 0.1, 0.5, 4.0)


def encode_head(method, fields):
    lines = [f"{method} /a HTTP/1.1", "host: x", *fields, "", ""]
    return "\r\n".join(lines).encode()


SENDS = st.one_of(
    st.builds(
        encode_head,
        st.sampled_from(METHODS),
        st.lists(st.sampled_from(FIELDS), max_size=2),
    ),
    st.sampled_from(BODIES),
    st.binary(max_size=20),
)
CALLER_STEPS = st.lists(
    st.one_of(
        SENDS,
        st.sampled_from(PAUSES_S),
        st.sampled_from(["half close", "reset"]),
    ),
    max_size=8,
)


def number_requests(steps):
    """Return the steps with the number of each request as its path."""
    numbers = count(1)
    return [
        re.sub(rb" /a ", lambda _: b" /%d " % next(numbers), step)
        if isinstance(step, bytes)
        else step
        for step in steps
    ]


class Handler:
    """Answer after a run, as an ingress does; None for callers that left."""

    def __init__(self):
        self.runs = []

    async def __call__(self, request, wait_for_disconnect):
        self.runs.append(int(request.path.removeprefix("/")))
        with trio.move_on_after(RUN_S):
            await wait_for_disconnect()
            return None
        return Response(status=200, headers=[], body=f"ran {request.path};".encode())


async def read_to_end(client, received):
    try:
        while part := await client.receive_some(65536):
            received.append(part)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        received.append(b"")


async def take_steps(client, steps):
    try:
        for step in steps:
            if isinstance(step, float):
                await trio.sleep(step)
            elif step == "half close":
                await client.send_eof()
            elif step == "reset":
                client.send_stream.close()
                client.receive_stream.close()
                return
            else:
                await client.send_all(step)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        # The server has closed the connection.
        return


async def call_server(steps):
    """Play a caller, and check the responses and that the server goes on."""
    handler = Handler()
    server = RequestServer(handler, lambda: LIMITS)
    client, stream = memory_stream_pair()
    received = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve_stream, stream)
        nursery.start_soon(read_to_end, client, received)
        await take_steps(client, number_requests(steps))
        await trio.sleep(60.0)
        nursery.cancel_scope.cancel()
    data = b"".join(received)
    answered = [int(number) for number in re.findall(rb"ran /(\d+);", data)]
    assert answered == sorted(set(answered)), "responses doubled or out of order"
    assert set(answered) <= set(handler.runs), "a response to another request"
    assert len(handler.runs) == len(set(handler.runs)), "a request runs twice"
    assert data.count(b"HTTP/1.1 200") <= len(handler.runs), "too many responses"
    assert not server.busy, "a request is left open"


def play_caller(steps):
    """Play the steps of a caller in virtual time."""
    trio.run(call_server, steps, clock=trio.testing.MockClock(autojump_threshold=0))


@given(CALLER_STEPS)
@example([encode_head("POST", ["content-length: 5", "expect: 100-continue"]), "reset"])
@example([encode_head("CONNECT", [])])
@example([encode_head("HEAD", ["content-length: 5"]), b"a"])
@example([encode_head("GET", []) * 3, "half close"])
@example([encode_head("GET", []), encode_head("POST", []), encode_head("GET", []) * 2])
@settings(derandomize=True, deadline=None, max_examples=400)
def test_odd_caller_ends_its_connection_at_most(steps):
    """Guards against a caller who ends a daemon or confuses responses."""
    play_caller(steps)


STATUS_LINES = (
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 204 No Content\r\n",
    b"HTTP/1.1 101 Switching\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 103 Hints\r\n\r\n",
    b"HTTP/1.1 421 Other\r\n",
    b"HTTP/1.1 503 Busy\r\nx-not-executed: 1\r\n",
    b"HTTP/1.0 200 OK\r\n",
    b"HTTP/9 999\r\n",
)
ANSWER_FIELDS = (
    NAMES.request_id + b": id-1\r\n",
    NAMES.request_id + b": id-9\r\n",
    NAMES.signature + b": s\r\n",
    b"content-length: 3\r\n",
    b"content-length: 99\r\n",
    b"content-length: x\r\n",
    b"transfer-encoding: chunked\r\n",
    b"connection: close\r\n",
    b"upgrade: h2c\r\n",
)
ANSWER_ENDS = (b"\r\nabc", b"\r\n", b"\r\n3\r\nabc\r\n0\r\n\r\n", b"", b"\r\nabcabcabc")
ANSWERS = st.builds(
    lambda status, fields, end: status + b"".join(fields) + end,
    st.sampled_from(STATUS_LINES),
    st.lists(st.sampled_from(ANSWER_FIELDS), max_size=4),
    st.sampled_from(ANSWER_ENDS),
)
TARGET_ANSWERS = st.lists(
    st.tuples(
        st.one_of(ANSWERS, st.binary(max_size=30)),
        st.sampled_from(["keep", "close", "silent"]),
    ),
    min_size=1,
    max_size=4,
)


class OddBackend:
    """Connect to a target that answers with the next bytes of a script."""

    def __init__(self, script):
        self.script = list(script)

    async def connect_tcp(self, host, port, timeout):
        return OddStream(self.script)


class OddStream:
    """Answer each request of one connection."""

    def __init__(self, script):
        self.script = script
        self.unread = b""
        self.end = "silent"

    def try_send(self, data):
        if self.script:
            answer, self.end = self.script.pop(0)
            self.unread += answer
        return len(data)

    async def read(self, max_bytes, timeout=None):
        if not self.unread and self.end != "close":
            await trio.sleep_forever()
        data, self.unread = self.unread[:max_bytes], self.unread[max_bytes:]
        return data

    async def aclose(self):
        self.end = "close"

    def get_extra_info(self, info):
        return None


async def call_target(script):
    """Send requests to an odd target and check what is said of them."""
    client = HttpTargetClient(HttpSettings(), make_classifier(NAMES))
    client._backend = OddBackend(script)
    for _ in range(4):
        headers = [(b"host", b"t"), (NAMES.request_id, b"id-1")]
        request = Request(method="GET", path="/", query=b"", headers=headers, body=b"")
        started_s = trio.current_time()
        result = await client.send("127.0.0.1:1", request, 1.0)
        assert trio.current_time() - started_s <= 1.1
        if result.kind is AttemptKind.ANSWERED:
            answered_id = result.response.header(NAMES.request_id)
            assert answered_id == b"id-1" or result.response.status >= 400
        await trio.sleep(0.1)
    await client.aclose()


def play_target(script):
    """Play the answers of a target in virtual time."""
    trio.run(call_target, script, clock=trio.testing.MockClock(autojump_threshold=0))


@given(TARGET_ANSWERS)
@settings(derandomize=True, deadline=None, max_examples=400)
def test_odd_target_ends_no_daemon(script):
    """Guards against a target that ends a daemon or answers for another."""
    play_target(script)
