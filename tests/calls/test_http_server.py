"""Tests of the HTTP listener on loopback."""

import pytest
import trio
import trio.testing
from attrs import evolve
from httpcore import AsyncConnectionPool
from slow_callers import open_slow_connection, read_to_end

from catkinhollow.calls.exchange import plain_response
from catkinhollow.calls.http_server import (
    BODY_TIMEOUT_S,
    read_request,
    send_response,
    serve_app,
)
from catkinhollow.calls.silence import CALLER_LIMITS
from catkinhollow.generated.settings import Address, HttpSettings
from catkinhollow.testbed.processes import free_ports

HTTP = HttpSettings(max_body_bytes=200_000)


class GatedApp:
    """Respond with the length of the body once the gate event is set."""

    def __init__(self):
        self.gate = trio.Event()
        self.started = trio.Event()
        self.clients = set()

    async def __call__(self, scope, receive, send):
        self.clients.add(scope["client"])
        read = await read_request(scope, receive, HTTP.max_body_bytes)
        self.started.set()
        await self.gate.wait()
        if read.is_error():
            await send_response(send, read.error)
        else:
            await send_response(send, plain_response(200, str(len(read.ok.body))))


class ServedApp:
    """Serve an application on a free port until the shutdown event."""

    def __init__(self, app, *, linger_s=0.0):
        self.shutdown = trio.Event()
        self._app = app
        self._linger_s = linger_s

    async def run(self, task_status):
        address = Address(host="127.0.0.1", port=free_ports(1)[0])
        await serve_app(
            self._app,
            address,
            HTTP,
            shutdown=self.shutdown,
            drain_s=30.0,
            linger_s=self._linger_s,
            task_status=task_status,
        )


async def test_oversized_body_is_refused_and_the_connection_stays_usable(nursery):
    """Guards against a connection that stalls on an oversized body."""
    app = GatedApp()
    app.gate.set()
    served = ServedApp(app)
    [url] = await nursery.start(served.run)
    async with AsyncConnectionPool(max_connections=1) as pool:
        large = await pool.request("POST", url, content=b"x" * 2_000_000)
        assert large.status == 413
        small = await pool.request("POST", url, content=b"x" * 150_000)
        assert (small.status, small.content) == (200, b"150000\n")
    assert len(app.clients) == 1
    served.shutdown.set()


async def test_shutdown_finishes_requests_and_announces_the_close(nursery):
    """Guards against requests aborted, or connections closed unannounced."""
    app = GatedApp()
    served = ServedApp(app)
    async with AsyncConnectionPool() as pool, trio.open_nursery() as server:
        [url] = await server.start(served.run)
        server.start_soon(check_closing_response, pool, url)
        await app.started.wait()
        served.shutdown.set()
        await trio.testing.wait_all_tasks_blocked()
        app.gate.set()
    lingering = ServedApp(app, linger_s=600.0)
    [url] = await nursery.start(lingering.run)
    async with AsyncConnectionPool() as pool:
        assert (await pool.request("GET", url)).status == 200
        lingering.shutdown.set()
        await trio.testing.wait_all_tasks_blocked()
        await check_closing_response(pool, url)
    nursery.cancel_scope.cancel()


async def check_closing_response(pool, url):
    response = await pool.request("GET", url)
    assert response.status == 200
    assert (b"connection", b"close") in response.headers


async def test_response_has_one_date(nursery):
    """Guards against a missing date or a second one beside the target's."""
    target_date = (b"date", b"Fri, 04 Dec 2026 11:39:05 GMT")
    responses = [
        plain_response(200, "own"),
        plain_response(200, "passed on", [target_date]),
    ]

    async def app(scope, receive, send):
        await send_response(send, responses.pop(0))

    served = ServedApp(app)
    [url] = await nursery.start(served.run)
    async with AsyncConnectionPool() as pool:
        own, passed_on = [await pool.request("GET", url) for _ in range(2)]
    dates = [header for header in own.headers if header[0] == b"date"]
    assert len(dates) == 1
    assert [item for item in passed_on.headers if item[0] == b"date"] == [target_date]
    served.shutdown.set()


async def test_body_that_stops_arriving_is_refused(autojump_clock):
    """Guards against requests of silent callers that stay open for ever."""

    async def receive():
        if not parts:
            await trio.sleep_forever()
        return parts.pop()

    parts = [{"type": "http.request", "body": b"a", "more_body": True}]
    scope = {"method": "POST", "raw_path": b"/", "query_string": b"", "headers": []}
    with trio.fail_after(BODY_TIMEOUT_S + 1.0):
        read = await read_request(scope, receive, 1000)
    assert read.error.status == 408


async def test_caller_that_reads_nothing_is_disconnected(nursery, monkeypatch):
    """Guards against connections that silent callers hold for ever."""
    limits = evolve(CALLER_LIMITS, unacknowledged_ms=500)
    monkeypatch.setattr("catkinhollow.calls.http_server.CALLER_LIMITS", limits)
    ended = trio.Event()

    async def app(scope, receive, send):
        await read_request(scope, receive, 1000)
        await send_response(send, plain_response(200, "x" * 2**25))
        ended.set()

    served = ServedApp(app)
    [url] = await nursery.start(served.run)
    port = int(url.rpartition(":")[2])
    client = await trio.open_tcp_stream("127.0.0.1", port)
    await client.send_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
    with trio.fail_after(10):
        await ended.wait()
    served.shutdown.set()


async def test_request_behind_the_last_response_does_not_cut_it_off(nursery):
    """Guards against a reset that drops what a caller has not read yet."""

    async def app(scope, receive, send):
        await read_request(scope, receive, HTTP.max_body_bytes)
        await send_response(send, plain_response(200, "x" * 60_000))

    served = ServedApp(app)
    [url] = await nursery.start(served.run)
    stream = await open_slow_connection(int(url.rpartition(":")[2]))
    request = b"GET / HTTP/1.1\r\nhost: x\r\n%s\r\n"
    await stream.send_all(request % b"connection: close\r\n")
    data = b""
    # What is left then has been written to the kernel of the daemon.
    while len(data) < 50_000:
        data += await stream.receive_some(2048)
    for _ in range(3):
        await trio.sleep(0.05)
        await stream.send_all(request % b"")
    data += await read_to_end(stream)
    assert data.endswith(b"x\n")
    assert len(data) > 60_000
    await stream.aclose()
    served.shutdown.set()


async def test_caller_that_does_not_close_is_given_up(nursery):
    """Guards against a shutdown that waits for callers without an end."""
    app = GatedApp()
    app.gate.set()
    served = ServedApp(app)
    [url] = await nursery.start(served.run)
    stream = await trio.open_tcp_stream("127.0.0.1", int(url.rpartition(":")[2]))
    await stream.send_all(b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
    with trio.fail_after(10.0):
        while await stream.receive_some(65536):
            pass
        with pytest.raises(trio.BrokenResourceError):
            while True:
                await stream.send_all(b"x")
                await trio.sleep(0.1)
    served.shutdown.set()
