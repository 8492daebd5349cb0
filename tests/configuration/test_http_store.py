"""Tests of the store client against the stand-in store, in memory."""

from functools import partial

import trio
from asgi_pool import AsgiPool
from hypothesis import given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from catkinhollow.codec import encode_json
from catkinhollow.configuration.http_store import HttpStoreClient
from catkinhollow.configuration.lost_write import (
    UNKNOWN_REASON,
    WriteIntent,
    resolve_lost_write,
)
from catkinhollow.errors import StoreErrorKind
from catkinhollow.generated.settings import Address, StoreSettings
from catkinhollow.generated.store import ObjectWrite, StoredObject
from catkinhollow.generated.testbed import OutageMode, ResponseLoss, StoreFaults
from catkinhollow.testbed.store import StoreApp
from catkinhollow.testbed.store_state import StoreState

SETTINGS = StoreSettings(address=Address(host="127.0.0.1", port=1))


class RecordingState(StoreState):
    """Record the writer of each write that takes effect."""

    def __init__(self):
        super().__init__()
        self.writers = []

    def _store(self, kind, name, value, writer_id, *, deleted=False):
        self.writers.append(writer_id)
        return super()._store(kind, name, value, writer_id, deleted=deleted)

    def write_as_other(self):
        present = self._find_object("config", "fleet")
        revision = present.revision if present else 0
        write = ObjectWrite(value="other", writer_id="other")
        self.put("config", "fleet", write, if_revision=revision)


def run_scenario(scenario):
    """Run a scenario with a store and its client in virtual time."""

    async def main():
        state = RecordingState()
        async with trio.open_nursery() as nursery:
            state.pool = AsgiPool(StoreApp(state), nursery)
            await scenario(state, HttpStoreClient(SETTINGS, state.pool))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


FAULTS = st.builds(
    StoreFaults,
    outage=st.sampled_from([OutageMode.NONE, OutageMode.NONE, *OutageMode]),
    delay_ms=st.sampled_from([0, 0, 1500, 2500]),
    lose_writes=st.integers(0, 4),
    lose_mode=st.sampled_from(ResponseLoss),
    stale_reads=st.booleans(),
)
# Faults that end after 1 s let a retry reach the store before the delayed
# first attempt.
STEP = st.tuples(FAULTS, st.sampled_from([1.0, 3.0]), st.booleans(), st.booleans())


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(STEP, max_size=6))
def test_write_takes_effect_at_most_once_and_is_reported_truly(steps):
    """Guards against repeated writes and wrong outcomes.

    A lost response must not be mistaken for a write that had no effect.
    """

    async def scenario(state, client):
        for step in steps:
            await write_under_faults(state, client, *step)

    run_scenario(scenario)


async def write_under_faults(state, client, faults, end_s, deletes, has_other_writer):
    present = state.get("config", "fleet")
    revision = present.revision if present and not present.deleted else 0
    state.set_faults(faults)
    state.writers.clear()
    async with trio.open_nursery() as nursery:
        # Requests that the client has given up on may take effect later.
        nursery.start_soon(trio.sleep, 20)
        if has_other_writer:
            nursery.start_soon(call_later, 1.0, state.write_as_other)
        nursery.start_soon(call_later, end_s, partial(state.set_faults, StoreFaults()))
        if deletes:
            result = await client.delete("config", "fleet", if_revision=revision)
        else:
            result = await client.put("config", "fleet", 1, if_revision=revision)
    own = [writer for writer in state.writers if writer != "other"]
    assert len(own) <= 1
    if result.is_ok():
        assert own == [result.ok.writer_id]
    elif not has_other_writer and UNKNOWN_REASON not in result.error.reason:
        assert own == []


async def call_later(delay_s, callback):
    await trio.sleep(delay_s)
    callback()


def test_stale_read_does_not_resolve_a_lost_write():
    """Guards against a conflict or a retry decided from a stale read."""
    intent = WriteIntent(if_revision=5, writer_id="own")
    current = StoredObject(kind="k", name="n", revision=5, value=1, writer_id="old")
    assert resolve_lost_write(intent, current) is None
    stale = resolve_lost_write(intent, current, newest_known=6)
    assert stale.error.kind is StoreErrorKind.UNAVAILABLE
    newer = StoredObject(kind="k", name="n", revision=7, value=1, writer_id="other")
    assert resolve_lost_write(intent, newer).error.kind is StoreErrorKind.CONFLICT


def test_watch_wakes_on_changes_and_outages():
    """Guards against a watch that misses a change or an outage."""

    async def scenario(state, client):
        created = (await client.put("moves", "m", 1, if_revision=0)).ok
        async with trio.open_nursery() as nursery:
            delete = partial(client.delete, "moves", "m", if_revision=created.revision)
            nursery.start_soon(call_async_later, 5.0, delete)
            seen = (await client.watch("moves", after=1, wait_s=30)).ok
        assert [(item.name, item.deleted) for item in seen.objects] == [("m", True)]
        assert trio.current_time() < 6.0
        empty = (await client.watch("moves", after=2, wait_s=30)).ok
        assert (empty.objects, empty.revision) == ([], 2)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                call_async_later, 5.0, partial(set_outage, state, "refuse")
            )
            lost = await client.watch("moves", after=2, wait_s=30)
        assert lost.error.kind is StoreErrorKind.UNAVAILABLE
        assert trio.current_time() < 41.0
        assert state.counters().calls == {"put": 1, "delete": 1, "watch": 3}

    run_scenario(scenario)


async def call_async_later(delay_s, function):
    await trio.sleep(delay_s)
    await function()


async def set_outage(state, outage):
    url = "http://127.0.0.1:1/faults"
    wrong = await state.pool.request("POST", url, content=b'{"outrage": "refuse"}')
    assert wrong.status == 400
    body = encode_json({"outage": outage})
    assert (await state.pool.request("POST", url, content=body)).status == 200


def test_answers_tell_the_era_of_a_store_that_came_back_from_a_copy():
    """Guards against a stand-in that hides its return from a copy."""

    async def scenario(state, client):
        url = "http://127.0.0.1:1/v1/objects/config"
        response = await state.pool.request("GET", url)
        assert all(name != b"store-era" for name, _ in response.headers)
        state.restore(state.take_copy())
        response = await state.pool.request("GET", url)
        assert (b"store-era", b"1") in response.headers
        assert (await client.list_objects("config")).is_ok()

    run_scenario(scenario)
