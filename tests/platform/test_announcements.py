"""Tests of target announcements and of the settings template in deploy."""

import json

import pytest
import trio

from catkinhollow.calls.exchange import Request
from catkinhollow.platform.announcements import AnnouncementApplication
from catkinhollow.relay.admission.gate import Gate
from catkinhollow.relay.admission.target_listener import TargetListener
from catkinhollow.relay.relay_settings import parse_relay_settings

ANNOUNCEMENT = {
    "service": "stock",
    "address": "10.1.0.8:8301",
    "failure_domain": "a",
    "version": "v1",
    "slots": 9,
    "state": "ready",
    "cold_remaining_ms": 0,
    "seq": 4,
    "born": 1000,
}


class TimelessGate:
    """Pass announcements to a gate at time 0."""

    def __init__(self):
        self.gate = Gate()

    def announce(self, announcement):
        return self.gate.announce(announcement, 0.0)

    def depart(self, lifetime, started_ms):
        return self.gate.depart(lifetime, started_ms)


class Departures:
    """Remember departures while the store is available."""

    def __init__(self):
        self.available = True

    async def record_departure(self, departure):
        return self.available


def make_application():
    listener = TargetListener(TimelessGate(), Departures())
    return listener, AnnouncementApplication(listener, "stock")


async def send_request(app, method, path, body=b""):
    request = Request(method=method, path=path, query=b"", headers=[], body=body)
    return (await app(request, trio.sleep_forever)).status


async def test_announcement_opens_the_gate_and_departure_closes_it():
    """Guards against a departure that is acknowledged but has no effect."""
    listener, app = make_application()
    assert (
        await send_request(
            app, "PUT", "/instances/i-1", json.dumps(ANNOUNCEMENT).encode()
        )
        == 200
    )
    assert listener._gate.gate.state(0.0) == "serving"
    assert await send_request(app, "DELETE", "/instances/i-1") == 200
    assert listener._gate.gate.state(0.0) == "draining"


@pytest.mark.parametrize(
    ("method", "body"),
    [
        ("DELETE", b""),
        ("PUT", json.dumps(ANNOUNCEMENT | {"state": "draining"}).encode()),
    ],
)
async def test_departure_that_is_not_stored_is_not_acknowledged(method, body):
    """Guards against departures that a restart of all daemons forgets."""
    listener, app = make_application()
    listener._store.available = False
    assert await send_request(app, method, "/instances/i-1", body) == 503
    listener._store.available = True
    assert await send_request(app, "DELETE", "/instances/i-1") == 200


@pytest.mark.parametrize(
    "change",
    [
        {"service": "other"},
        {"state": "odd"},
        {"seq": "x"},
        {"born": None},
        {"slots": 0},
        {"slots": 10**30},
        {"seq": 10**40},
        {"born": 2**70},
        {"cold_remaining_ms": 1e300},
    ],
)
async def test_invalid_announcement_is_refused(change):
    """Guards against announcements of another service or with wrong fields."""
    listener, app = make_application()
    body = json.dumps({**ANNOUNCEMENT, **change}).encode()
    assert await send_request(app, "PUT", "/instances/i-1", body) == 400
    assert listener._gate.gate.state(0.0) == "unknown"


async def test_malformed_announcement_is_refused():
    """Guards against a daemon that crashes on bytes that cannot be decoded."""
    app = make_application()[1]
    deep = b"[" * 30_000 + b"]" * 30_000
    nested = json.dumps(ANNOUNCEMENT).encode().replace(b'"stock"', deep)
    extra = json.dumps(ANNOUNCEMENT).encode().replace(b"{", b'{"x":' + deep + b",")
    for body in (b"\xff\x00", deep, nested, extra, b"1e999", b""):
        assert await send_request(app, "PUT", "/instances/i-1", body) == 400
        assert await send_request(app, "DELETE", "/instances/i-2", body) == 200


def test_unknown_setting_is_refused():
    """Guards against a misspelt setting that is silently ignored."""
    assert "unknown setting" in parse_relay_settings({"peers": 1}).error.reason
