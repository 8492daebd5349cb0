"""Count the runs at the own gate, and report those of the fleet as holder."""

from collections.abc import Callable
from math import inf
from typing import Any

import trio

from catkinhollow.codec import to_plain
from catkinhollow.configuration.store import StoreClient
from catkinhollow.errors import StoreErrorKind
from catkinhollow.generated.relay import (
    DecidedWindow,
    DecidedWindows,
    RelaySettings,
    UsageBeacon,
    UsageLease,
    UsageMessage,
    UsageReceipt,
)
from catkinhollow.logs import get_logger
from catkinhollow.mesh.rings import choose_by_rendezvous_hash
from catkinhollow.relay.documents.kinds import (
    LEASES,
    USAGE_LEASE_NAME,
    USAGE_WINDOWS_NAME,
)
from catkinhollow.relay.documents.store_follower import ObjectDecoder
from catkinhollow.relay.documents.store_revision import era_of
from catkinhollow.relay.placement.peers import PeerDirectory
from catkinhollow.relay.usage.counts import FleetCounts, RunCounter, Source
from catkinhollow.relay.usage.interfaces import (
    UsageApi,
    UsageClock,
    UsageLinks,
    UsageReport,
)
from catkinhollow.relay.usage.lease import (
    CANDIDATES,
    LeaseCommand,
    LeaseTimes,
    ReadLease,
    UsageLeaseManager,
)
from catkinhollow.relay.usage.report_plan import (
    NEW_HOLDER_WAIT_S,
    ReportOutcome,
    ReportPlan,
    ReportTimes,
)
from catkinhollow.relay.usage.usage_metrics import UsageMetrics
from catkinhollow.relay.usage.window_clock import WindowClock

logger = get_logger(__name__)

# Parts of a window that are sent while it lasts. A gate whose daemon is killed
# loses the runs since the last one.
PARTS_PER_WINDOW = 4
# Time after which parts without a receipt are sent again. It leaves several
# tries before the window is decided.
RESEND_S = 0.5
# Messages without a receipt after which the link to the holder is replaced. No
# regular statuses show whether it still carries anything.
MAX_UNANSWERED = 6
# Interval of the checks, and while a call of the store may be due.
CALM_INTERVAL_S = 0.5
BUSY_INTERVAL_S = 0.1
# Interval of the checks for windows to decide and reports to send.
TERM_INTERVAL_S = 0.1
# A call is not started this shortly before the own term is over.
MIN_CALL_S = 0.3
# The order of the candidates changes only with the daemons.
RANK_INTERVAL_S = 2.0


class UsageService:
    """Carry out the decisions about the lease, the windows and the reports."""

    def __init__(
        self,
        *,
        settings: RelaySettings,
        incarnation: int,
        store: StoreClient,
        decode: ObjectDecoder,
        api: UsageApi,
        links: UsageLinks,
        directory: PeerDirectory,
        clock: UsageClock,
        metrics: UsageMetrics,
    ) -> None:
        self._holder = settings.instance
        self._address = settings.peer
        self._source = Source(settings.peer, incarnation)
        self._store = store
        self._decode = decode
        self._api = api
        self._links = links
        self._directory = directory
        self._clock = clock
        self._metrics = metrics
        now_s = clock.steady_s()
        self._lease_times = LeaseTimes(
            lease_s=settings.lease_ms / 1000.0, slack_s=settings.thaw_slack_ms / 1000.0
        )
        self._lease = UsageLeaseManager(
            settings.instance, settings.peer, self._lease_times, now_s
        )
        self._windows = WindowClock(settings.usage_window_s, now_s, clock.unix_s())
        self._times = ReportTimes(
            window_s=settings.usage_window_s,
            late_s=settings.usage_late_s,
            calls_per_s=settings.usage_calls_per_s,
        )
        self._plan = ReportPlan(self._times)
        self._own = RunCounter()
        self._fleet = FleetCounts()
        self._first_window = self._windows.window(now_s)
        self._decisions_revision = 0
        self._lost_runs = 0
        self._asked_s = now_s
        self._part_interval_s = settings.usage_window_s / PARTS_PER_WINDOW
        self._unanswered = 0
        self._rank: int | None = None
        self._ranked_s = now_s - RANK_INTERVAL_S
        self._known_epoch = -1
        self._call_scope: trio.CancelScope | None = None
        self._call_epoch = -1
        self._term_running = False
        self._wakeup = trio.Event()

    @property
    def beacon(self) -> UsageBeacon | None:
        """Return the newest known renewal, for the statuses."""
        return self._lease.beacon

    @property
    def is_holder(self) -> bool:
        """Return whether this daemon may report now."""
        return self._lease.may_act(self._clock.steady_s())

    def count_run(self, organisation: str, ago_s: float) -> None:
        """Count a run that the target began the given time ago."""
        if organisation:
            started_s = self._clock.steady_s() - ago_s
            self._own.count(organisation, self._windows.window(started_s))

    def hear(self, beacon: UsageBeacon) -> None:
        """Handle the beacon of a peer."""
        before = self._lease.epoch
        self._lease.hear(beacon, self._clock.steady_s())
        self._note_changes(before, "newer epoch")

    def receive(self, address: str, incarnation: int, message: UsageMessage) -> None:
        """Handle a message of a peer."""
        if message.beacon is not None:
            self.hear(message.beacon)
        beacon = self._lease.beacon
        is_current = (
            message.beacon is not None
            and beacon is not None
            and message.beacon.epoch == beacon.epoch
        )
        is_own = message.receiver in (0, self._source.incarnation)
        if message.receipts and is_current and is_own:
            self._unanswered = 0
            self._own.receive(message.receipts)
        receipts: list[UsageReceipt] = []
        if self.is_holder:
            source = Source(address, incarnation)
            receipts = self._merge(source, message)
        if message.asks:
            answer = UsageMessage(
                beacon=self._lease.beacon, receipts=receipts, receiver=incarnation
            )
            self._links.send_usage(address, answer)

    async def run(self) -> None:
        """Count, hold the lease when it is the own turn, and report."""
        async with trio.open_nursery() as nursery:
            while True:
                self._wakeup = trio.Event()
                now_s = self._clock.steady_s()
                self._correct_clock(now_s)
                self._send_parts(now_s)
                await self._step_lease()
                if self._lease.epoch >= 0 and not self._term_running:
                    self._term_running = True
                    nursery.start_soon(self._serve_term, self._lease.epoch)
                with trio.move_on_after(self._interval_s()):
                    await self._wakeup.wait()

    def update_metrics(self) -> None:
        """Set the gauges."""
        metrics = self._metrics
        beacon = self._lease.beacon
        metrics.holder.set({}, int(self.is_holder))
        metrics.epoch.set({}, beacon.epoch if beacon else 0)
        waiting = self._plan.waiting if self.is_holder else 0
        metrics.windows.set({"state": "waiting"}, waiting)
        metrics.windows.set({"state": "sent"}, self._plan.sent)
        metrics.windows.set({"state": "missed"}, self._plan.missed)
        metrics.runs.set({"state": "late"}, self._fleet.late_runs)
        metrics.runs.set({"state": "lost"}, self._lost_runs)

    def _interval_s(self) -> float:
        now_s = self._clock.steady_s()
        if self._lease.epoch >= 0:
            return BUSY_INTERVAL_S
        is_silent = self._lease.silence_s(now_s) >= self._lease_times.lease_s
        if is_silent and self._rank is not None:
            return BUSY_INTERVAL_S
        if self._lease.beacon is None:
            return CALM_INTERVAL_S
        left_s = self._next_part_s - now_s
        return max(BUSY_INTERVAL_S, min(CALM_INTERVAL_S, left_s))

    def _correct_clock(self, now_s: float) -> None:
        step_s = self._windows.correct(now_s, self._clock.unix_s())
        if step_s:
            logger.warning("usage clock stepped", step_ms=int(1000 * step_s))
        oldest = self._windows.window(now_s) - self._times.kept_windows
        self._fleet.forget_before(oldest)
        lost = self._own.forget_before(oldest)
        if lost:
            self._lost_runs += lost
            logger.warning("usage runs lost", runs=lost, before_window=oldest)

    @property
    def _next_part_s(self) -> float:
        """Return when parts are sent next."""
        interval_s = self._part_interval_s
        if self._unanswered:
            interval_s = min(RESEND_S, interval_s)
        return self._asked_s + interval_s

    def _send_parts(self, now_s: float) -> None:
        """Send what the holder lacks, and ask whether it is there."""
        beacon = self._lease.beacon
        if beacon is None or now_s < self._next_part_s:
            return
        self._asked_s = now_s
        if beacon.address == self._address:
            return
        parts = self._own.unreceived()
        # The candidates have to notice soon that the holder is gone.
        if parts or self._find_rank(now_s) is not None:
            self._unanswered = self._unanswered + 1 if parts else 0
            if self._unanswered > MAX_UNANSWERED:
                self._unanswered = 1
                logger.warning("usage link reset", address=beacon.address)
                self._links.reset_usage(beacon.address)
            message = UsageMessage(beacon=beacon, parts=parts, asks=True)
            self._links.send_usage(beacon.address, message)

    def _find_rank(self, now_s: float) -> int | None:
        if now_s - self._ranked_s >= RANK_INTERVAL_S:
            self._ranked_s = now_s
            addresses = [peer.record.address for peer in self._directory]
            ranked = choose_by_rendezvous_hash(addresses, "usage", CANDIDATES)
            own = self._directory.own.record.address
            self._rank = ranked.index(own) if own in ranked else None
        return self._rank

    async def _step_lease(self) -> None:
        now_s = self._clock.steady_s()
        before = self._lease.epoch
        command = self._lease.next_command(now_s, self._find_rank(now_s))
        self._note_changes(before, "not renewed")
        if command is not None:
            before = self._lease.epoch
            await self._execute(command)
            self._note_changes(before, "newer epoch")
            self._limit_call()

    async def _execute(self, command: LeaseCommand) -> None:
        if isinstance(command, ReadLease):
            await self._read_lease()
            return
        result = await self._put(USAGE_LEASE_NAME, command.lease, command.if_revision)
        now_s = self._clock.steady_s()
        if isinstance(result, int):
            self._lease.on_written(now_s, command, result, era_of(result))
        elif result is StoreErrorKind.CONFLICT:
            self._lease.on_conflict(now_s)
        else:
            self._lease.on_unavailable(now_s)

    def _note_changes(self, epoch_before: int, reason: str) -> None:
        """Act on a change of the own term and of the known holder."""
        epoch = self._lease.epoch
        if epoch_before >= 0 and epoch != epoch_before:
            logger.warning("usage lease lost", epoch=epoch_before, reason=reason)
        beacon = self._lease.beacon
        if beacon is None or beacon.epoch == self._known_epoch:
            return
        self._known_epoch = beacon.epoch
        if beacon.epoch == epoch:
            logger.info("usage lease taken", epoch=epoch)
            # What an earlier holder has received is sent again to this one.
            self._fleet.clear()
        else:
            logger.info("usage holder", address=beacon.address, epoch=beacon.epoch)
        self._own.change_holder(beacon.decided)
        # Ask at once, so that the holder has all counts within its first wait.
        self._asked_s = -inf
        self._unanswered = 0
        self._wakeup.set()
        self._links.broadcast_status()

    async def _read_lease(self) -> None:
        read = await self._get(USAGE_LEASE_NAME, UsageLease)
        now_s = self._clock.steady_s()
        if read is None:
            self._lease.on_unavailable(now_s)
        else:
            lease, revision = read
            self._lease.on_read(now_s, lease, revision, era_of(revision))

    async def _serve_term(self, epoch: int) -> None:
        """Decide windows and send reports while the term lasts."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._decide_windows, epoch)
                nursery.start_soon(self._send_reports, epoch)
        finally:
            self._plan.end_term()
            self._term_running = False

    def _holds(self, epoch: int) -> bool:
        """Return whether a call in this epoch may be sent now."""
        return self._lease.epoch == epoch and self.is_holder

    async def _decide_windows(self, epoch: int) -> None:
        while self._lease.epoch == epoch:
            if self._holds(epoch):
                await self._decide_due(epoch)
            await trio.sleep(TERM_INTERVAL_S)

    async def _decide_due(self, epoch: int) -> None:
        if not self._plan.loaded:
            await self._load_decisions()
            return
        now_s = self._clock.steady_s()
        if now_s - self._lease.taken_s < NEW_HOLDER_WAIT_S:
            return
        parts = UsageMessage(parts=self._own.unreceived())
        self._own.receive(self._merge(self._source, parts))
        first = min(self._first_window, self._fleet.first_window or self._first_window)
        window = self._windows.window(now_s)
        missed = self._plan.missed
        due = self._plan.choose_due(first, window, self._windows.age_s(window, now_s))
        if self._plan.missed > missed:
            logger.error("usage windows missed", windows=self._plan.missed - missed)
        if due:
            counts = {number: self._fleet.totals(number) for number in due}
            await self._write_decisions(self._plan.propose(counts, epoch), due)

    async def _load_decisions(self) -> None:
        read = await self._get(USAGE_WINDOWS_NAME, DecidedWindows)
        if read is not None:
            stored, self._decisions_revision = read
            self._plan.load(stored or DecidedWindows(), self._lease.beacon_decided)

    async def _write_decisions(self, proposal: DecidedWindows, due: list[int]) -> None:
        result = await self._put(USAGE_WINDOWS_NAME, proposal, self._decisions_revision)
        if not isinstance(result, int):
            # Another holder may have decided, or this write has succeeded.
            self._plan.unload()
            logger.warning("usage windows not decided", windows=due, error=result.value)
            return
        self._decisions_revision = result
        self._plan.written(proposal)
        self._lease.decided(self._plan.newest_decided)
        runs = {each.window: sum(each.counts.values()) for each in proposal.windows}
        for window in due:
            logger.info("usage window decided", window=window, runs=runs.get(window))

    async def _send_reports(self, epoch: int) -> None:
        while self._lease.epoch == epoch:
            now_s = self._clock.steady_s()
            if now_s + MIN_CALL_S < self._lease.stop_s():
                decided = self._plan.next_report(now_s, self._windows.window(now_s))
                if decided is not None:
                    await self._send_report(decided, epoch)
                    self._resign_if_unreachable()
            await trio.sleep(TERM_INTERVAL_S)

    async def _send_report(self, decided: DecidedWindow, epoch: int) -> None:
        report = UsageReport(
            holder=self._holder,
            epoch=epoch,
            window=decided.window,
            counts=decided.counts,
        )
        self._plan.begin_call(self._clock.steady_s())
        outcome = ReportOutcome.UNREACHABLE
        with trio.CancelScope() as scope:
            self._call_scope = scope
            self._call_epoch = epoch
            self._limit_call()
            outcome = await self._api.report(report, self._make_check(epoch))
        self._call_scope = None
        now_s = self._clock.steady_s()
        self._plan.record(decided.window, outcome, now_s)
        self._metrics.reports.inc({"outcome": outcome.name.lower()})
        age_ms = int(1000 * self._windows.age_s(decided.window, now_s))
        level = logger.info if outcome is ReportOutcome.ACCEPTED else logger.warning
        level(
            "usage report",
            window=decided.window,
            epoch=epoch,
            outcome=outcome.name.lower(),
            age_ms=age_ms,
        )

    def _make_check(self, epoch: int) -> Callable[[], bool]:
        return lambda: self._holds(epoch)

    def _limit_call(self) -> None:
        """End the open call when the term that it belongs to ends."""
        if self._call_scope is None:
            return
        if self._lease.epoch != self._call_epoch:
            self._call_scope.cancel()
            return
        left_s = self._lease.stop_s() - self._clock.steady_s()
        self._call_scope.deadline = trio.current_time() + max(0.0, left_s)

    def _resign_if_unreachable(self) -> None:
        now_s = self._clock.steady_s()
        if self._plan.is_unreachable(now_s) and len(self._directory) > 1:
            logger.warning("usage lease resigned", epoch=self._lease.epoch)
            self._lease.resign(now_s)

    def _merge(self, source: Source, message: UsageMessage) -> list[UsageReceipt]:
        late = self._fleet.late_runs
        current = self._windows.window(self._clock.steady_s())
        decided = self._plan.newest_decided
        receipts = self._fleet.merge(source, message.parts, decided, current)
        if self._fleet.late_runs > late:
            runs = self._fleet.late_runs - late
            logger.warning("usage runs late", runs=runs, peer=source.address)
        return receipts

    async def _get(self, name: str, value_class: type[Any]) -> tuple[Any, int] | None:
        """Return the value and its revision, None without an answer.

        The value is None if there is none or if it can't be read.
        """
        with trio.move_on_after(self._lease_times.call_s):
            result = await self._store.get(LEASES, name)
            if result.is_ok():
                value = self._decode(result.ok).default_with(lambda _: None)
                usable = value if isinstance(value, value_class) else None
                return usable, result.ok.revision
            if result.error.kind is StoreErrorKind.NOT_FOUND:
                return None, 0
        return None

    async def _put(
        self, name: str, value: Any, if_revision: int
    ) -> int | StoreErrorKind:
        """Return the new revision, or why there is none."""
        with trio.move_on_after(self._lease_times.call_s):
            result = await self._store.put(
                LEASES, name, to_plain(value), if_revision=if_revision
            )
            if result.is_ok():
                return result.ok.revision
            if result.error.kind is StoreErrorKind.NOT_FOUND:
                return StoreErrorKind.CONFLICT
            return result.error.kind
        return StoreErrorKind.UNAVAILABLE
