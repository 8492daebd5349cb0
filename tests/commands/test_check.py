"""Tests of the check of a configuration before it is sent."""

from json import dumps, loads

import pytest

from catkinhollow.commands.application import run
from catkinhollow.commands.exit_codes import ExitCode

ROUTE = {
    "name": "read",
    "host": "a.example",
    "path_prefix": "/read/",
    "kind": "safe",
    "service": "stock",
    "timeout_ms": 1000,
    "target_latency_ms": 300,
    "max_attempts": 2,
}
SERVICE = {"name": "stock", "cold_requests_per_s": 5.0}


@pytest.fixture
def check(tmp_path, capsys):
    """Write configurations to files and check the first one."""

    def check_configuration(configuration, *options, in_force=None):
        path = tmp_path / "new.json"
        path.write_text(dumps(configuration, indent=1))
        arguments = ["", "check", str(path), *options]
        if in_force is not None:
            known = tmp_path / "known.json"
            known.write_text(dumps(in_force))
            arguments += ["--against", str(known)]
        code = run(arguments)
        captured = capsys.readouterr()
        return code, captured.out + captured.err

    return check_configuration


def make_configuration(*routes, version=2, services=(SERVICE,), **changes):
    return {
        "version": version,
        "routes": list(routes or (ROUTE,)),
        "services": list(services),
        **changes,
    }


def test_sound_configuration_has_no_findings(check):
    """Guards against warnings about what operators mean."""
    code, out = check(make_configuration())
    assert (code, "nothing found" in out) == (ExitCode.OK, True)


@pytest.mark.parametrize(
    ("configuration", "expected"),
    [
        (make_configuration({**ROUTE, "service": "none"}), "unknown service 'none'"),
        (make_configuration({**ROUTE, "path_prefix": "read"}), "start and end"),
        (make_configuration(ROUTE, ROUTE), "the name 'read' is used twice"),
        (make_configuration(services=(SERVICE, SERVICE)), "'stock' is used twice"),
        (make_configuration({**ROUTE, "timeout_ms": "long"}), "must be a number"),
        (
            make_configuration(
                {**ROUTE, "split": [{"service": "stock", "weight": 0}], "service": ""}
            ),
            "no part of the split has a positive weight",
        ),
    ],
)
def test_errors_are_reported_with_their_line(check, configuration, expected):
    """Guards against configurations that the daemons would refuse."""
    code, out = check(configuration)
    assert code == ExitCode.INVALID
    line = next(line for line in out.splitlines() if expected in line)
    assert ".json:" in line


@pytest.mark.parametrize(
    ("configuration", "expected"),
    [
        (
            make_configuration(ROUTE, {**ROUTE, "name": "late", "host": "A.example"}),
            "replaces route 'read', which never matches",
        ),
        (
            make_configuration({**ROUTE, "host": "a.example:80"}),
            "compared without their port",
        ),
        (make_configuration({**ROUTE, "path_prefix": "/a?b/"}), "without their query"),
        (
            make_configuration(
                {
                    **ROUTE,
                    "service": "",
                    "split": [
                        {"service": "stock", "weight": 1},
                        {"service": "stock", "weight": 0},
                    ],
                }
            ),
            "gets no requests: weight 0",
        ),
        (
            make_configuration({**ROUTE, "target_latency_ms": 2000}),
            "longer than timeout_ms",
        ),
        (
            make_configuration({**ROUTE, "max_attempts": 4}),
            "4 attempts of 300 ms do not fit into timeout_ms, 1000 ms",
        ),
        (
            make_configuration(services=(SERVICE, {"name": "idle"})),
            "no route leads to 'idle'",
        ),
        (
            make_configuration(services=({**SERVICE, "cold_requests_per_s": 0},)),
            "a cold target gets no requests",
        ),
        (
            make_configuration(limits={"header_timeout_ms": 20000}),
            "longer than idle_timeout_ms",
        ),
    ],
)
def test_doubtful_entries_are_reported(check, configuration, expected):
    """Guards against entries that never match and limits that contradict."""
    code, out = check(configuration)
    assert code == ExitCode.DOUBTFUL
    assert expected in out


def test_differences_from_the_version_in_force_are_listed(check):
    """Guards against changes that an operator did not intend."""
    in_force = make_configuration(ROUTE, {**ROUTE, "name": "old"}, version=1)
    in_force["routes"][1]["path_prefix"] = "/old/"
    code, out = check(
        make_configuration({**ROUTE, "timeout_ms": 900}), in_force=in_force
    )
    assert code == ExitCode.OK
    assert "differs: route read: timeout_ms 1000.0 -> 900.0" in out
    assert "differs: route old: removed" in out


def test_organisations_are_compared_without_their_keys(check):
    """Guards against keys in the output of a command."""
    before = {"name": "shop", "keys": ["key-that-goes", "key-that-stays"]}
    after = {"name": "shop", "keys": ["key-that-stays", "key-that-comes"]}
    code, out = check(
        make_configuration(organisations=[after, {"name": "new", "keys": []}]),
        in_force=make_configuration(version=1, organisations=[before]),
    )
    assert code == ExitCode.DOUBTFUL
    assert "'new' has no key" in out
    assert "differs: organisation shop: keys: 1 added, 1 removed" in out
    assert "key-that" not in out


def test_version_that_is_not_newer_is_an_error(check):
    """Guards against a version that no daemon would apply."""
    code, out = check(make_configuration(), in_force=make_configuration())
    assert code == ExitCode.INVALID
    assert "2 is not newer than 2" in out


def test_report_is_readable_by_programs(check):
    """Guards against reports that scripts cannot read."""
    code, out = check(
        make_configuration({**ROUTE, "max_attempts": 4}),
        "--output",
        "json",
        in_force=make_configuration(version=1),
    )
    report = loads(out)
    assert code == ExitCode.DOUBTFUL
    assert report["findings"][0]["path"] == "routes[0].max_attempts"
    assert report["differences"][0]["field"] == "max_attempts"


def test_store_that_cannot_be_reached_is_reported(check):
    """Guards against a comparison that is skipped without a word."""
    code, out = check(make_configuration(), "--store", "127.0.0.1:1")
    assert code == ExitCode.UNREACHABLE
    assert "store: unavailable" in out
