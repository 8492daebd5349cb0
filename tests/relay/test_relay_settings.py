"""Tests of the settings file of a relay daemon."""

import yaml

from catkinhollow.relay.relay_settings import SettingsFile

SETTINGS = {
    "instance": "sidecar-1",
    "failure_domain": "a",
    "region": "r",
    "service": "stock",
    "target": "127.0.0.1:8301",
    "requests": "127.0.0.1:8304",
    "ready": "127.0.0.1:8302",
    "announcements": "127.0.0.1:8306",
    "peer": "127.0.0.1:7620",
    "metrics": "127.0.0.1:9464",
    "store": "127.0.0.1:8309",
}


def write(path, **changes):
    path.write_text(yaml.safe_dump({**SETTINGS, **changes}))


def test_unchanged_settings_are_not_parsed_again(tmp_path):
    """Guards against idle daemons that parse the same file all the time."""
    path = tmp_path / "settings.yaml"
    write(path)
    file = SettingsFile(path)
    settings = file.read().ok
    write(path)
    assert file.read().ok is settings


def test_changed_settings_are_read(tmp_path):
    """Guards against settings that stay as they were at the start."""
    path = tmp_path / "settings.yaml"
    write(path, grace_s=6.0)
    file = SettingsFile(path)
    assert file.read().ok.grace_s == 6.0
    write(path, grace_s=5.0)
    assert file.read().ok.grace_s == 5.0


def test_error_in_the_settings_is_reported_until_it_is_mended(tmp_path):
    """Guards against a silent error, and against one that stays for good."""
    path = tmp_path / "settings.yaml"
    file = SettingsFile(path)
    assert "settings.yaml" in file.read().error.reason
    path.write_text("instance: [")
    assert "settings.yaml" in file.read().error.reason
    write(path, target="nowhere")
    assert "target" in file.read().error.reason
    assert "target" in file.read().error.reason
    write(path)
    assert file.read().ok.instance == "sidecar-1"


def test_listening_address_behind_a_translation_is_checked_if_set(tmp_path):
    """Guards against a daemon that starts and is not reachable for others."""
    path = tmp_path / "settings.yaml"
    write(path)
    assert SettingsFile(path).read().ok.peer_listen == ""
    write(path, peer_listen="0.0.0.0:7621")
    assert SettingsFile(path).read().ok.peer_listen == "0.0.0.0:7621"
    write(path, peer_listen="7621")
    assert "peer_listen" in SettingsFile(path).read().error.reason
