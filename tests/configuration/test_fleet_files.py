"""Tests of reading the files that operators write."""

from pathlib import Path

from catkinhollow.codec import from_plain, to_plain
from catkinhollow.configuration.fleet_files import load_fleet
from catkinhollow.generated.fleet import Fleet

ROOT = Path(__file__).parent.parent.parent


def test_examples_are_valid_and_survive_the_store():
    """Guards against invalid examples and values lost in the store."""
    consortium = load_fleet(sorted(ROOT.glob("examples/consortium/[fr]*.yaml"))).ok
    board = load_fleet([ROOT / "examples" / "board" / "fleet.yaml"]).ok
    for fleet in (consortium, board):
        assert len(fleet.services) == 3
        assert all(len(service.backers) == 3 for service in fleet.services)
        assert all(item.reason for item in fleet.exceptions)
        assert from_plain(to_plain(fleet), Fleet).ok == fleet
    priorities = {route.name: route.worth for route in consortium.routes}
    assert priorities["internal-stock"] == 0
    assert not next(r for r in board.routes if r.name == "file-claim").idempotent


def test_problem_is_located_in_the_file_of_its_entry(tmp_path):
    """Guards against a problem reported at a line of the wrong file."""
    first, second = tmp_path / "a.yaml", tmp_path / "b.yaml"
    first.write_text("services:\n  - name: orders\n  - name: stock\n")
    second.write_text("# more\nservices:\n  - name: claims\n  - name: orders\n")
    [problem] = load_fleet([first, second]).error
    assert (problem.file, problem.line) == (str(second), 4)
    assert problem.path == "services[1]"


def test_defaults_belong_to_one_file(tmp_path):
    """Guards against one file silently replacing the defaults of another."""
    first, second = tmp_path / "a.yaml", tmp_path / "b.yaml"
    first.write_text("defaults: {timeout_ms: 100}\n")
    second.write_text("services: []\ndefaults: {timeout_ms: 200}\n")
    [problem] = load_fleet([first, second]).error
    assert (problem.file, problem.line) == (str(second), 2)
    assert f"{first}:1" in problem.reason
