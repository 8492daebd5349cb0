"""Tests of the move commands: exit codes, output and writes to the store."""

from contextlib import nullcontext
from json import loads

import pytest
import trio
from attrs import evolve
from expression import Ok
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinhollow.codec import from_plain, to_plain
from catkinhollow.commands.application import run
from catkinhollow.control.move_requests import wait_for_end
from catkinhollow.deadlines import parse_deadline
from catkinhollow.generated.fleet import Fleet, Move, MoveState, Service, VersionWeight
from catkinhollow.generated.store import ObjectList
from tests.memory_store import MemoryStore

SPLIT = [VersionWeight(version="v1", percent=100.0)]
FLEET = Fleet(services=[Service(name="orders", split=SPLIT), Service(name="stock")])
START = ("move", "start", "orders", "v2", "--by", "+15m", "--operator", "anna")


@pytest.fixture
def store(monkeypatch):
    monkeypatch.setenv("CATKINHOLLOW_STORE", "127.0.0.1:1")
    store = MemoryStore()
    store.write("config", "fleet", to_plain(FLEET))
    return store


@pytest.fixture
def call(store, capsys):
    def call_command(*arguments):
        code = run(["", *arguments], lambda settings: nullcontext(store))
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return call_command


def end_move(store, state):
    stored = store.objects["moves", "orders"]
    move = evolve(from_plain(stored.value, Move).ok, state=state)
    store.write("moves", "orders", to_plain(move))


def test_start_is_refused_while_a_move_runs(store, call):
    """Guards against two moves of one service at once."""
    assert call(*START) == (0, "move of orders from v1 to v2 started\n", "")
    code, _, err = call(*START)
    assert code == 2
    assert "a move of orders to v2 by anna is running" in err
    end_move(store, MoveState.DONE)
    first = store.objects["moves", "orders"].value
    assert call(*START)[0] == 0
    assert store.objects["moves", "orders"].value["started_ms"] > first["started_ms"]


def test_concurrent_start_reports_the_running_move(store, call):
    """Guards against a move that overwrites that of another operator."""
    other = Move(
        service="orders",
        version="v3",
        old_version="v1",
        deadline_ms=1,
        started_ms=0,
        operator="ben",
    )
    store.before_put = [lambda: store.write("moves", "orders", to_plain(other))]
    code, _, err = call(*START)
    assert code == 2
    assert "a move of orders to v3 by ben is running" in err
    assert store.objects["moves", "orders"].value["operator"] == "ben"


@pytest.mark.parametrize(
    ("arguments", "code", "error"),
    [
        (("start", "orders", "v1", "--by", "+15m"), 1, "already goes to v1"),
        (("start", "stock", "v2", "--by", "+15m"), 1, "--from"),
        (("start", "none", "v2", "--by", "+15m"), 1, "no service 'none'"),
        (("start", "orders", "v2", "--by", "+9s"), 1, "less than 15 s"),
        (("start", "orders", "v2", "--by", "noon"), 64, "--by"),
        (("start", "orders", "v2", "--by", "2026-01-01T00:00"), 64, "offset"),
        (("start", "orders", "v2"), 64, "--by"),
        (("status", "orders"), 1, "no move of orders"),
        (("wait", "orders"), 1, "no move of orders"),
        (("cancel", "orders"), 1, "no move of orders"),
    ],
)
def test_invalid_requests_write_nothing(store, call, arguments, code, error):
    """Guards against moves that cannot succeed."""
    assert call("move", *arguments)[0] == code
    assert error in call("move", *arguments)[2]
    assert store.writes == 1


def test_status_cancel_and_wait(store, call):
    """Guards against exit codes that do not tell how a move ended."""
    call(*START)
    (shown,) = loads(call("move", "status", "--output", "json")[1])
    assert (shown["version"], shown["state"]) == ("v2", "running")
    assert "anna" in call("move", "status", "orders")[1]
    assert call("move", "cancel", "orders")[0] == 0
    assert store.objects["moves", "orders"].value["state"] == "cancelling"
    assert call("move", "cancel", "orders")[0] == 1
    for state, code in (("cancelled", 4), ("withdrawn", 4), ("done", 0)):
        end_move(store, MoveState(state))
        assert call("move", "wait", "orders")[0] == code
    store.down = True
    for command in (START, ("move", "status"), ("move", "cancel", "orders")):
        assert call(*command)[0] == 3


class WatchedStore(MemoryStore):
    """Report a change of another move, then end this one before an outage."""

    def __init__(self):
        super().__init__()
        self.watched_after = []

    async def watch(self, kind, *, after, wait_s):
        assert after not in self.watched_after
        self.watched_after.append(after)
        if len(self.watched_after) == 1:
            self.write(kind, "stock", {})
        else:
            end_move(self, MoveState.WITHDRAWN)
            self.down = True
        return Ok(ObjectList(revision=self.revision))


async def test_wait_continues_after_an_outage(autojump_clock):
    """Guards against a wait that ends at an outage or repeats a state."""
    store, reported = WatchedStore(), []
    move = Move(
        service="orders",
        version="v2",
        old_version="v1",
        deadline_ms=1,
        started_ms=0,
        operator="anna",
    )
    store.write("moves", "orders", to_plain(move))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(repair_after, store, 60.0)
        result = await wait_for_end(store, "orders", reported.append)
    assert result.ok.state == MoveState.WITHDRAWN
    assert [item.state for item in reported] == ["running", "withdrawn"]
    store.down = True
    assert (await wait_for_end(store, "orders", reported.append)).is_error()


async def repair_after(store, delay_s):
    await trio.sleep(delay_s)
    store.down = False


@settings(derandomize=True, deadline=None)
@given(st.datetimes(timezones=st.timezones()).filter(lambda item: item.year > 1970))
def test_iso_deadline_is_the_same_moment(moment):
    """Guards against deadlines shifted by an offset."""
    assert parse_deadline(moment.isoformat(), 0).ok == int(moment.timestamp() * 1000)
    assert parse_deadline("+2h", 5).ok == 7_200_005
