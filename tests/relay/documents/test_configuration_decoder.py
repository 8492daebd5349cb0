"""Tests of decoding a configuration version by its changes."""

from random import Random

import pytest
from attrs import evolve
from relay_builders import make_configuration, make_route

from catkinhollow.codec import decode_message, encode_message, to_plain
from catkinhollow.generated.relay import Document, RelayConfiguration, RelayService
from catkinhollow.relay.documents.configuration_decoder import ConfigurationDecoder
from catkinhollow.relay.documents.document_handler import DocumentValidator


def make_document(configuration, revision=1):
    body = encode_message(configuration)
    return Document(name="configuration/main", revision=revision, body=body)


@pytest.mark.parametrize("seed", range(20))
def test_versions_are_the_same_as_decoded_as_a_whole(seed):
    """Guards against a route of an earlier version in a later one."""
    random = Random(seed)
    decoder = ConfigurationDecoder()
    for version in range(20):
        routes = [
            make_route(path_prefix=f"/{number}/", priority=random.randrange(2))
            for number in random.sample(range(8), k=random.randrange(8))
        ]
        body = encode_message(make_configuration(version, routes=routes * 2))
        expected = decode_message(body, RelayConfiguration).ok
        assert decoder.decode(body).ok == expected


def test_unchanged_routes_are_kept():
    """Guards against a version whose cost does not depend on its changes."""
    decoder = ConfigurationDecoder()
    routes = [make_route(path_prefix=f"/{number}/") for number in range(100)]
    first = decoder.decode(encode_message(make_configuration(1, routes=routes))).ok
    routes[50] = evolve(routes[50], priority=7)
    second = decoder.decode(encode_message(make_configuration(2, routes=routes))).ok
    pairs = zip(first.routes, second.routes, strict=True)
    assert [old is new for old, new in pairs].count(False) == 1


@pytest.mark.parametrize(
    "changes",
    [
        {"version": -1},
        {"version": None},
        {"routes": None},
        {"routes": {}},
        {"routes": [1]},
        {"routes": [{"name": "r"}]},
        {"services": 5},
        {"limits": {"max_body_bytes": 0}},
    ],
)
def test_malformed_versions_are_refused_and_leave_no_trace(changes):
    """Guards against a version of which a part is taken."""
    decoder = ConfigurationDecoder()
    good = make_configuration(1)
    body = encode_message(to_plain(good) | changes)
    assert decode_message(body, RelayConfiguration).is_error()
    assert decoder.decode(body).is_error()
    assert decoder.decode(encode_message(good)).ok == good


@pytest.mark.parametrize("body", [b"", b"\xc1", b"\x93\x01\x02\x03", b"\x81\x01\x02"])
def test_bodies_that_are_no_configuration_are_refused(body):
    """Guards against a peer of another release that ends this daemon."""
    assert ConfigurationDecoder().decode(body).is_error()


def test_defaults_and_unknown_fields_are_as_in_a_whole():
    """Guards against refused versions of a later release."""
    body = encode_message({"version": 4, "novel": [1, {"a": None}]})
    assert ConfigurationDecoder().decode(body).ok == RelayConfiguration(version=4)


def test_unchanged_route_is_refused_when_its_service_is_gone():
    """Guards against a check that is left out although its result changes."""
    validator = DocumentValidator()
    assert validator.accepts(make_document(make_configuration(1)))
    other = [RelayService(name="other")]
    without = evolve(make_configuration(2), services=other)
    assert not validator.accepts(make_document(without, 2))
    both = evolve(make_configuration(3), services=[*other, RelayService(name="stock")])
    assert validator.accepts(make_document(both, 3))


def test_validated_document_is_not_decoded_again():
    """Guards against decoding a version twice."""
    validator = DocumentValidator()
    document = make_document(make_configuration(1))
    assert validator.accepts(document)
    assert validator.decode(document).ok is validator.decode(document).ok
