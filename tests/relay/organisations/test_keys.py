"""Tests of the keys of organisations."""

from hashlib import sha256

import pytest
from relay_builders import make_configuration

from catkinhollow.generated.relay import Organisation
from catkinhollow.relay.documents.configuration_check import find_error
from catkinhollow.relay.organisations.access import AccessPolicy, Granted
from catkinhollow.relay.organisations.keys import (
    ANONYMOUS,
    MISSING_KEY,
    UNKNOWN_KEY,
    KeyTable,
)

ORGANISATIONS = [
    Organisation(name="mill", keys=["mill-key-1", "mill-key-2"], priority=0),
    Organisation(name="dock", keys=["dock-key"]),
]


def identify(*values, allow_anonymous=False):
    table = KeyTable(ORGANISATIONS)
    return table.identify(list(values), allow_anonymous=allow_anonymous)


@pytest.mark.parametrize("allow_anonymous", [False, True])
def test_known_key_names_its_organisation(allow_anonymous):
    """Guards against requests that count for another organisation."""
    holder = identify(b"Token mill-key-2", allow_anonymous=allow_anonymous)
    assert (holder.organisation, holder.priority) == ("mill", 0)
    assert holder.key_digest == sha256(b"mill-key-2").digest()
    assert identify(b"token  dock-key ").organisation == "dock"


@pytest.mark.parametrize(
    "value",
    [
        b"Token mill-key",
        b"Token mill-key-11",
        b"Token ",
        b"Token",
        b"",
        b"Bearer mill-key-1",
        b"mill-key-1",
        b"Token MILL-KEY-1",
        b"Token \xff\xfe",
    ],
)
@pytest.mark.parametrize("allow_anonymous", [False, True])
def test_unknown_key_is_refused_on_every_route(value, allow_anonymous):
    """Guards against a wrong key that passes as an anonymous request."""
    assert identify(value, allow_anonymous=allow_anonymous) is UNKNOWN_KEY


def test_two_keys_in_one_request_are_refused():
    """Guards against a request that each daemon counts for another key."""
    assert identify(b"Token mill-key-1", b"Token dock-key") is UNKNOWN_KEY


def test_missing_key_is_only_served_on_anonymous_routes():
    """Guards against requests without a key on the other routes."""
    assert identify() is MISSING_KEY
    assert identify(allow_anonymous=True) is ANONYMOUS


def test_without_organisations_no_key_is_checked():
    """Guards against 401 for the own authorization of earlier deployments."""
    policy = AccessPolicy()
    policy.configure(make_configuration())
    headers = [(b"authorization", b"Basic abc")]
    assert policy.admit(headers, 0.0, allow_anonymous=False) == Granted(ANONYMOUS)
    assert not policy.has_organisations


def test_key_of_an_earlier_version_is_refused():
    """Guards against keys that outlive the version that removed them."""
    policy = AccessPolicy()
    headers = [(b"authorization", b"Token dock-key")]
    policy.configure(make_configuration(organisations=ORGANISATIONS))
    assert isinstance(policy.admit(headers, 0.0, allow_anonymous=False), Granted)
    policy.configure(make_configuration(organisations=ORGANISATIONS[:1]))
    assert policy.admit(headers, 0.0, allow_anonymous=False) is UNKNOWN_KEY


@pytest.mark.parametrize(
    ("organisations", "reason"),
    [
        ([Organisation(name="")], "header"),
        ([Organisation(name=" a")], "header"),
        ([Organisation(name="a\r\nx-tenant: b")], "header"),
        ([Organisation(name="a"), Organisation(name="a")], "listed twice"),
        ([Organisation(name="a", keys=["s3cret", "s3cret"])], "listed twice"),
        (
            [
                Organisation(name="a", keys=["s3cret"]),
                Organisation(name="b", keys=["s3cret"]),
            ],
            "listed twice",
        ),
        ([Organisation(name="a", keys=[""])], "empty"),
        ([Organisation(name="a", keys=["s3cret word"])], "spaces"),
        ([Organisation(name="a", keys=["s3cret\n"])], "spaces"),
    ],
)
def test_invalid_organisations_are_refused_without_naming_a_key(organisations, reason):
    """Guards against ambiguous keys, forged headers and keys in a log."""
    error = find_error(make_configuration(organisations=organisations), 0)
    assert reason in error
    assert "s3cret" not in error


def test_valid_organisations_are_accepted():
    """Guards against versions that are refused for their organisations."""
    assert find_error(make_configuration(organisations=ORGANISATIONS), 0) == ""
