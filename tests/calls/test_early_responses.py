"""Tests of targets that respond before they have read a long request."""

import socket
import struct
from functools import partial

import pytest
import trio

from catkinhollow.calls.egress import HttpTargetClient
from catkinhollow.calls.exchange import Request
from catkinhollow.calls.retries import AttemptKind
from catkinhollow.generated.settings import HttpSettings
from catkinhollow.relay.admission.target_responses import make_classifier
from catkinhollow.relay.header_names import HeaderNames

NAMES = HeaderNames()
HEAD = b"HTTP/1.1 %s\r\nx-request-id: c1\r\nx-target-signature: signed\r\n"
PART = b"p" * 1000
FRAMINGS = {
    "length": b"content-length: 1000\r\n\r\n" + PART,
    "chunks": b"transfer-encoding: chunked\r\n\r\n3e8\r\n" + PART + b"\r\n0\r\n\r\n",
    "end": b"\r\n" + PART,
}
# More than the kernels of both sides take.
BODY = bytes(range(256)) * 40_000
SETTINGS = HttpSettings()


def make_request(body=BODY, request_id=b"c1"):
    length = str(len(body)).encode()
    headers = [
        (b"host", b"target"),
        (NAMES.request_id, request_id),
        (b"content-length", length),
    ]
    return Request(method="POST", path="/a", query=b"", headers=headers, body=body)


def encode_early(framing, status=b"200 OK"):
    return HEAD % status + FRAMINGS[framing]


class EarlyTarget:
    """Respond to the head of a request, then do something else."""

    def __init__(self, response, then):
        self.response = response
        self.then = then
        self.received = []
        self.connections = 0

    async def serve(self, stream):
        self.connections += 1
        data = b""
        while b"\r\n\r\n" not in data:
            data += await stream.receive_some(1024)
        await stream.send_all(self.response)
        await self.then(self, stream, data.partition(b"\r\n\r\n")[2])


async def read_no_more(target, stream, body):
    await trio.sleep_forever()


async def read_on(target, stream, body):
    """Read the request after a while, then respond to short ones."""
    await trio.sleep(0.2)
    while len(body) < len(BODY):
        body += await stream.receive_some(65536)
    target.received.append(body[: len(BODY)])
    data = body[len(BODY) :] or await stream.receive_some(65536)
    while data:
        target.received.append(data)
        await stream.send_all(encode_early("length"))
        data = await stream.receive_some(65536)


async def end_in_order(target, stream, body):
    """End the sending side, then close with unread bytes."""
    await stream.send_eof()


async def reset(target, stream, body):
    sock = stream.socket
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


async def start(nursery, response, then):
    target = EarlyTarget(response, then)
    listeners = await nursery.start(
        partial(trio.serve_tcp, target.serve, 0, host="127.0.0.1")
    )
    port = listeners[0].socket.getsockname()[1]
    client = HttpTargetClient(SETTINGS, make_classifier(NAMES))
    return target, client, f"127.0.0.1:{port}"


@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("status", [b"200 OK", b"413 Too Large"])
async def test_early_response_is_delivered_although_the_request_is_not_read(
    nursery, framing, status
):
    """Guards against a response that waits for the end of its request."""
    response = encode_early(framing, status)
    _, client, address = await start(nursery, response, read_no_more)
    with trio.fail_after(5.0):
        attempt = await client.send(address, make_request(), 30.0)
    assert attempt.kind is AttemptKind.ANSWERED
    assert attempt.response.body == PART


async def test_rest_of_an_answered_request_is_sent(nursery):
    """Guards against other bytes where a target expects the rest of a body."""
    response = encode_early("length")
    target, client, address = await start(nursery, response, read_on)
    early = []

    def on_early(result):
        early.append((result.kind, list(target.received)))

    attempt = await client.send(address, make_request(), 30.0, on_early)
    assert attempt.response.body == PART
    assert early == [(AttemptKind.ANSWERED, [])]
    await client.send(address, make_request(b"short"), 30.0)
    assert target.received[0] == BODY
    assert target.received[1].endswith(b"\r\n\r\nshort")
    assert target.connections == 1


async def test_rest_of_a_request_is_given_up_at_its_deadline(nursery):
    """Guards against uploads that hold a connection for ever."""
    response = encode_early("length")
    target, client, address = await start(nursery, response, read_no_more)
    early = []
    with trio.fail_after(5.0):
        attempt = await client.send(address, make_request(), 0.5, early.append)
    assert early == [attempt]
    assert attempt.kind is AttemptKind.ANSWERED
    await client.send(address, make_request(b"short"), 0.5)
    assert target.connections == 2


async def test_request_ends_with_the_response_to_another_one(nursery):
    """Guards against a further upload to a target that answers out of turn."""
    response = encode_early("length").replace(b"c1", b"c9")
    _, client, address = await start(nursery, response, read_no_more)
    early = []
    with trio.fail_after(5.0):
        attempt = await client.send(address, make_request(), 30.0, early.append)
    assert [result.kind for result in early] == [AttemptKind.BROKEN]
    assert attempt.kind is AttemptKind.BROKEN


async def test_response_that_ends_in_order_is_whole_although_a_reset_follows(nursery):
    """Guards against whole responses that are dropped for a late reset."""
    response = encode_early("end")
    _, client, address = await start(nursery, response, end_in_order)
    for _ in range(30):
        attempt = await client.send(address, make_request(), 30.0)
        assert attempt.kind is AttemptKind.ANSWERED, attempt.reason
        assert attempt.response.body == PART


@pytest.mark.parametrize("framing", ["end", "length", "chunks"])
async def test_response_that_is_reset_is_whole_only_if_its_length_says_so(
    nursery, framing
):
    """Guards against a part of a response that reaches a caller as a whole."""
    _, client, address = await start(nursery, encode_early(framing), reset)
    for _ in range(30):
        attempt = await client.send(address, make_request(), 30.0)
        if framing == "end":
            assert attempt.kind is AttemptKind.BROKEN
        elif attempt.kind is AttemptKind.ANSWERED:
            assert attempt.response.body == PART


class ResetStream:
    """Report a reset to the write; what has arrived before can be read."""

    def __init__(self, arrived):
        self.arrived = [arrived]

    async def write(self, data, timeout=None):
        raise ConnectionResetError("reset")

    def try_send(self, data):
        raise ConnectionResetError("reset")

    async def read(self, max_bytes, timeout=None):
        await trio.lowlevel.checkpoint()
        return self.arrived.pop() if self.arrived else b""

    async def aclose(self):
        pass

    def get_extra_info(self, info):
        return None


class ResetBackend:
    """Open connections that are reset."""

    def __init__(self, arrived):
        self.arrived = arrived

    async def connect_tcp(self, host, port, timeout):
        return ResetStream(self.arrived)


@pytest.mark.parametrize(
    ("framing", "kind"),
    [
        ("end", AttemptKind.BROKEN),
        ("length", AttemptKind.ANSWERED),
        ("chunks", AttemptKind.ANSWERED),
    ],
)
async def test_reset_of_a_write_is_no_end_of_a_response(framing, kind):
    """Guards against a reset that the kernel reports to the write only."""
    client = HttpTargetClient(SETTINGS, make_classifier(NAMES))
    client._backend = ResetBackend(encode_early(framing))
    attempt = await client.send("127.0.0.1:1", make_request(b"short"), 30.0)
    assert attempt.kind is kind
