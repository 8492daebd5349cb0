"""Tests of the client of the platform's store against scripted responses."""

import json

import pytest
from asgi_pool import AsgiPool
from expression import Result

from catkinhollow.codec import try_encode_message
from catkinhollow.errors import StoreErrorKind
from catkinhollow.generated.relay import Document, OrderState
from catkinhollow.platform.object_store import PlatformStore
from catkinhollow.platform.objects import decode_object
from catkinhollow.platform.standin_store import StandInStore
from catkinhollow.relay.documents.document_handler import DocumentValidator
from catkinhollow.relay.documents.store_revision import join_revision

ORDER = {
    "metadata": {"name": "stock", "revision": 12, "created_rev": 9},
    "spec": {"service": "stock", "target_version": "v2", "duration_s": 15},
    "status": {"state": "in_progress", "target_version": "v2", "percent": 15.0},
}


class ScriptedApp:
    """Answer each request with the next scripted status and body."""

    def __init__(self, responses):
        self.responses = responses
        self.calls = []

    async def __call__(self, scope, receive, send):
        message = await receive()
        query = scope["query_string"].decode()
        path = scope["raw_path"].decode() + (f"?{query}" if query else "")
        body = json.loads(message["body"]) if message["body"] else None
        self.calls.append((scope["method"], path, body))
        status, value = self.responses.pop(0)
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        await send({"type": "http.response.start", "status": status, "headers": []})
        await send({"type": "http.response.body", "body": content})


def make_store(nursery, *responses):
    app = ScriptedApp(list(responses))
    return app, PlatformStore("127.0.0.1:1", lambda expiry_s: AsgiPool(app, nursery))


async def test_listing_reads_all_pages(nursery):
    """Guards against daemons that know only the first page of objects."""
    first = {"items": [ORDER], "has_more": True, "at_rev": 20}
    second = {**ORDER, "metadata": {"name": "orders", "revision": 15}}
    last = {"items": [second], "has_more": False, "at_rev": 21}
    app, store = make_store(nursery, (200, first), (200, last))
    listing = (await store.list_objects("orders")).ok
    assert [item.name for item in listing.objects] == ["stock", "orders"]
    assert listing.complete
    assert app.calls[1][1] == "/objects/rollouts?after=stock"


async def test_change_between_two_pages_of_a_listing_is_not_missed(nursery):
    """Guards against a watch that starts after a change of the first page."""
    first = {"items": [ORDER], "has_more": True, "at_rev": 20}
    last = {"items": [], "has_more": False, "at_rev": 21}
    _, store = make_store(nursery, (200, first), (200, last))
    assert (await store.list_objects("orders")).ok.revision == 20


async def test_order_and_its_progress_are_converted(nursery):
    """Guards against an order that gets the progress of another order."""
    _, store = make_store(nursery, (200, ORDER))
    stored = (await store.get("orders", "stock")).ok
    order = decode_object(stored).ok
    assert (order.service, order.version, order.order) == ("stock", "v2", 9)
    assert order.progress.state is OrderState.RUNNING
    assert order.progress.percent == 15.0


async def test_lost_history_is_replaced_by_a_listing(nursery):
    """Guards against a watch that misses changes the store has discarded."""
    page = {"items": [], "has_more": False, "at_rev": 30}
    app, store = make_store(nursery, (410, {"error": "gone"}), (200, page))
    listing = (await store.watch("evacuations", after=5, wait_s=20.0)).ok
    assert listing.complete and listing.revision == 30
    assert app.calls[0][1] == "/objects/evacuations?watch=5&wait_ms=20000"


async def test_deletion_has_a_newer_revision_than_the_object(nursery):
    """Guards against a stale copy that restores a deleted object."""
    event = {"object": ORDER, "deleted": True}
    _, store = make_store(nursery, (200, {"events": [event], "at_rev": 40}))
    listing = (await store.watch("orders", after=5, wait_s=1.0)).ok
    assert listing.objects[0].deleted and listing.objects[0].revision == 40


async def test_progress_is_written_to_the_status_only(nursery):
    """Guards against writes to the spec, which belongs to the operator."""
    app, store = make_store(nursery, (200, ORDER))
    progress = {"version": "v2", "state": "withdrawn", "percent": 0.0, "order": 9}
    written = await store.put("orders", "stock", progress, if_revision=12)
    assert written.is_ok()
    method, path, body = app.calls[0]
    assert (method, path) == ("PUT", "/objects/rollouts/stock/status")
    assert body["metadata"] == {"name": "stock", "revision": 12}
    assert body["status"]["state"] == "reverted"
    assert "spec" not in body


async def test_failed_responses_are_returned_as_errors(nursery):
    """Guards against a daemon that crashes on an error of the store."""
    _, store = make_store(nursery, (409, ORDER), (200, b"{broken"), (503, {}))
    kinds = [(await store.get("orders", "stock")) for _ in range(3)]
    assert all(isinstance(result, Result) and result.is_error() for result in kinds)
    assert [result.error.kind for result in kinds] == [
        StoreErrorKind.CONFLICT,
        StoreErrorKind.UNAVAILABLE,
        StoreErrorKind.UNAVAILABLE,
    ]


RECORD = {
    "name": "a",
    "address": "10.0.0.1:7620",
    "failure_domain": "z",
    "region": "r",
    "service": "stock",
}
DEEP = "[" * 100_000 + "]" * 100_000


def make_item(name, spec):
    return f'{{"metadata": {{"name": "{name}", "revision": 5}}, "spec": {spec}}}'


ODD_ITEMS = {
    "deeply nested list": make_item("odd", DEEP),
    "deeply nested object": make_item("odd", '{"a":' * 50_000 + "1" + "}" * 50_000),
    "unclosed string of brackets": make_item("odd", '"[[[{{{"'),
    "number out of range": make_item("odd", "1e999"),
    "number of 5000 digits": make_item("odd", "9" * 5000),
    "revision beyond 64 bits": '{"metadata": {"name": "odd", "revision": 1e30}}',
    "revision of 40 digits": f'{{"metadata": {{"name": "o", "revision": {10**40}}}}}',
    "no metadata": '{"spec": {}}',
    "not an object": "null",
    "port out of range": make_item(
        "odd", json.dumps({**RECORD, "name": "odd"})
    ).replace("7620", "70000"),
}


@pytest.mark.parametrize("odd", ODD_ITEMS.values(), ids=ODD_ITEMS)
@pytest.mark.parametrize("read", ["listing", "watch"])
async def test_odd_object_hides_no_other(nursery, odd, read):
    """Guards against one malformed entry that ends a daemon or its watch."""
    good = make_item("a", json.dumps(RECORD))
    if read == "listing":
        page = f'{{"items": [{odd}, {good}], "at_rev": 9}}'
    else:
        odd_event, event = f'{{"object": {odd}}}', f'{{"object": {good}}}'
        page = f'{{"events": [{odd_event}, {event}], "at_rev": 9}}'
    _, store = make_store(nursery, (200, page.encode()))
    if read == "listing":
        listing = (await store.list_objects("daemons")).ok
    else:
        listing = (await store.watch("daemons", after=3, wait_s=20.0)).ok
    assert listing.revision == 9
    accepted = [
        document.name
        for stored in listing.objects
        if (document := to_document(stored)) and DocumentValidator().accepts(document)
    ]
    assert accepted == ["daemons/a"]


def to_document(stored):
    body = decode_object(stored).bind(try_encode_message)
    if body.is_error():
        return None
    return Document(name=f"daemons/{stored.name}", revision=5, body=body.ok)


async def test_unreadable_last_object_of_a_page_does_not_end_the_listing(nursery):
    """Guards against a listing that stops at an odd entry."""
    good = make_item("a", json.dumps(RECORD))
    later = make_item("b", json.dumps({**RECORD, "name": "b"}))
    first = f'{{"items": [{good}, null], "has_more": true, "at_rev": 9}}'
    last = f'{{"items": [null, {later}], "has_more": false, "at_rev": 9}}'
    app, store = make_store(nursery, (200, first.encode()), (200, last.encode()))
    listing = (await store.list_objects("daemons")).ok
    assert [stored.name for stored in listing.objects] == ["a", "b"]
    assert app.calls[1][1].endswith("?after=a")


class EraApp(ScriptedApp):
    """Add a scripted era to each answer."""

    def __init__(self, responses, eras):
        super().__init__(responses)
        self.eras = eras

    async def __call__(self, scope, receive, send):
        era = self.eras.pop(0)

        async def send_with_era(message):
            if "headers" in message and era is not None:
                message = {**message, "headers": [(b"Store-Era", era)]}
            await send(message)

        await super().__call__(scope, receive, send_with_era)


def make_era_store(nursery, *answers):
    """Return a store whose answers are pairs of an era and a body."""
    app = EraApp([(200, body) for _, body in answers], [era for era, _ in answers])
    return app, PlatformStore("127.0.0.1:1", lambda expiry_s: AsgiPool(app, nursery))


async def test_revisions_hold_the_era_of_the_store(nursery):
    """Guards against numbers that are compared across a return from a copy."""
    page = {"items": [ORDER], "has_more": False, "at_rev": 20}
    app, store = make_era_store(nursery, (None, page), (b"2", page), (b"2", ORDER))
    assert (await store.list_objects("orders")).ok.revision == 20
    listing = (await store.list_objects("orders")).ok
    assert listing.revision == join_revision(2, 20)
    revision = listing.objects[0].revision
    assert revision == join_revision(2, 12)
    progress = {"version": "v2", "state": "done", "percent": 100.0, "order": 9}
    await store.put("orders", "stock", progress, if_revision=revision)
    assert app.calls[2][2]["metadata"]["revision"] == 12


async def test_watch_of_an_assigned_revision_is_followed_by_a_listing(nursery):
    """Guards against changes between the copy and the number of the watch."""
    events = {"events": [], "at_rev": 30}
    page = {"items": [ORDER], "has_more": False, "at_rev": 30}
    app, store = make_era_store(nursery, (b"1", events), (b"1", page))
    listing = (await store.watch("orders", after=20, wait_s=1.0)).ok
    assert listing.complete
    assert listing.revision == join_revision(1, 30)
    assert app.calls[1][1] == "/objects/rollouts"


async def test_era_that_changes_between_two_pages_spoils_the_listing(nursery):
    """Guards against a listing of which one half is lost."""
    first = {"items": [ORDER], "has_more": True, "at_rev": 20}
    last = {"items": [], "has_more": False, "at_rev": 15}
    _, store = make_era_store(nursery, (b"1", first), (b"2", last))
    assert (await store.list_objects("orders")).is_error()


@pytest.mark.parametrize("era", [b"", b"-1", b"x", b"1" * 30, "٣".encode()])
async def test_era_that_cannot_be_read_counts_as_none(nursery, era):
    """Guards against a daemon that a malformed header ends or blinds."""
    page = {"items": [], "has_more": False, "at_rev": 20}
    _, store = make_era_store(nursery, (era, page), (None, page))
    assert (await store.list_objects("orders")).ok.revision == 20
    assert (await store.list_objects("orders")).ok.revision == 20


async def test_stand_in_refuses_a_watch_of_a_revision_that_it_lacks(nursery):
    """Guards against a stand-in that hides what the platform's store does."""
    app = StandInStore()
    copy = app.take_copy()
    app.write("evacuations", "a", {})
    pool = AsgiPool(app, nursery)
    url = "http://127.0.0.1:1/objects/evacuations?watch=2&wait_ms=100"
    response = await pool.request("GET", url)
    assert response.status == 200
    assert all(name != b"store-era" for name, _ in response.headers)
    app.restore(copy)
    response = await pool.request("GET", url)
    assert response.status == 410
    assert (b"store-era", b"1") in response.headers
