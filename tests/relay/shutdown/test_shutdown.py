"""Tests of callers that still read when their daemon is stopped."""

import pytest
import trio
from relay_builders import make_route
from relay_fleet import NAMES, RelayFleet
from slow_callers import open_slow_connection, read_to_end, read_while

from catkinhollow.calls.exchange import plain_response

pytestmark = pytest.mark.processes

BODY = "x" * 60_000


def encode_request(request_id):
    name = NAMES.request_id.decode()
    text = f"GET /a/b HTTP/1.1\r\nhost: shop.example\r\n{name}: {request_id}\r\n\r\n"
    return text.encode()


async def start_download(fleet):
    """Return a connection, and what was read of its response."""
    fleet.configure(routes=[make_route(kind="download", timeout_ms=10_000.0)])
    one = await fleet.start("one", service="shop")
    two = await fleet.start("two")
    await fleet.wait_linked()
    two.target.answer = plain_response(200, BODY)
    port = int(one.settings.requests.rpartition(":")[2])
    stream = await open_slow_connection(port)
    await stream.send_all(encode_request("c1"))
    server = one.daemon._server
    await fleet.wait_until(lambda: server.busy and two.target.runs)
    data = await read_while(stream, lambda: server.busy)
    return one, stream, data


@pytest.mark.parametrize("late_requests", [0, 3])
async def test_response_on_an_idle_connection_is_read_to_its_end(
    nursery, late_requests
):
    """Guards against a daemon that ends while a response is being read.

    The connection is open for further requests until the daemon ends.
    """
    fleet = RelayFleet(nursery)
    one, stream, data = await start_download(fleet)
    one.stop.set()
    # Past the least time of a shutdown.
    await trio.sleep(3.0)
    assert not one.stopped.is_set()
    for number in range(late_requests):
        await stream.send_all(encode_request(f"late-{number}"))
    data += await read_to_end(stream)
    assert data.endswith(BODY.encode() + b"\n")
    with trio.fail_after(1.0):
        await one.stopped.wait()
    assert set(fleet.members["two"].target.runs) == {"c1"}


async def test_caller_that_reads_nothing_does_not_keep_a_daemon(nursery):
    """Guards against a shutdown that outlasts its grace period."""
    fleet = RelayFleet(nursery)
    one, stream, _ = await start_download(fleet)
    one.stop.set()
    with trio.fail_after(one.settings.grace_s):
        await one.stopped.wait()
    await stream.aclose()
