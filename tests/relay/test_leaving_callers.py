"""Tests of callers that leave before, during and after a run."""

import socket
import struct

import pytest
import trio
from relay_builders import make_route
from relay_fleet import NAMES, RelayFleet

from catkinhollow.calls.exchange import plain_response

pytestmark = pytest.mark.processes

# Statuses that promise that a request has not run.
NOT_RUN_STATUSES = (b"408", b"421", b"429", b"503")
# Larger than what the kernel's buffers take from the daemon.
ANSWER = "x" * 8_000_000


@pytest.fixture
async def fleet(nursery):
    return RelayFleet(nursery)


async def read_to_end(stream):
    received = b""
    with trio.fail_after(10.0):
        while part := await stream.receive_some(65536):
            received += part
    return received


async def half_close(stream):
    await stream.send_eof()
    received = await read_to_end(stream)
    await stream.aclose()
    return received


async def close(stream):
    await stream.aclose()
    return b""


async def reset(stream):
    stream.socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    await stream.aclose()
    return b""


LEAVE = {"half close": half_close, "close": close, "reset": reset}


async def send_request(fleet, request_id):
    host, _, port = fleet.members["one"].settings.requests.rpartition(":")
    stream = await trio.open_tcp_stream(host, int(port))
    lines = (
        "POST /a/b HTTP/1.1",
        "host: shop.example",
        "content-length: 0",
        f"{NAMES.request_id.decode()}: {request_id}",
    )
    await stream.send_all("\r\n".join([*lines, "", ""]).encode())
    return stream


async def wait_for_phase(fleet, stream, phase):
    """Wait for the moment to leave; return what was read until then."""
    target = fleet.members["two"].target
    if phase == "running":
        await fleet.wait_until(lambda: target.runs)
    elif phase == "answering":
        return await stream.receive_some(12)
    return b""


@pytest.mark.parametrize("kind", ["safe", "download", "unsafe"])
@pytest.mark.parametrize("way", LEAVE)
@pytest.mark.parametrize("phase", ["before", "running", "answering"])
async def test_caller_that_leaves_gets_no_false_answer(fleet, kind, way, phase):
    """Guards against refusals of orders that run, and doubled runs."""
    fleet.configure(routes=[make_route(kind=kind, timeout_ms=8000.0)])
    await fleet.start("one", service="shop")
    await fleet.start("two", service="stock")
    await fleet.wait_linked()
    target = fleet.members["two"].target
    target.run_time_s = 0.2
    if phase == "answering":
        target.answer = plain_response(200, ANSWER)
    stream = await send_request(fleet, "c1")
    received = await wait_for_phase(fleet, stream, phase)
    received += await LEAVE[way](stream)
    gate = fleet.members["two"].daemon.gate
    await fleet.wait_until(lambda: not gate.busy)
    assert received[9:12] not in NOT_RUN_STATUSES
    assert target.runs.get("c1", 0) in ((0, 1) if phase == "before" else (1,))
    if phase == "answering" and way == "half close":
        assert received.startswith(b"HTTP/1.1 200")
        assert received.endswith(ANSWER.encode() + b"\n")
    if phase != "answering":
        assert received == b""
    target.answer = None
    assert (await fleet.call("one", "c2")).status == 200
    assert target.runs["c2"] == 1
