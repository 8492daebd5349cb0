"""Tests of routes, splits, documents and retry advice."""

from collections import Counter
from random import Random

import pytest
from relay_builders import make_configuration, make_route

from catkinhollow.codec import encode_message
from catkinhollow.generated.relay import Document, WeightedService
from catkinhollow.relay.admission.retry_advice import retry_after_s
from catkinhollow.relay.documents.configuration_check import find_error
from catkinhollow.relay.documents.document_handler import DocumentValidator
from catkinhollow.relay.documents.document_table import DigestComparison, DocumentTable
from catkinhollow.relay.placement.routes import RouteTable, SplitPicker


def make_document(revision, name="configuration/main", **changes):
    return Document(name=name, revision=revision, body=b"x", **changes)


def test_longest_prefix_of_the_host_wins():
    """Guards against requests that are routed to the wrong service."""
    routes = [
        make_route("short", path_prefix="/a/"),
        make_route("long", path_prefix="/a/b/"),
        make_route("other", host="else.example", path_prefix="/"),
    ]
    table = RouteTable(make_configuration(routes=routes))
    assert table.match("shop.example:80", "/a/b/c").name == "long"
    assert table.match("SHOP.example", "/a/bc").name == "short"
    assert table.match("shop.example", "/ab") is None
    assert table.match("none.example", "/a/") is None


def test_split_keeps_its_weights_over_a_short_time():
    """Guards against shares that deviate after only a few requests."""
    parts = [
        WeightedService(service="x", weight=90),
        WeightedService(service="y", weight=10),
    ]
    route = make_route(split=parts)
    total = Counter()
    for seed in range(11):
        picker = SplitPicker(Random(seed))
        total.update(picker.pick(route) for _ in range(20))
    assert abs(total["y"] / 220 - 0.1) < 0.03


def test_documents_never_return_to_an_older_revision():
    """Guards against an older revision that arrives from another source."""
    table = DocumentTable()
    assert table.offer(make_document(5))
    assert not table.offer(make_document(4))
    assert not table.offer(make_document(5))
    assert table.get("configuration/main").revision == 5


def test_deletion_found_by_a_listing_keeps_newer_documents():
    """Guards against a stale listing that removes newer documents."""
    table = DocumentTable()
    table.offer(make_document(5, "daemons/a"))
    table.offer(make_document(9, "daemons/b"))
    deletions = table.find_deletions("daemons", set(), 7)
    assert [document.name for document in deletions] == ["daemons/a"]


def test_equal_tables_have_equal_digests_in_any_order():
    """Guards against endless transfers between equal daemons."""
    first, second = DocumentTable(), DocumentTable()
    documents = [make_document(3, "daemons/a"), make_document(4, "daemons/b")]
    for document in documents:
        first.offer(document)
    second.offer(make_document(1, "daemons/a"))
    for document in reversed(documents):
        second.offer(document)
    assert first.digest == second.digest
    second.offer(make_document(6, "daemons/c"))
    assert [d.name for d in second.newer_than(first.versions)] == ["daemons/c"]


def test_lasting_difference_is_requested_once_and_not_from_every_peer():
    """Guards against a change that is sent by every peer of a large fleet.

    90 daemons each sent their whole configuration to a daemon that was some
    milliseconds behind.
    """
    comparison = DigestComparison()
    requested_s = [
        step / 100
        for step in range(100)
        if comparison.is_due(own=1, other=2, now_s=step / 100, same_domain=True)
    ]
    assert requested_s[0] == pytest.approx(0.5, abs=0.02)
    assert len(requested_s) <= 3


def test_documents_are_requested_in_the_own_failure_domain_first():
    """Guards against transfers of configurations between failure domains."""
    comparison = DigestComparison()
    assert not comparison.is_due(own=1, other=2, now_s=0.0, same_domain=False)
    assert not comparison.is_due(own=1, other=2, now_s=0.7, same_domain=False)
    assert comparison.is_due(own=1, other=2, now_s=0.7, same_domain=True)
    comparison.answered()
    assert comparison.is_due(own=1, other=2, now_s=1.1, same_domain=False)


def test_change_that_the_store_delivers_is_not_requested():
    """Guards against transfers during a series of changes every 0.33 s."""
    comparison = DigestComparison()
    for change in range(1, 20):
        changed_s = 0.33 * change
        assert not comparison.is_due(
            own=change, other=change + 1, now_s=changed_s, same_domain=True
        )
        assert not comparison.is_due(
            own=change, other=change + 1, now_s=changed_s + 0.05, same_domain=True
        )
        assert not comparison.is_due(
            own=change + 1, other=change + 1, now_s=changed_s + 0.1, same_domain=True
        )


def test_daemon_without_the_store_requests_during_a_series_of_changes():
    """Guards against an isolated daemon that waits until changes end."""
    comparison = DigestComparison()
    due = [
        comparison.is_due(own=1, other=2 + step // 3, now_s=step / 9, same_domain=True)
        for step in range(20)
    ]
    assert any(due[:8])


def test_daemon_without_documents_requests_them_at_once():
    """Guards against a slow start while the store is unreachable."""
    comparison = DigestComparison()
    assert comparison.is_due(0, 7, 5.0, same_domain=False, is_urgent=True)


def test_starting_daemon_gives_the_store_time_to_answer():
    """Guards against each start transferring a configuration twice."""
    comparison = DigestComparison()
    assert not comparison.is_due(0, 7, 5.0, same_domain=True)
    assert not comparison.is_due(0, 7, 5.4, same_domain=True)
    assert comparison.is_due(0, 7, 5.6, same_domain=True)


def test_documents_are_requested_from_one_peer_at_a_time():
    """Guards against a slow link that carries one document many times."""
    comparison = DigestComparison()
    times = [step * 0.1 for step in range(15)]
    due = [
        comparison.is_due(0, 7, at_s, same_domain=True, is_urgent=True)
        for at_s in times
    ]
    assert due.count(True) == 1


def test_next_peer_is_asked_soon_after_an_answer_without_news():
    """Guards against a daemon that waits for peers that know no more."""
    comparison = DigestComparison()
    assert comparison.is_due(0, 7, 0.0, same_domain=True, is_urgent=True)
    comparison.answered()
    assert comparison.is_due(0, 7, 0.4, same_domain=True, is_urgent=True)


def test_lost_request_is_repeated():
    """Guards against waiting for ever for the answer of a peer that ended."""
    comparison = DigestComparison()
    assert comparison.is_due(0, 7, 0.0, same_domain=True, is_urgent=True)
    assert comparison.is_due(0, 7, 2.1, same_domain=True, is_urgent=True)


def test_peer_without_documents_is_not_asked():
    """Guards against requests to daemons that are just starting."""
    comparison = DigestComparison()
    for second in range(10):
        assert not comparison.is_due(1, 0, float(second), same_domain=True)


def test_error_of_an_invalid_configuration_is_reported():
    """Guards against a configuration version that is applied in part."""
    assert find_error(make_configuration(), -1) == ""
    assert "older" in find_error(make_configuration(3), 4)
    unknown = make_configuration(routes=[make_route(service="none")])
    assert "unknown service" in find_error(unknown, -1)
    without_slash = make_configuration(routes=[make_route(path_prefix="/a")])
    assert "slash" in find_error(without_slash, -1)


def test_document_that_cannot_be_decoded_is_refused():
    """Guards against a peer of another release that crashes this daemon."""
    validator = DocumentValidator()
    for kind in ("configuration", "daemons", "orders", "evacuations", "novel"):
        broken = Document(name=f"{kind}/x", revision=5, body=b"\xc1 nothing")
        assert not validator.accepts(broken), kind
    body = encode_message(make_configuration(3))
    configuration = Document(name="configuration/main", revision=6, body=body)
    assert validator.accepts(configuration)
    validator.set_version(4)
    assert not validator.accepts(configuration)


def test_retry_advice_fits_the_time_left_and_is_spread():
    """Guards against callers that retry too late or all at once."""
    assert retry_after_s(5.0, 0.9, 0.0) <= 0.3
    early, late = retry_after_s(0.1, 3.0, 0.0), retry_after_s(0.1, 3.0, 1.0)
    assert early < late
