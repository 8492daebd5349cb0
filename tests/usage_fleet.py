"""Run the reporting of usage of several daemons in virtual time."""

from random import Random

import trio
from expression import Error
from memory_store import MemoryStore
from relay_builders import make_peer

from catkinhollow.codec import decode_message, encode_message, from_plain
from catkinhollow.errors import StoreError, StoreErrorKind
from catkinhollow.generated.relay import (
    DecidedWindows,
    RelaySettings,
    UsageLease,
    UsageMessage,
)
from catkinhollow.relay.placement.peers import PeerDirectory
from catkinhollow.relay.usage.report_plan import ReportOutcome
from catkinhollow.relay.usage.usage_metrics import UsageMetrics
from catkinhollow.relay.usage.usage_service import UsageService

START_UNIX_S = 1_700_000_001.3
LINK_DELAY_S = 0.01
STATUS_INTERVAL_S = 1.0
VALUE_TYPES = {"usage": UsageLease, "usage-windows": DecidedWindows}


def decode(stored):
    return from_plain(stored.value, VALUE_TYPES[stored.name])


class NullMetric:
    """Replace a metric, whose registry is not needed."""

    def set(self, labels, value):
        pass

    def inc(self, labels):
        pass


class NullMetrics(UsageMetrics):
    def __init__(self):
        self.holder = self.epoch = self.windows = NullMetric()
        self.reports = self.runs = NullMetric()


class FakeClock:
    """Read the virtual time, and a wall clock that may be wrong."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.skew_s = 0.0

    def steady_s(self):
        return trio.current_time()

    def unix_s(self):
        return START_UNIX_S + self.fleet.now_s + self.skew_s


class SharedStore(MemoryStore):
    """Count the calls of each daemon, and fail those that are cut off."""

    def __init__(self, fleet):
        super().__init__()
        self.fleet = fleet
        self.calls = []
        self.cut_off = set()

    async def call(self, name, method, *args, **options):
        self.calls.append((self.fleet.now_s, name, method))
        await trio.sleep(0.02)
        if self.down or name in self.cut_off:
            reason = StoreError(kind=StoreErrorKind.UNAVAILABLE, reason="cut off")
            return Error(reason)
        return await getattr(self, method)(*args, **options)


class StoreOf:
    """Access the shared store as one daemon."""

    def __init__(self, store, name):
        self.store = store
        self.name = name

    async def get(self, kind, name):
        return await self.store.call(self.name, "get", kind, name)

    async def put(self, kind, name, value, *, if_revision):
        return await self.store.call(
            self.name, "put", kind, name, value, if_revision=if_revision
        )


class FakeApi:
    """Record reports as the platform does, and check what it forbids."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.calls = []
        self.reports = {}
        self.ages_s = {}
        self.outcome = ReportOutcome.ACCEPTED
        self.cut_off = set()
        self.delay_s = 0.01

    async def report(self, report, may_send):
        await trio.sleep(0.005)
        if report.holder in self.cut_off:
            await trio.sleep(1.0)
            return ReportOutcome.UNREACHABLE
        if not may_send():
            return ReportOutcome.UNREACHABLE
        now_s = self.fleet.now_s
        assert all(call.epoch <= report.epoch for _, call in self.calls)
        same = [call for _, call in self.calls if call.epoch == report.epoch]
        assert {call.holder for call in same} <= {report.holder}
        self.calls.append((now_s, report))
        if self.outcome is ReportOutcome.ACCEPTED:
            known = self.reports.setdefault(report.window, report.counts)
            assert known == report.counts
            end_s = (report.window + 1) * 5.0 - START_UNIX_S
            self.ages_s.setdefault(report.window, now_s - end_s)
        await trio.sleep(self.delay_s)
        return self.outcome


class Member:
    """Represent one daemon."""

    def __init__(self, fleet, name, incarnation):
        self.fleet = fleet
        self.name = name
        self.incarnation = incarnation
        self.record = make_peer(name).record
        self.scope = trio.CancelScope()
        self.clock = FakeClock(fleet)
        self.directory = PeerDirectory(self.record)
        for other in fleet.names:
            if other != name:
                self.directory.put(make_peer(other).record)
        self.sent_bytes = 0
        self.resets = []
        self.service = UsageService(
            settings=RelaySettings(
                instance=name,
                failure_domain="a",
                region="r",
                service="stock",
                target="t",
                requests="r",
                ready="r",
                announcements="a",
                peer=self.record.address,
                metrics="m",
                store="s",
            ),
            incarnation=incarnation,
            store=StoreOf(fleet.store, name),
            decode=decode,
            api=fleet.api,
            links=self,
            directory=self.directory,
            clock=self.clock,
            metrics=NullMetrics(),
        )

    def send_usage(self, address, message):
        data = encode_message(message)
        self.sent_bytes += len(data)
        decoded = decode_message(data, UsageMessage).ok
        self.fleet.deliver(self, address, decoded)
        return True

    def reset_usage(self, address):
        self.resets.append(address)

    def broadcast_status(self):
        self.fleet.send_statuses(self)


class UsageFleet:
    """Run members on links that lose and repeat messages."""

    def __init__(self, nursery, size):
        self.nursery = nursery
        self.names = [f"d{number}" for number in range(size)]
        self.store = SharedStore(self)
        self.api = FakeApi(self)
        self.random = Random(5)
        self.loss = 0.0
        self.cut_off = set()
        self.members = {}
        self.true_counts = {}
        self.began_s = None

    @property
    def now_s(self):
        """Return the time since the fleet was started."""
        return trio.current_time() - self.began_s

    def begin(self):
        """Start all daemons, once."""
        if self.began_s is None:
            self.began_s = trio.current_time()
            for name in self.names:
                self.start(name, 1)

    def start(self, name, incarnation):
        member = self.members[name] = Member(self, name, incarnation)
        self.nursery.start_soon(self._run, member)

    def kill(self, name):
        self.members.pop(name).scope.cancel()

    async def _run(self, member):
        with member.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(member.service.run)
                while True:
                    await trio.sleep(STATUS_INTERVAL_S)
                    self.send_statuses(member)

    def send_statuses(self, member):
        """Send the beacon to the neighbours on a ring and two others."""
        beacon = member.service.beacon
        if beacon is None or member.name not in self.members:
            return
        index = self.names.index(member.name)
        for step in (-7, -1, 1, 7):
            peer = self.names[(index + step) % len(self.names)]
            self._send(member.name, peer, lambda it: it.service.hear(beacon))

    def deliver(self, sender, address, message):
        for name, member in list(self.members.items()):
            if member.record.address == address:
                copies = 2 if self.random.random() < self.loss else 1
                for _ in range(copies):
                    self._send(
                        sender.name,
                        name,
                        lambda it: it.service.receive(
                            sender.record.address, sender.incarnation, message
                        ),
                    )

    def _send(self, sender, receiver, action):
        if {sender, receiver} & self.cut_off or self.random.random() < self.loss:
            return
        self.nursery.start_soon(self._act_later, receiver, action)

    async def _act_later(self, receiver, action):
        await trio.sleep(LINK_DELAY_S * self.random.uniform(0.5, 20.0))
        member = self.members.get(receiver)
        if member is not None and receiver not in self.cut_off:
            action(member)

    def count(self, name, organisation):
        """Let a run begin and end at the gate of a daemon."""
        window = int((START_UNIX_S + self.now_s) // 5.0)
        counts = self.true_counts.setdefault(window, {})
        counts[organisation] = counts.get(organisation, 0) + 1
        self.members[name].service.count_run(organisation, 0.0)

    async def load(self, until_s, rate_per_s=40.0):
        """Let runs begin at random gates until a time."""
        self.begin()
        while self.now_s < until_s:
            name = self.random.choice(list(self.members))
            self.count(name, self.random.choice(("acme", "bolt", "cove")))
            await trio.sleep(self.random.expovariate(rate_per_s))

    @property
    def holders(self):
        return [
            name for name, member in self.members.items() if member.service.is_holder
        ]

    def share_reported(self, window):
        """Return the least and the greatest share of an organisation."""
        reported = self.api.reports[window]
        shares = [
            reported.get(organisation, 0) / runs
            for organisation, runs in self.true_counts[window].items()
        ]
        return min(shares), max(shares)
