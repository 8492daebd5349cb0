"""Run relay daemons and targets on loopback, with a store in memory."""

from random import Random

import trio
from attrs import evolve
from expression import Ok
from httpcore import AsyncConnectionPool
from memory_store import MemoryStore
from relay_builders import make_announcement, make_configuration

from catkinhollow.calls.exchange import Response, plain_response
from catkinhollow.calls.http_server import read_request, send_response
from catkinhollow.codec import from_plain, to_plain
from catkinhollow.generated.relay import (
    DaemonRecord,
    DecidedWindows,
    MoveOrder,
    MoveProgress,
    RelayConfiguration,
    RelaySettings,
    UsageLease,
)
from catkinhollow.generated.store import ObjectList, StoredObject
from catkinhollow.relay.application import RelayDaemon
from catkinhollow.relay.header_names import HeaderNames
from catkinhollow.testbed.loopback_server import serve_on_loopback
from catkinhollow.testbed.processes import free_ports

NAMES = HeaderNames()
OBJECT_TYPES = {
    "configuration": RelayConfiguration,
    "orders": MoveOrder,
    "daemons": DaemonRecord,
}
LEASE_TYPES = {"usage": UsageLease, "usage-windows": DecidedWindows}


class WatchableStore(MemoryStore):
    """Extend the store with watches and with writes of order progress."""

    def __init__(self):
        super().__init__()
        self.changed = trio.Event()
        self.history = []

    def write(self, kind, name, value):
        stored = super().write(kind, name, value)
        self._record_change(stored)
        return stored

    def remove(self, kind, name):
        self.revision += 1
        stored = self.objects.pop((kind, name))
        self._record_change(evolve(stored, revision=self.revision, deleted=True))

    def _record_change(self, stored):
        self.history.append(stored)
        self.changed.set()
        self.changed = trio.Event()

    async def list_objects(self, kind):
        listing = await super().list_objects(kind)
        return listing.map(lambda found: evolve(found, complete=True))

    async def list_cached(self, kind):
        return await self.list_objects(kind)

    async def watch(self, kind, *, after, wait_s):
        with trio.move_on_after(wait_s):
            while True:
                if self.down:
                    return await super().list_objects(kind)
                found = [
                    stored
                    for stored in self.history
                    if stored.kind == kind and stored.revision > after
                ]
                if found:
                    return Ok(ObjectList(revision=self.revision, objects=found))
                await self.changed.wait()
        return Ok(ObjectList(revision=self.revision))

    async def put(self, kind, name, value, *, if_revision):
        if kind == "orders":
            order = self.objects[kind, name].value
            progress = from_plain(value, MoveProgress).ok
            value = to_plain(evolve(from_plain(order, MoveOrder).ok, progress=progress))
        return await super().put(kind, name, value, if_revision=if_revision)


def decode(stored: StoredObject):
    if stored.kind == "evacuations":
        return Ok(stored.name)
    if stored.kind == "leases":
        return from_plain(stored.value, LEASE_TYPES[stored.name])
    return from_plain(stored.value, OBJECT_TYPES[stored.kind])


async def answer_announcement(request, wait_for_disconnect):
    return plain_response(200, "known")


class Target:
    """Answer requests after a run time and count them by request id."""

    def __init__(self, name, run_time_s=0.02):
        self.name = name
        self.run_time_s = run_time_s
        self.runs = {}
        self.headers = []
        self.answer = None

    async def __call__(self, scope, receive, send):
        request = (await read_request(scope, receive, 1_000_000)).ok
        request_id = request.header(NAMES.request_id)
        if request_id is not None:
            key = request_id.decode()
            self.runs[key] = self.runs.get(key, 0) + 1
            self.headers.append(dict(request.headers))
        await trio.sleep(self.run_time_s)
        response = self.answer or plain_response(200, f"{self.name} {request.path}")
        headers = [
            *response.headers,
            (NAMES.signature, b"signed"),
            (NAMES.lifetime, self.name.encode()),
        ]
        if request_id is not None:
            headers.append((NAMES.request_id, request_id))
        await send_response(
            send, Response(status=response.status, headers=headers, body=response.body)
        )


class Member:
    """Represent one daemon with its target."""

    def __init__(self, settings, daemon, target):
        self.settings = settings
        self.daemon = daemon
        self.target = target
        self.stop = trio.Event()
        self.stopped = trio.Event()


class RelayFleet:
    """Start several members and send requests to them."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.store = WatchableStore()
        self.members = {}
        self.pool = AsyncConnectionPool()

    async def start(
        self,
        name,
        *,
        service="stock",
        failure_domain="a",
        announce=True,
        usage_api=None,
        held_signals=None,
        **changes,
    ):
        ports = free_ports(6)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        settings = RelaySettings(
            instance=name,
            failure_domain=failure_domain,
            region="r",
            service=service,
            target=addresses[0],
            requests=addresses[1],
            ready=addresses[2],
            announcements=addresses[3],
            peer=addresses[4],
            metrics=addresses[5],
            store="127.0.0.1:1",
            **changes,
        )
        target = Target(name)
        daemon = RelayDaemon(
            settings=settings,
            store=self.store,
            decode=decode,
            header_names=NAMES,
            announcement_app=lambda gate, service: answer_announcement,
            reload_settings=lambda: Ok(settings),
            random=Random(name),
            usage_api=usage_api,
        )
        member = Member(settings, daemon, target)
        self.members[name] = member
        await self.nursery.start(serve_on_loopback, target, ports[0])
        self.nursery.start_soon(self._run, member, held_signals)
        if announce:
            daemon.gate.announce(make_announcement(name, slots=9))
        return member

    async def _run(self, member, held_signals):
        if held_signals is None:
            await member.daemon.serve_until(member.stop.wait)
        else:
            await member.daemon.run(held_signals)
        member.stopped.set()

    def configure(self, version=1, **changes):
        value = to_plain(make_configuration(version, **changes))
        self.store.write("configuration", "main", value)

    async def wait_until(self, condition, limit_s=5.0):
        """Wait until a condition holds."""
        with trio.fail_after(limit_s):
            while not condition():
                await trio.sleep(0.01)

    async def wait_linked(self):
        """Wait until every daemon can send calls to every other daemon."""
        await self.wait_until(
            lambda: all(
                member.daemon.ready
                and len(member.daemon.directory.addresses) == len(self.members) - 1
                and all(
                    peer.accepts_calls
                    for peer in member.daemon.directory
                    if peer is not member.daemon.directory.own
                )
                for member in self.members.values()
            )
        )

    async def call(
        self,
        name,
        request_id,
        *,
        path="/a/b",
        method="GET",
        content=None,
        more_headers=(),
    ):
        address = self.members[name].settings.requests
        headers = [
            (b"host", b"shop.example"),
            (NAMES.request_id, request_id.encode()),
            *more_headers,
        ]
        return await self.pool.request(
            method, f"http://{address}{path}", headers=headers, content=content
        )

    async def metrics(self, name):
        address = self.members[name].settings.metrics
        response = await self.pool.request("GET", f"http://{address}/metrics")
        return response.content.decode()

    async def wait_for_version(self, name, version):
        line = f"catkinhollow_relay_configuration_version {version}\n"
        with trio.fail_after(5.0):
            while line not in await self.metrics(name):
                await trio.sleep(0.05)

    async def stop(self):
        self.nursery.cancel_scope.cancel()
