"""Run daemons' documents, records and moves in virtual time.

The store client, the exchange of documents, the follower, the record keeper,
the validator and the move driver are the real ones. The store is the stand-in
of the platform's, called in memory.
"""

from random import Random

import trio
from asgi_pool import AsgiPool
from relay_builders import make_configuration, make_report

from catkinhollow.clock import TrioClock
from catkinhollow.codec import decode_message, encode_message
from catkinhollow.events import EventManager
from catkinhollow.generated.relay import (
    DaemonRecord,
    MoveOrder,
    MoveProgress,
    OrderState,
    RelayConfiguration,
)
from catkinhollow.platform.generated import RolloutSpec
from catkinhollow.platform.object_store import PlatformStore
from catkinhollow.platform.objects import STORE_KINDS, decode_object
from catkinhollow.platform.standin_store import StandInStore
from catkinhollow.relay.documents.document_handler import (
    DocumentHandler,
    DocumentValidator,
)
from catkinhollow.relay.documents.document_sync import DocumentChanged, DocumentSync
from catkinhollow.relay.documents.document_table import STORE_SOURCE, DocumentTable
from catkinhollow.relay.documents.own_record import OwnRecordKeeper
from catkinhollow.relay.documents.store_follower import StoreFollower
from catkinhollow.relay.moves.move_driver import STEP_INTERVAL_S, MoveDriver
from catkinhollow.relay.moves.versions import VersionPolicy
from catkinhollow.relay.placement.peers import PeerDirectory
from catkinhollow.relay.relay_metrics import RelayMetrics
from catkinhollow.timer import Timer

LINK_S = 0.01
STATUS_INTERVAL_S = 0.5
SERVICE = "stock"
DOMAIN = "a"


class FaultyApp:
    """Lose the next answers to writes, or deliver the next answers late."""

    def __init__(self, app):
        self.app = app
        self.lost_writes = 0
        self.late_answers = 0
        self.late_s = 0.0
        self.writes = []

    async def __call__(self, scope, receive, send):
        messages = []

        async def collect(message):
            messages.append(message)

        await self.app(scope, receive, collect)
        is_write = scope["method"] != "GET"
        if is_write:
            self.writes.append((trio.current_time(), scope["raw_path"].decode()))
        if is_write and self.lost_writes:
            self.lost_writes -= 1
            return
        # Neither a watch nor a probe.
        is_call = is_write or not scope["query_string"]
        if self.late_answers and is_call:
            self.late_answers -= 1
            await trio.sleep(self.late_s)
        for message in messages:
            await send(message)


class Gate:
    """Remember whether the failure domain is out of service."""

    def __init__(self):
        self.evacuated = False

    def configure(self, configuration):
        pass

    def set_evacuated(self, evacuated):
        self.evacuated = evacuated


class Ingress:
    """Remember the configurations in the order in which they were enforced."""

    def __init__(self):
        self.versions = []

    def configure(self, configuration: RelayConfiguration):
        self.versions.append(configuration.version)


class Plan:
    """Ignore what only links need."""

    def set_services(self, services):
        pass

    def set_orders(self, orders):
        pass


class Network:
    """Hold the directory."""

    def __init__(self, directory):
        self.directory = directory

    def schedule_link_update(self):
        pass


class Role:
    """Let the test choose whether the store is followed."""

    def __init__(self, follows):
        self.follows = follows

    def should_follow(self, now_s):
        return self.follows

    def is_reached_since(self, time_s):
        return False


class Member:
    """Represent one daemon that is linked to all others."""

    def __init__(self, fleet, name, *, follows):
        self.fleet = fleet
        self.name = name
        self.address = f"{name}:1"
        self.cut_off = False
        # Versions whose move this daemon has known as done or withdrawn.
        self.settled = set()
        self.record = DaemonRecord(
            name=name,
            address=self.address,
            failure_domain=DOMAIN,
            region="r",
            service=SERVICE,
        )
        clock = TrioClock()
        random = Random(name)
        self.timer = Timer(clock)
        self.table = DocumentTable()
        self.directory = PeerDirectory(self.record)
        self.app = FaultyApp(fleet.app)
        self.store = PlatformStore(
            "127.0.0.1:1", lambda expiry_s: AsgiPool(self.app, fleet.nursery)
        )
        self.events = EventManager()
        self.validator = DocumentValidator()
        self.sync = DocumentSync(
            link=self,
            documents=self.table,
            timer=self.timer,
            events=self.events,
            accepts=self.validator.accepts,
            is_configured=lambda: self.validator.version >= 0,
            is_confirmed=lambda _: True,
        )
        self.role = Role(follows)
        self.follower = StoreFollower(
            store=self.store,
            decode=decode_object,
            table=self.table,
            role=self.role,
            on_document=self.sync.offer,
            clock=clock,
            random=random,
            metrics=RelayMetrics(),
        )
        self.history = []
        self.keeper = OwnRecordKeeper(
            store=self.store,
            follower=self.follower,
            table=self.table,
            record=self.record,
            on_history=self.history.extend,
            random=random,
        )
        self.moves = MoveDriver(self.store, self.directory, clock)
        self.versions = VersionPolicy(random)
        self.gate = Gate()
        self.ingress = Ingress()
        handler = DocumentHandler(
            failure_domain=DOMAIN,
            validator=self.validator,
            table=self.table,
            ingress=self.ingress,
            gate=self.gate,
            network=Network(self.directory),
            plan=Plan(),
            versions=self.versions,
            moves=self.moves,
        )
        self.events.connect(DocumentChanged, handler.apply)
        self.events.connect(DocumentChanged, self._on_document)

    def _on_document(self, event):
        kind, _, name = event.document.name.partition("/")
        if self.table.era > self.keeper.era:
            self.keeper.record_changed()
        if event.source != STORE_SOURCE and not event.document.deleted:
            self.follower.expect(kind, event.document.revision)
        if kind == "configuration":
            self.follower.set_configured()
        elif kind == "daemons" and name == self.name:
            self.keeper.record_changed()
        self.fleet.check(self)

    @property
    def order(self) -> MoveOrder | None:
        return self.versions.orders.get(SERVICE)

    @property
    def progress(self) -> MoveProgress | None:
        return None if self.order is None else self.order.progress

    # The links to the other daemons.

    @property
    def neighbours(self):
        return [it.address for it in self.fleet.members.values() if it is not self]

    linked = neighbours

    def is_nearby(self, address):
        return True

    def send_documents(self, address, message):
        return self._send(address, "handle_documents", message)

    def send_index(self, address, message):
        return self._send(address, "handle_index", message)

    def send_announcement(self, address, message):
        return self._send(address, "handle_announcement", message)

    def send_request(self, address, message):
        return self._send(address, "handle_request", message)

    def _send(self, address, handler, message):
        peer = self.fleet.members[address.partition(":")[0]]
        if self.cut_off or peer.cut_off:
            return False
        self.timer.call_after(
            LINK_S, lambda: getattr(peer.sync, handler)(self.address, message)
        )
        return True

    def _send_statuses(self):
        for peer in self.fleet.members.values():
            if peer is not self and not (self.cut_off or peer.cut_off):
                peer.sync.compare(self.address, self.table.digest, configured=True)

    async def run(self):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.timer.run)
            nursery.start_soon(self.follower.run)
            nursery.start_soon(self.keeper.run)
            self.timer.subscribe(STATUS_INTERVAL_S, self._send_statuses)
            self.timer.subscribe(
                STEP_INTERVAL_S, lambda: nursery.start_soon(self.moves.step)
            )


class EraFleet:
    """Start daemons, write as an operator does, and restore the store."""

    def __init__(self, nursery, *, size=4, followers=2):
        self.nursery = nursery
        self.app = StandInStore()
        self.members = {}
        # Orders that a daemon or the store has shown as done or withdrawn.
        self.settled = {}
        self.newest_version = {}
        for number in range(size):
            name = f"d{number}"
            self.members[name] = Member(self, name, follows=number < followers)

    async def start(self, version=1):
        self.configure(version)
        for member in self.members.values():
            self.nursery.start_soon(member.run)
        await trio.sleep(3.0)

    def start_late(self, name, *, follows):
        """Start a further daemon, which knows nothing."""
        member = Member(self, name, follows=follows)
        self.members[name] = member
        self.nursery.start_soon(member.run)
        return member

    def check(self, member):
        """Check what must hold at any time after a document has changed."""
        newest = self.newest_version.get(member.name, -1)
        version = member.validator.version
        assert version >= newest, (member.name, version, newest)
        self.newest_version[member.name] = version
        progress = member.progress
        if progress is None or progress.version != member.order.version:
            return
        known = self.settled.get(progress.version)
        if progress.state is not OrderState.RUNNING:
            assert known in (None, progress.state), (member.name, progress)
            self.settled[progress.version] = progress.state
            member.settled.add(progress.version)
        else:
            # A daemon that is cut off may not know the outcome yet.
            assert progress.version not in member.settled, (member.name, progress)

    # What the operator writes.

    def configure(self, version):
        self.app.write("configuration", "main", make_configuration(version))

    def order(self, version, duration_s=5.0):
        spec = RolloutSpec(
            service=SERVICE, target_version=version, duration_s=duration_s
        )
        self.app.write("orders", SERVICE, spec)

    def evacuate(self):
        self.app.write("evacuations", DOMAIN, {})

    def stored(self, kind, name):
        return self.app._objects.get((STORE_KINDS[kind], name))  # noqa: SLF001

    def lose(self, kind, name, copy):
        """Remove an object from a copy of the store."""
        copy.objects.pop((STORE_KINDS[kind], name), None)

    def set_reports(self, **changes):
        """Let the daemons report targets of two versions."""
        for member in self.members.values():
            for number, peer in enumerate(member.directory):
                version = f"v{1 + number % 2}"
                report = make_report(version=version, taken_ms=1, **changes)
                peer.update_report(report, 0.0)

    def all_agree(self):
        return len({member.table.digest for member in self.members.values()}) == 1


def read_record(member, name):
    document = member.table.get(f"daemons/{name}")
    return None if document is None else decode_message(document.body, DaemonRecord).ok


def encode_record(member):
    return encode_message(member.record)
