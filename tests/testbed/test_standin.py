"""Tests of the stand-ins as processes on loopback."""

import signal
import sys
from functools import partial

import pytest
import trio
from httpcore import AsyncConnectionPool

from catkinhollow.testbed.processes import free_ports

STANDIN = [sys.executable, "-m", "catkinhollow", "standin"]


async def start(nursery, *arguments):
    """Start a stand-in and return the process and its URL once it listens."""
    port = free_ports(1)[0]
    command = [*STANDIN, *arguments, "--port", str(port)]
    process = await nursery.start(partial(trio.run_process, command, check=False))
    while process.poll() is None:
        try:
            await (await trio.open_tcp_stream("127.0.0.1", port)).aclose()
        except OSError:
            await trio.sleep(0.05)
        else:
            break
    return process, f"http://127.0.0.1:{port}"


@pytest.mark.processes
async def test_stand_ins_serve_and_end_on_sigterm(nursery):
    """Guards against misread options and exits other than 0 on SIGTERM."""
    store, store_url = await start(nursery, "store")
    options = ["--service", "orders", "--target-version", "v9", "--slots", "3"]
    target, target_url = await start(
        nursery, "target", *options, "--fault-health-lie", "failed"
    )
    async with AsyncConnectionPool() as pool:
        counters = await pool.request("GET", f"{store_url}/counters")
        health = await pool.request("GET", f"{target_url}/health")
        load = await pool.request("GET", f"{target_url}/load")
    assert counters.content == b'{"calls":{},"objects":0,"revision":0}'
    assert (health.status, health.content) == (
        503,
        b'{"state":"failed","version":"v9"}',
    )
    assert load.content == b'{"running":0,"slots":3,"waiting":0}'
    for process in (store, target):
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
    wrong, _ = await start(nursery, "target", "--service", "o", "--slots", "many")
    assert wrong.returncode == 2
