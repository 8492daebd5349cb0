"""Tests of reading, validating and passing on the settings of a daemon."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from catkinhollow.addresses import format_address, parse_address
from catkinhollow.commands.application import run
from catkinhollow.configuration.settings import (
    list_values,
    load_settings,
    read_settings_file,
)
from catkinhollow.daemon.settings_environment import (
    settings_from_environment,
    settings_to_environment,
)

ROOT = Path(__file__).parent.parent.parent
EXAMPLES = sorted(ROOT.glob("examples/*/daemon.yaml"))
BASE = (ROOT / "examples" / "board" / "daemon.yaml").read_text()


def find_problems_in(tmp_path, text):
    path = tmp_path / "daemon.yaml"
    path.write_text(text)
    return [(item.line, item.path) for item in load_settings(path).error]


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.parent.name)
def test_settings_survive_the_environment(path):
    """Guards against a daemon with settings other than the validated ones."""
    loaded = load_settings(path).ok
    environment = settings_to_environment(loaded, {"PATH": "x"})
    assert settings_from_environment(environment).ok == loaded
    assert environment["PATH"] == "x"
    assert settings_from_environment({}).is_error()


@pytest.mark.parametrize(
    ("old", "new", "line", "path"),
    [
        ("port: 28081", "port: 28080", 6, "admin"),
        ("127.0.0.1, port: 28081", "0.0.0.0, port: 28082", 7, "peer"),
        ("port: 28070", "port: 28081", 11, "store.address"),
        ("probe:", "lease: {stop_deciding_s: 10}\nprobe:", 14, "lease.stop_deciding_s"),
        ("probe:", "lease: {takeover_s: 7}\nprobe:", 14, "lease.stop_deciding_s"),
        (
            "probe:",
            "lease: {renew_interval_s: 7}\nprobe:",
            14,
            "lease.renew_interval_s",
        ),
        ("http:", "  retry_max_ms: 100\nhttp:", 10, "store.retry_base_ms"),
        ("port: 28080", "port: 28080.0", 5, "traffic.port"),
    ],
)
def test_contradictions_are_refused(tmp_path, old, new, line, path):
    """Guards against settings that are valid alone but contradictory."""
    assert old in BASE
    assert find_problems_in(tmp_path, BASE.replace(old, new, 1)) == [(line, path)]


def test_problems_are_in_line_order(tmp_path):
    """Guards against problems that are reported out of line order."""
    text = BASE.replace("port: 28081", "port: 0") + "unknown: 1\n"
    assert find_problems_in(tmp_path, text) == [(6, "admin.port"), (17, "unknown")]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("127.0.0.1:80", ("127.0.0.1", 80)),
        ("[::1]:80", ("::1", 80)),
        ("127.0.0.1", None),
        (":80", None),
        ("host:0", None),
        ("host:65536", None),
        ("host:-1", None),
        ("host:\u0661", None),
    ],
)
def test_address_text(text, expected):
    """Guards against an address that is parsed or formatted wrongly."""
    result = parse_address(text)
    if expected is None:
        assert result.is_error()
    else:
        assert (result.ok.host, result.ok.port) == expected
        assert format_address(result.ok) == text


def test_origin_of_each_value():
    """Guards against a default reported as set in the file, or vice versa."""
    path = ROOT / "examples" / "board" / "daemon.yaml"
    values = {item.path: item for item in list_values(read_settings_file(path).ok)}
    assert values["probe.timeout_ms"].origin == f"{path}:16"
    assert values["probe.timeout_ms"].text == "250"
    assert values["probe.interval_s"].origin == "default"


def test_daemon_process_imports_no_large_library():
    """Guards against libraries that exceed the daemon's memory limit."""
    code = (
        "import sys, catkinhollow.daemon.settings_environment;"
        "sys.exit(bool({'yaml', 'jsonschema', 'cleo'} & set(sys.modules)))"
    )
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT).returncode == 0


def test_daemon_command_passes_on_validated_settings(monkeypatch, tmp_path):
    """Guards against a daemon that starts with unvalidated settings."""
    started = []
    monkeypatch.setattr(os, "execve", lambda *call: started.append(call))
    bad = tmp_path / "bad.yaml"
    bad.write_text(BASE.replace("region:", "regoin:"))
    assert run(["", "daemon", "--settings", str(bad)]) == 1
    assert started == []
    run(["", "daemon", "--settings", str(EXAMPLES[0])])
    [(program, arguments, environment)] = started
    assert [program, "-m", "catkinhollow.daemon"] == arguments
    expected = load_settings(EXAMPLES[0]).ok
    assert settings_from_environment(environment).ok == expected
