"""Tests of the files that the platform reads when it starts daemons."""

import json
import re
import tomllib
from pathlib import Path

import pytest

from catkinhollow.relay.relay_settings import parse_relay_settings

DEPLOY = Path(__file__).resolve().parents[2] / "deploy"
SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
PLACEHOLDER = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")
VALUES = {
    "node": "n1",
    "failure_domain": "a",
    "region": "r",
    "service": "stock",
    "app_addr": "127.0.0.1:1",
    "ip": "127.0.0.1",
    "internal_port_range.0": 7620,
    "platform.address": "127.0.0.1:8",
    "bounds.grace_s": 6.0,
    "bounds.retry_budget_ratio": 0.2,
    "bounds.retry_budget_slack": 10,
    **{f"listen.{name}": "127.0.0.1:2" for name in ("outbound", "ready", "control")},
}


def render(values):
    """Render the template as the platform does; a missing value is nothing."""
    text = (DEPLOY / "daemon.yaml").read_text()
    text = SECTION.sub(lambda match: match[2] if match[1] in values else "", text)

    def insert(match):
        value = values.get(match[1], "")
        return json.dumps(value) if match[2] else str(value)

    return parse_relay_settings(json.loads(PLACEHOLDER.sub(insert, text))).ok


@pytest.mark.parametrize("strict", [True, False])
def test_bound_of_revocations_is_taken(strict):
    """Guards against a daemon that does not know the bound in force."""
    changes = {"bounds.strict_revoke": strict, "bounds.revoke_ms": 4000}
    settings = render({**VALUES, **changes})
    assert settings.strict_revoke is strict
    assert settings.revoke_ms == 4000


def test_settings_of_usage_reports_are_taken():
    """Guards against a daemon that does not know that it has to report."""
    changes = {
        "cloud.address": "127.0.0.1:9",
        "cloud.duties": ["usage_report", "other"],
        "cloud.duty_per_s": 40,
        "bounds.lease_ms": 2500,
        "bounds.report_window_s": 4,
        "bounds.usage_late_s": 8,
        "bounds.thaw_slack_ms": 200,
    }
    settings = render({**VALUES, **changes})
    assert settings.usage_api == "127.0.0.1:9"
    assert settings.duties == ["usage_report", "other"]
    assert settings.usage_calls_per_s == 40
    assert (settings.lease_ms, settings.thaw_slack_ms) == (2500, 200)
    assert (settings.usage_window_s, settings.usage_late_s) == (4, 8)


def test_template_gives_complete_settings():
    """Guards against a template that lacks a required setting.

    Without organisations there is no bound.
    """
    settings = render(VALUES)
    assert settings.instance == "n1"
    assert settings.peer == "127.0.0.1:7620"
    assert not settings.strict_revoke
    assert not settings.usage_api
    assert settings.grace_s == 6.0


def test_fields_of_organisations_are_renamed():
    """Guards against a configuration whose organisations are not read."""
    fields = tomllib.loads((DEPLOY / "wire.toml").read_text())["fields"]
    assert (fields["tenants"], fields["api_keys"]) == ("organisations", "keys")
