"""Tests of requests with keys through complete daemons on loopback."""

import logging
from hashlib import sha256

import pytest
from absl import logging as absl_logging
from relay_builders import make_route
from relay_fleet import NAMES, RelayFleet

from catkinhollow.codec import encode_message
from catkinhollow.generated.relay import Organisation
from catkinhollow.relay.links.peer_sender import PeerSender

pytestmark = pytest.mark.processes

ORGANISATIONS = [
    Organisation(name="mill", keys=["mill-s3cret"], priority=0),
    Organisation(name="dock", keys=["dock-s3cret"]),
]
KEY = (b"Authorization", b"Token mill-s3cret")
FORGED = (NAMES.organisation, b"dock")
ROUTES = [
    make_route(),
    make_route("open", path_prefix="/open/", allow_anonymous=True),
]


@pytest.fixture
async def fleet(nursery):
    fleet = RelayFleet(nursery)
    fleet.configure(routes=ROUTES, organisations=ORGANISATIONS)
    await fleet.start("one", service="shop")
    await fleet.start("two", service="stock")
    await fleet.wait_linked()
    return fleet


def target_headers(fleet):
    return fleet.members["two"].target.headers[-1]


async def test_target_gets_the_organisation_and_no_key(fleet):
    """Guards against keys that leak to targets, and made-up organisations."""
    response = await fleet.call("one", "c1", more_headers=[KEY, FORGED])
    assert response.status == 200
    headers = target_headers(fleet)
    assert headers[NAMES.organisation] == b"mill"
    assert b"authorization" not in headers


async def test_anonymous_request_has_no_organisation(fleet):
    """Guards against callers without a key that name an organisation."""
    response = await fleet.call("one", "c1", path="/open/b", more_headers=[FORGED])
    assert response.status == 200
    assert NAMES.organisation not in target_headers(fleet)


@pytest.mark.parametrize("path", ["/a/b", "/open/b"])
async def test_request_with_an_unknown_key_is_refused(fleet, path):
    """Guards against runs for callers without a valid key."""
    wrong = (b"Authorization", b"Token other")
    response = await fleet.call("one", "c1", path=path, more_headers=[wrong])
    assert response.status == 401
    assert not fleet.members["two"].target.runs
    metrics = await fleet.metrics("one")
    refused = "catkinhollow_relay_access_refusals_total"
    assert f'{refused}{{place="ingress",reason="unknown key"}} 1' in metrics


async def test_request_without_a_key_is_refused(fleet):
    """Guards against runs without a key on routes that need one."""
    response = await fleet.call("one", "c1")
    assert response.status == 401
    assert dict(response.headers)[b"www-authenticate"] == b"Token"
    assert not fleet.members["two"].target.runs


async def test_keys_follow_the_versions(fleet):
    """Guards against keys that are added or removed without effect."""
    added = Organisation(name="weir", keys=["weir-s3cret"])
    fleet.configure(2, routes=ROUTES, organisations=[*ORGANISATIONS[1:], added])
    weir = (b"Authorization", b"Token weir-s3cret")

    async def status(number, header):
        return (await fleet.call("one", f"c{number}", more_headers=[header])).status

    await fleet.wait_for_version("one", 2)
    assert await status(1, KEY) == 401
    assert await status(2, weir) == 200


async def test_without_organisations_headers_are_passed_on(nursery):
    """Guards against a change for deployments without organisations."""
    fleet = RelayFleet(nursery)
    fleet.configure(routes=ROUTES)
    await fleet.start("one", service="shop")
    await fleet.start("two", service="stock")
    await fleet.wait_linked()
    response = await fleet.call("one", "c1", more_headers=[KEY, FORGED])
    assert response.status == 200
    headers = target_headers(fleet)
    assert headers[b"authorization"] == KEY[1]
    assert headers[NAMES.organisation] == b"dock"


async def test_daemon_without_a_configuration_answers_503(nursery):
    """Guards against 401 for valid keys while a daemon starts."""
    fleet = RelayFleet(nursery)
    fleet.store.down = True
    member = await fleet.start("one", service="shop")
    await fleet.wait_until(lambda: member.daemon._listening)
    response = await fleet.call("one", "c1", more_headers=[KEY])
    assert response.status == 503


class LineHandler(logging.Handler):
    """Collect what the daemons log."""

    def __init__(self):
        super().__init__()
        self.text = ""

    def emit(self, record):
        self.text += f"{record.getMessage()} {record.fields}\n"


@pytest.fixture
def log():
    logger = absl_logging.get_absl_logger()
    handler, level = LineHandler(), logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.DEBUG)
    yield handler
    logger.removeHandler(handler)
    logger.setLevel(level)


async def test_no_key_is_logged_counted_or_in_a_status(log, monkeypatch, fleet):
    """Guards against keys in logs, metrics and statuses."""
    statuses = []
    send_status = PeerSender.send_status

    def record(self, address, status):
        statuses.append(encode_message(status))
        return send_status(self, address, status)

    monkeypatch.setattr(PeerSender, "send_status", record)
    for number, header in enumerate([KEY, (KEY[0], KEY[1] + b"-wrong")]):
        await fleet.call("one", f"c{number}", more_headers=[header])
    bad = [Organisation(name="mill", keys=["mill-s3cret", "mill-s3cret"])]
    fleet.configure(2, routes=ROUTES, organisations=bad)
    await fleet.wait_until(lambda: "document refused" in log.text and statuses)
    assert "configuration enforced" in log.text
    digest = sha256(b"mill-s3cret").hexdigest()
    texts = [log.text, *map(repr, statuses)]
    texts += [await fleet.metrics(name) for name in fleet.members]
    for text in texts:
        assert "s3cret" not in text
        assert digest not in text
