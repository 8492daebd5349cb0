"""Aggregate outcome counts and decide where to send them."""

from collections.abc import Iterable
from typing import Protocol

from attrs import frozen, mutable

from catkinhollow.generated.messages import EvidenceReport, VersionCounts

# A report whose delivery took this much longer than the sender's fastest one
# is dropped, because the split, and with it the comparison, may have changed
# in the meantime.
MAX_EXTRA_DELAY_MS = 3000

_Key = tuple[str, str, str]


@mutable
class _Totals:
    requests: int = 0
    failures: int = 0
    slow: int = 0
    latency_ms: float = 0.0

    def counts(self, key: _Key) -> VersionCounts:
        service, version, route = key
        return VersionCounts(
            service=service,
            version=version,
            route=route,
            requests=self.requests,
            failures=self.failures,
            slow=self.slow,
            latency_ms_sum=self.latency_ms,
        )


class CountSource(Protocol):
    """Supply the counts of this daemon."""

    def take(self) -> list[VersionCounts]:
        """End the window and return its counts."""


@frozen(kw_only=True)
class Sender:
    """Identify the process and failure domain that a report comes from."""

    address: str
    incarnation: int
    failure_domain: str


@mutable
class _LastWindow:
    incarnation: int
    window_ms: int
    min_delay_ms: int


class ReportAggregator:
    """Sum reports, counting each window of each sender at most once."""

    def __init__(self) -> None:
        self._last_windows: dict[str, _LastWindow] = {}
        self._totals: dict[_Key, _Totals] = {}

    def accept(self, sender: Sender, report: EvidenceReport, now_ms: int) -> bool:
        """Add a report and return whether it was accepted.

        Repeated, reordered and late reports are dropped.
        """
        if not self._is_acceptable(sender, report.window_ms, now_ms):
            return False
        self.add(report.counts)
        return True

    def add(self, counts: Iterable[VersionCounts]) -> None:
        """Add counts to the sums."""
        for entry in counts:
            key = (entry.service, entry.version, entry.route)
            totals = self._totals.setdefault(key, _Totals())
            totals.requests += entry.requests
            totals.failures += entry.failures
            totals.slow += entry.slow
            totals.latency_ms += entry.latency_ms_sum

    def take(self) -> list[VersionCounts]:
        """Return the sums and reset them."""
        totals_by_key, self._totals = self._totals, {}
        return [totals.counts(key) for key, totals in totals_by_key.items()]

    def retain_senders(self, addresses: Iterable[str]) -> None:
        """Drop the state of senders that are no longer members."""
        known = set(addresses)
        self._last_windows = {
            key: last for key, last in self._last_windows.items() if key in known
        }

    def _is_acceptable(self, sender: Sender, window_ms: int, now_ms: int) -> bool:
        # The clocks of two daemons need not agree: their difference is part of
        # the fastest delay, and later delays are compared with that one.
        delay_ms = now_ms - window_ms
        last = self._last_windows.get(sender.address)
        if last is None or sender.incarnation > last.incarnation:
            last = _LastWindow(sender.incarnation, window_ms, delay_ms)
            self._last_windows[sender.address] = last
            return True
        if sender.incarnation < last.incarnation or window_ms <= last.window_ms:
            return False
        last.window_ms = window_ms
        last.min_delay_ms = min(last.min_delay_ms, delay_ms)
        return delay_ms - last.min_delay_ms <= MAX_EXTRA_DELAY_MS


@frozen
class SendReport:
    """Request the sending of a report to a peer address."""

    to: str
    report: EvidenceReport


class EvidenceForwarder:
    """Decide which peer gets the counts of each window.

    A daemon reports to the collector of its failure domain, and the
    collectors report to the controller.
    """

    def __init__(self, sender: Sender, counter: CountSource) -> None:
        self._sender = sender
        self._counter = counter
        self._aggregator = ReportAggregator()

    def on_report(
        self,
        sender: Sender,
        report: EvidenceReport,
        now_ms: int,
        *,
        is_controller: bool,
    ) -> bool:
        """Add the report of a peer and return whether it was accepted."""
        # Only the controller accepts reports from other failure domains. A sum
        # that a collector sends here by mistake is dropped, so that it cannot
        # circulate between daemons that disagree about who is the controller.
        if not is_controller and sender.failure_domain != self._sender.failure_domain:
            return False
        return self._aggregator.accept(sender, report, now_ms)

    def end_window(
        self, now_ms: int, *, collector: str, controller: str
    ) -> list[SendReport]:
        """Return the reports to send; the controller sends none.

        The counts are dropped while the address of the receiver is empty.
        """
        self._aggregator.add(self._counter.take())
        if self._sender.address == controller:
            return []
        receiver = controller if self._sender.address == collector else collector
        counts = self._aggregator.take()
        if not counts or not receiver:
            return []
        report = EvidenceReport(window_ms=now_ms, counts=counts)
        return [SendReport(receiver, report)]

    def take(self) -> list[VersionCounts]:
        """Return the sums of own and received counts and reset them."""
        return self._aggregator.take()

    def retain_senders(self, addresses: Iterable[str]) -> None:
        """Drop the state of senders that are no longer members."""
        self._aggregator.retain_senders(addresses)
