"""Tests of the command line: output, exit codes and writes to the store."""

from contextlib import nullcontext
from functools import partial
from json import dumps, loads
from pathlib import Path

import httpcore
import pytest

from catkinhollow.codec import to_plain
from catkinhollow.commands.application import run
from catkinhollow.configuration.fleet_files import load_fleet
from catkinhollow.generated.fleet import SeedList
from tests.memory_store import MemoryStore

ROOT = Path(__file__).parent.parent.parent
CONSORTIUM = [str(path) for path in sorted(ROOT.glob("examples/consortium/[fr]*.yaml"))]
BOARD = str(ROOT / "examples" / "board" / "fleet.yaml")
POOL = httpcore.AsyncConnectionPool


@pytest.fixture
def store(monkeypatch):
    monkeypatch.setenv("CATKINHOLLOW_STORE", "127.0.0.1:1")
    return MemoryStore()


@pytest.fixture
def call(store, capsys):
    def call_command(*arguments):
        code = run(["", *arguments], lambda settings: nullcontext(store))
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return call_command


def test_apply_writes_once_and_lists_changes(store, call):
    """Guards against writes without a change and unreported changes."""
    code, out, _ = call("apply", *CONSORTIUM, "--dry-run")
    assert (code, store.writes) == (0, 0)
    assert "service orders: added" in out
    code, out, _ = call("apply", *CONSORTIUM)
    assert (code, store.writes) == (0, 1)
    assert "applied: revision 1" in out
    code, out, _ = call("apply", *CONSORTIUM)
    assert (code, out, store.writes) == (0, "no changes: revision 1\n", 1)
    code, out, _ = call("apply", BOARD)
    assert "default timeout_ms: 2000 -> 3000" in out
    assert "service orders: removed" in out


def test_first_apply_of_defaults_is_written(store, call, tmp_path):
    """Guards against daemons that wait as mere defaults are not written."""
    path = tmp_path / "fleet.yaml"
    path.write_text("services: []\n")
    assert call("apply", str(path))[1] == "applied: revision 1\n"
    assert call("apply", str(path))[1] == "no changes: revision 1\n"


def test_apply_reports_a_conflict(store, call):
    """Guards against an update that overwrites that of another operator."""
    call("apply", *CONSORTIUM)
    other = to_plain(load_fleet([Path(BOARD)]).ok)
    store.before_put = [lambda: store.write("config", "fleet", other)]
    code, _, err = call("apply", CONSORTIUM[0])
    assert code == 2
    assert "changed by another writer from revision 1 to 2" in err
    assert store.objects["config", "fleet"].revision == 2


def test_domain_commands(store, call):
    """Guards against taking the last failure domain out by mistake."""
    assert call("domain", "out", "a")[0] == 1
    call("apply", BOARD)
    for name in ("a", "b"):
        store.write("members", name, to_plain(SeedList(addresses=["127.0.0.1:1"])))
    store.write("members", "gone", to_plain(SeedList()))
    code, out, err = call("domain", "out", "a")
    assert (code, out, err) == (0, "failure domain a: out of service: revision 5\n", "")
    code, _, err = call("domain", "out", "b")
    assert code == 1
    assert "--force" in err
    assert call("domain", "out", "gone")[2].startswith("warning: no member")
    assert call("domain", "out", "b", "--force")[0] == 0
    assert call("domain", "in", "a")[0] == 0
    assert call("domain", "in", "a")[1] == "no changes: revision 8\n"


def test_exceptions_show_their_reason(call):
    """Guards against a list of exceptions without the reasons."""
    call("apply", *CONSORTIUM)
    code, out, _ = call("exceptions")
    assert code == 0
    assert "Insert packs are large files" in out
    [item] = loads(call("exceptions", "--output", "json")[1])
    assert (item["route"], item["value"]) == ("insert-packs", 15000)


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["frobnicate"], 64),
        (["apply"], 64),
        (["exceptions", "--output", "xml"], 64),
        (["exceptions", "--store", "127.0.0.1"], 64),
        (["status"], 64),
        (["daemon"], 64),
        (["domain", "out", "a"], 3),
        (["apply", BOARD], 3),
        (["validate", BOARD], 0),
        (["validate", "/nonexistent.yaml"], 1),
        (["settings", "show", BOARD], 1),
    ],
)
def test_exit_codes(store, call, arguments, code):
    """Guards against failures that share an exit code."""
    store.down = True
    actual, out, err = call(*arguments)
    assert actual == code
    assert bool(out) == (code == 0)
    assert bool(err) == (code != 0)


def test_status_queries_the_daemon(monkeypatch, call):
    """Guards against a lost status and failures that look like a status."""

    def mock_response(body):
        backend = httpcore.AsyncMockBackend([b"HTTP/1.1 200 OK\r\n\r\n", body])
        pool = partial(POOL, network_backend=backend)
        monkeypatch.setattr(httpcore, "AsyncConnectionPool", pool)

    member = {"address": "x:9", "failure_domain": "a", "region": "r"}
    state = {"ready": True, "enforced_revision": 4, "newest_revision": 4}
    mock_response(dumps({**member, **state}).encode())
    code, out, _ = call("status", "--daemon", "127.0.0.1:1")
    assert code == 0
    assert "x:9 ready" in out
    mock_response(b"{}")
    assert call("status", "--daemon", "127.0.0.1:1")[0] == 1
    monkeypatch.undo()
    assert call("status", "--daemon", "127.0.0.1:1")[0] == 3
