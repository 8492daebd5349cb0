"""Tests of the stand-in target's responses, in memory."""

import trio
import trio.testing
from asgi_pool import AsgiPool
from httpcore import RemoteProtocolError
from pytest import raises

from catkinhollow.clock import TrioClock
from catkinhollow.codec import decode_json, encode_json
from catkinhollow.generated.testbed import ExecutionLog, TargetProfile
from catkinhollow.testbed.target import TargetApp
from catkinhollow.testbed.target_control import TargetControl, TargetIdentity
from catkinhollow.testbed.target_model import TargetModel

URL = "http://127.0.0.1:1"
PROFILE = TargetProfile(slots=1, queue_length=2, service_ms=1000, cold_factor=1)
IDENTITY = TargetIdentity(service="orders", version="v2", address="127.0.0.1:1")


class Caller:
    """Call a target and keep the responses by request id."""

    def __init__(self, nursery):
        model = TargetModel(PROFILE, now_s=0.0, version="v2")
        control = TargetControl(IDENTITY, model, TrioClock())
        app = TargetApp(model, TrioClock(), control)
        self._pool = AsgiPool(app, nursery)
        self.responses = {}

    async def call(self, request_id, *, give_up_s=100.0, query="", **headers):
        with trio.move_on_after(give_up_s):
            self.responses[request_id] = await self._pool.request(
                "POST",
                f"{URL}/orders{query}",
                headers={"X-Request-Id": request_id, **headers},
            )

    async def control(self, path, value=None):
        body = None if value is None else encode_json(value)
        response = await self._pool.request("POST", URL + path, content=body)
        assert response.status == 200

    async def executed(self):
        response = await self._pool.request("GET", f"{URL}/control/executions")
        log = decode_json(response.content, ExecutionLog).ok
        return [execution.request_id for execution in log.executions], log.refused


async def test_refused_and_abandoned_calls_do_not_run(autojump_clock, nursery):
    """Guards against a false "not run" and runs that end with their caller.

    A run goes on after its caller has disconnected; a waiting call is dropped.
    """
    caller = Caller(nursery)
    async with trio.open_nursery() as callers:
        for request_id, give_up_s in [("a", 0.5), ("b", 0.5), ("c", 9), ("d", 9)]:
            await trio.testing.wait_all_tasks_blocked()
            callers.start_soon(
                lambda i=request_id, s=give_up_s: caller.call(i, give_up_s=s)
            )
    assert {name: response.status for name, response in caller.responses.items()} == {
        "c": 200,
        "d": 503,
    }
    assert (b"catkinhollow-not-run", b"1") in caller.responses["d"].headers
    assert await caller.executed() == (["a", "c"], 1)


async def test_calls_past_their_deadline_or_to_a_draining_target_do_not_run(
    autojump_clock, nursery
):
    """Guards against a drain that stops runs, and runs past a deadline."""
    caller = Caller(nursery)
    async with trio.open_nursery() as callers:
        callers.start_soon(caller.call, "before")
        await trio.sleep(0.5)
        await caller.control("/control/drain")
        await caller.call("during")
    await caller.control("/control/undrain")
    await caller.call("late", **{"X-Deadline-Ms": "999"})
    await caller.call("wrong", **{"X-Deadline-Ms": "soon"})
    await caller.call("timely", **{"X-Deadline-Ms": "1000"})
    statuses = {name: response.status for name, response in caller.responses.items()}
    refused = {"during": 503, "late": 503, "wrong": 400}
    assert statuses == {"before": 200, "timely": 200, **refused}
    assert await caller.executed() == (["before", "timely"], 2)


async def test_response_names_its_request_unless_a_fault_is_set(
    autojump_clock, nursery
):
    """Guards against response faults that a caller cannot detect."""
    caller = Caller(nursery)
    await caller.call("first", query="?size=300")
    first = caller.responses["first"]
    assert (b"x-request-id", b"first") in first.headers
    assert (b"x-target-version", b"v2") in first.headers
    body = decode_json(first.content, dict).ok
    assert (body["request_id"], body["path"]) == ("first", "/orders")
    assert len(first.content) == 300
    await caller.control("/control/faults", {"mode": "mismatch"})
    await caller.call("second")
    assert (b"x-request-id", b"first") in caller.responses["second"].headers
    await caller.control("/control/faults", {"mode": "truncate"})
    with raises(RemoteProtocolError):
        await caller.call("third")
