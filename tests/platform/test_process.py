"""Tests of the settings of a process on the platform."""

import json

import pytest

from catkinhollow.platform.process import (
    LINK_VARIABLE,
    SETTINGS_VARIABLE,
    ProcessSettings,
)

SETTINGS = dict.fromkeys(
    ("target", "requests", "ready", "announcements", "peer", "metrics", "store"),
    "127.0.0.1:7000",
) | {"instance": "i", "failure_domain": "a", "region": "r", "service": "stock"}


@pytest.mark.parametrize(
    ("text", "in_file", "expected"),
    [
        ("5.5", {}, 5.5),
        ("5.5", {"link_mbps": 20.0}, 20.0),
        ("", {}, 0.0),
        ("-1", {}, 0.0),
        ("nan", {}, 0.0),
        ("inf", {}, 0.0),
        ("fast", {}, 0.0),
    ],
)
def test_link_capacity_of_the_environment_is_checked(tmp_path, text, in_file, expected):
    """Guards against a daemon that paces nothing, or stops, by odd text."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS | in_file))
    settings = ProcessSettings({SETTINGS_VARIABLE: str(path), LINK_VARIABLE: text})
    assert settings.read().ok.link_mbps == expected
