"""Steps of the feature about invalid fleet files."""

from contextlib import nullcontext
from pathlib import Path

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from catkinhollow.codec import to_plain
from catkinhollow.commands.application import run
from catkinhollow.generated.fleet import Fleet, Service
from tests.memory_store import MemoryStore

DATA = Path(__file__).parent / "data"

scenarios("features/bad_files.feature")


@given("a store that holds a configuration", target_fixture="store")
def _store():
    store = MemoryStore()
    store.write("config", "fleet", to_plain(Fleet(services=[Service(name="old")])))
    return store


@when(
    parsers.parse("the operator applies good.yaml and {file}"),
    target_fixture="outcome",
)
def _apply(store, file, capsys):
    names = [str(DATA / "good.yaml"), str(DATA / "bad" / file)]
    code = run(
        ["", "apply", *names, "--store", "127.0.0.1:1"], lambda _: nullcontext(store)
    )
    return code, capsys.readouterr()


@then(parsers.parse("the command ends with exit code {code:d}"))
def _exit_code(outcome, code):
    assert outcome[0] == code
    assert outcome[1].out == ""


@then(parsers.parse("the first error is at {file}, line {line:d}, path {path}"))
def _location(outcome, file, line, path):
    first = outcome[1].err.splitlines()[0]
    assert first.startswith(f"{DATA / 'bad' / file}:{line}: {path}: ")


@then(parsers.parse('the first error says "{reason}"'))
def _reason(outcome, reason):
    assert reason in outcome[1].err.splitlines()[0]


@then("nothing is written")
def _unchanged(store):
    assert store.writes == 1


@pytest.mark.parametrize("path", sorted((DATA / "bad").iterdir()), ids=lambda p: p.name)
def test_feature_covers_file(path):
    """Guards against an invalid file that no scenario uses."""
    feature = Path(__file__).parent / "features" / "bad_files.feature"
    assert f"| {path.name} " in feature.read_text()
