"""Tests of a store whose open connections go silent while new ones work."""

import socket
from math import inf
from random import Random

import pytest
import trio
from asgi_pool import AsgiPool
from relay_builders import make_configuration

from catkinhollow.clock import TrioClock
from catkinhollow.codec import decode_message
from catkinhollow.errors import StoreErrorKind
from catkinhollow.generated.relay import RelayConfiguration
from catkinhollow.platform.object_store import PlatformStore
from catkinhollow.platform.objects import decode_object
from catkinhollow.platform.standin_store import StandInStore
from catkinhollow.platform.store_connections import make_pool
from catkinhollow.relay.documents.document_table import DocumentTable
from catkinhollow.relay.documents.store_follower import MAX_ANSWER_AGE_S, StoreFollower
from catkinhollow.relay.relay_metrics import RelayMetrics
from catkinhollow.testbed.loopback_proxy import LoopbackProxy
from catkinhollow.testbed.loopback_server import serve_on_loopback
from catkinhollow.testbed.processes import free_ports

CONFIG_APPLY_S = 2.0


class Role:
    """Let the daemon follow the store."""

    def should_follow(self, now_s):
        return True

    def is_reached_since(self, time_s):
        return False


class Fleet:
    """Record when each version is passed on."""

    def __init__(self):
        self.table = DocumentTable()
        self.passed_on = {}
        self.changed = trio.Event()
        self.metrics = RelayMetrics()

    def on_document(self, document, source):
        if self.table.offer(document) and document.name == "configuration/main":
            configuration = decode_message(document.body, RelayConfiguration).ok
            self.passed_on[configuration.version] = trio.current_time()
            self.changed.set()
            self.changed = trio.Event()

    async def wait_for(self, version):
        while version not in self.passed_on:
            await self.changed.wait()


@pytest.fixture
async def served(nursery):
    """Return the store and a proxy before it, with its port."""
    app = StandInStore()
    server_port, proxy_port = free_ports(2)
    await nursery.start(serve_on_loopback, app, server_port)
    proxy = LoopbackProxy(server_port)
    await nursery.start(proxy.serve, proxy_port)
    return app, proxy, proxy_port


def write_version(app, version):
    app.write("configuration", "main", make_configuration(version))


def start_follower(nursery, store):
    fleet = Fleet()
    follower = StoreFollower(
        store=store,
        decode=decode_object,
        table=fleet.table,
        role=Role(),
        on_document=fleet.on_document,
        clock=TrioClock(),
        random=Random(1),
        metrics=fleet.metrics,
    )
    fleet.follower = follower
    nursery.start_soon(follower.run)
    return fleet


async def test_version_is_passed_on_in_time_after_all_connections_fell_silent(
    nursery, served
):
    """Guards against followers that are all blind until their watches end."""
    app, proxy, port = served
    write_version(app, 1)
    fleet = start_follower(nursery, PlatformStore(f"127.0.0.1:{port}"))
    with trio.fail_after(10.0):
        await fleet.wait_for(1)
    for version in (2, 3):
        await trio.sleep(2.5)
        proxy.cut_open()
        await trio.sleep(1.0)
        write_version(app, version)
        written_s = trio.current_time()
        with trio.move_on_after(10.0):
            await fleet.wait_for(version)
        assert fleet.passed_on.get(version, inf) - written_s <= CONFIG_APPLY_S
    # The renewal is no loss of the store.
    assert b"store_failures_total{" not in fleet.metrics.render().body


async def test_version_is_passed_on_soon_after_a_silent_outage(nursery, served):
    """Guards against watches that wait on after the path works again."""
    app, proxy, port = served
    write_version(app, 1)
    fleet = start_follower(nursery, PlatformStore(f"127.0.0.1:{port}"))
    with trio.fail_after(10.0):
        await fleet.wait_for(1)
    await trio.sleep(1.0)
    assert fleet.follower.following
    proxy.silent = True
    proxy.cut_open()
    await trio.sleep(MAX_ANSWER_AGE_S + 1.0)
    assert not fleet.follower.following
    write_version(app, 2)
    proxy.silent = False
    returned_s = trio.current_time()
    with trio.move_on_after(10.0):
        await fleet.wait_for(2)
    assert fleet.passed_on.get(2, inf) - returned_s <= CONFIG_APPLY_S
    await trio.sleep(0.5)
    assert fleet.follower.following


async def test_write_after_the_silence_uses_a_new_connection(served):
    """Guards against a time-out for each idle connection that is silent."""
    app, proxy, port = served
    store = PlatformStore(f"127.0.0.1:{port}")
    async with trio.open_nursery() as nursery:
        for _ in range(3):
            nursery.start_soon(store.list_cached, "daemons")
    proxy.cut_open()
    await trio.sleep(1.0)
    started_s = trio.current_time()
    written = await store.put("daemons", "d", {"name": "d"}, if_revision=0)
    assert written.is_ok(), written.error
    assert trio.current_time() - started_s <= 1.0


async def test_renewal_ends_a_write_and_repeats_a_read(nursery, served):
    """Guards against calls that wait on connections known to be silent."""
    app, proxy, port = served
    store = PlatformStore(f"127.0.0.1:{port}")
    write_version(app, 1)
    revision = (await store.list_objects("configuration")).ok.revision
    ended = {}

    async def run(name, call):
        ended[name] = await call

    watch = store.watch("configuration", after=revision, wait_s=20.0)
    nursery.start_soon(run, "watch", watch)
    await trio.sleep(0.1)
    assert (await store.list_objects("daemons")).is_ok()
    proxy.cut_open()
    put = store.put("daemons", "d", {"name": "d"}, if_revision=0)
    nursery.start_soon(run, "put", put)
    await trio.sleep(0.1)
    assert ended == {}
    assert await store.renew_connections() == 2
    await trio.sleep(0.2)
    assert ended["put"].error.kind is StoreErrorKind.UNAVAILABLE
    assert "watch" not in ended
    write_version(app, 2)
    await trio.sleep(0.5)
    assert [stored.name for stored in ended["watch"].ok.objects] == ["main"]


async def test_renewals_at_any_moment_end_no_read_with_an_error(served):
    """Guards against exceptions of connections that are closed in use."""
    app, _, port = served
    store = PlatformStore(f"127.0.0.1:{port}")
    write_version(app, 1)
    results = []

    async def read():
        for _ in range(40):
            results.append(await store.list_objects("configuration"))

    async def renew():
        while True:
            await trio.sleep(random.uniform(0.0, 0.01))
            await store.renew_connections()

    random = Random(3)
    async with trio.open_nursery() as renewals:
        renewals.start_soon(renew)
        async with trio.open_nursery() as readers:
            for _ in range(8):
                readers.start_soon(read)
        renewals.cancel_scope.cancel()
    assert len(results) == 320
    assert [result.error for result in results if result.is_error()] == []


async def test_kernel_watches_idle_connections_and_unacknowledged_bytes(served):
    """Guards against a watch whose request was never acknowledged."""
    _, _, port = served
    async with make_pool(None) as pool:
        url = f"http://127.0.0.1:{port}/objects/config"
        async with pool.stream("GET", url) as response:
            stream = response.extensions["network_stream"]
            connection = stream.get_extra_info("socket")
            for name, value in {
                "TCP_KEEPIDLE": 1,
                "TCP_KEEPINTVL": 1,
                "TCP_KEEPCNT": 2,
                "TCP_USER_TIMEOUT": 3000,
            }.items():
                option = getattr(socket, name)
                assert connection.getsockopt(socket.IPPROTO_TCP, option) == value


class CountingApp:
    """Count the calls of the store by their price."""

    def __init__(self, app):
        self.app = app
        self.full = 0
        self.cached = 0

    async def __call__(self, scope, receive, send):
        if b"serializable=1" in scope["query_string"]:
            self.cached += 1
        else:
            self.full += 1
        await self.app(scope, receive, send)


async def test_probes_cost_less_than_watches_at_rest(nursery, autojump_clock):
    """Guards against a price of calls that grows unnoticed."""
    app = StandInStore()
    write_version(app, 1)
    counting = CountingApp(app)
    store = PlatformStore("127.0.0.1:1", lambda expiry_s: AsgiPool(counting, nursery))
    start_follower(nursery, store)
    await trio.sleep(5.0)
    counting.full = counting.cached = 0
    await trio.sleep(1000.0)
    # Four kinds, each watched for 25 s.
    assert counting.full <= 161
    assert 0.1 * counting.cached <= 126
