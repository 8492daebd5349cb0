"""Count outcomes per version and bring them to the controller."""

from collections.abc import Iterable
from typing import Protocol

from attrs import frozen, mutable

from catkinhollow.generated.fleet import Fleet
from catkinhollow.generated.messages import EvidenceReport, VersionCounts

# An answer is slow when it takes this many times the mean of the faster
# version. Both versions are held to the same limit.
SLOW_FACTOR = 1.5
# Covers the difference in network latency between failure domains.
SLOW_MARGIN_MS = 5.0
MEAN_DECAY = 0.8
# A mean of fewer recent requests is mostly chance and sets no limit.
MIN_MEAN_REQUESTS = 5.0
# A window that took this much longer than the sender's fastest is dropped:
# the split, and with it the comparison, may have changed meanwhile.
LATE_MS = 3000

_Key = tuple[str, str, str]


@mutable
class _Tally:
    requests: int = 0
    failures: int = 0
    slow: int = 0
    latency_ms: float = 0.0
    succeeded_ms: float = 0.0

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


@mutable
class _Mean:
    requests: float = 0.0
    latency_ms: float = 0.0

    def add(self, tally: _Tally) -> None:
        # Failures often take no time and would make the limit too strict.
        succeeded = tally.requests - tally.failures
        self.requests = self.requests * MEAN_DECAY + succeeded
        self.latency_ms = self.latency_ms * MEAN_DECAY + tally.succeeded_ms


class OutcomeCounter:
    """Count the outcomes at one entry daemon during a window."""

    def __init__(self) -> None:
        self._compared: frozenset[str] = frozenset()
        self._window: dict[_Key, _Tally] = {}
        self._means: dict[_Key, _Mean] = {}
        self._limits_ms: dict[tuple[str, str], float] = {}

    def on_fleet(self, fleet: Fleet) -> None:
        """Count only services that split their traffic over two versions."""
        compared = frozenset(
            service.name
            for service in fleet.services
            if sum(weight.percent > 0 for weight in service.split) > 1
        )
        for service in self._compared - compared:
            self._forget(service)
        self._compared = compared

    def record(
        self, service: str, version: str, route: str, *, failed: bool, latency_ms: float
    ) -> None:
        """Count one outcome."""
        if service not in self._compared:
            return
        tally = self._window.setdefault((service, version, route), _Tally())
        limit_ms = self._limits_ms.get((service, route))
        tally.requests += 1
        tally.failures += failed
        tally.slow += limit_ms is not None and latency_ms > limit_ms
        tally.latency_ms += latency_ms
        if not failed:
            tally.succeeded_ms += latency_ms

    def take(self) -> list[VersionCounts]:
        """End the window and return its counts."""
        window, self._window = self._window, {}
        for key, tally in window.items():
            self._means.setdefault(key, _Mean()).add(tally)
        self._set_limits()
        return [tally.counts(key) for key, tally in window.items()]

    def _set_limits(self) -> None:
        fastest_ms: dict[tuple[str, str], float] = {}
        for (service, _, route), mean in self._means.items():
            if mean.requests >= MIN_MEAN_REQUESTS:
                mean_ms = mean.latency_ms / mean.requests
                key = (service, route)
                fastest_ms[key] = min(mean_ms, fastest_ms.get(key, mean_ms))
        self._limits_ms = {
            key: max(SLOW_FACTOR * mean_ms, mean_ms + SLOW_MARGIN_MS)
            for key, mean_ms in fastest_ms.items()
        }

    def _forget(self, service: str) -> None:
        for key in [key for key in self._means if key[0] == service]:
            del self._means[key]
        for key in [key for key in self._window if key[0] == service]:
            del self._window[key]


class CountSource(Protocol):
    """Supply the counts of the own daemon's window."""

    def take(self) -> list[VersionCounts]:
        """End the window and return its counts."""


@frozen(kw_only=True)
class Sender:
    """Name the process and place that a report comes from."""

    address: str
    incarnation: int
    failure_domain: str


@mutable
class _LastWindow:
    incarnation: int
    window_ms: int
    fastest_ms: int


class ReportSum:
    """Sum reports, each window of each sender at most once."""

    def __init__(self) -> None:
        self._last: dict[str, _LastWindow] = {}
        self._sums: dict[_Key, _Tally] = {}

    def accept(self, sender: Sender, report: EvidenceReport, now_ms: int) -> bool:
        """Add a report unless it is repeated, out of order or late."""
        if not self._is_next(sender, report.window_ms, now_ms):
            return False
        self.add(report.counts)
        return True

    def add(self, counts: Iterable[VersionCounts]) -> None:
        """Add counts of the own daemon."""
        for entry in counts:
            key = (entry.service, entry.version, entry.route)
            tally = self._sums.setdefault(key, _Tally())
            tally.requests += entry.requests
            tally.failures += entry.failures
            tally.slow += entry.slow
            tally.latency_ms += entry.latency_ms_sum

    def take(self) -> list[VersionCounts]:
        """Return the sums and start again."""
        sums, self._sums = self._sums, {}
        return [tally.counts(key) for key, tally in sums.items()]

    def keep_senders(self, addresses: Iterable[str]) -> None:
        """Forget senders that are no longer members."""
        known = set(addresses)
        self._last = {key: last for key, last in self._last.items() if key in known}

    def _is_next(self, sender: Sender, window_ms: int, now_ms: int) -> bool:
        # Clocks of two daemons are not compared: the difference between them
        # is part of the fastest delivery, which each later one is held to.
        delay_ms = now_ms - window_ms
        last = self._last.get(sender.address)
        if last is None or sender.incarnation > last.incarnation:
            last = _LastWindow(sender.incarnation, window_ms, delay_ms)
            self._last[sender.address] = last
            return True
        if sender.incarnation < last.incarnation or window_ms <= last.window_ms:
            return False
        last.window_ms = window_ms
        last.fastest_ms = min(last.fastest_ms, delay_ms)
        return delay_ms - last.fastest_ms <= LATE_MS


@frozen
class SendReport:
    """Ask the edge to send a report to a peer address."""

    to: str
    report: EvidenceReport


class EvidenceFlow:
    """Decide where the counts of each window go."""

    def __init__(self, sender: Sender, counter: CountSource) -> None:
        self._sender = sender
        self._counter = counter
        self._sum = ReportSum()

    def on_report(
        self,
        sender: Sender,
        report: EvidenceReport,
        now_ms: int,
        *,
        is_controller: bool,
    ) -> bool:
        """Take a peer's report; refuse a sum that is not for this daemon."""
        # A collector only takes its own failure domain's windows. A sum sent
        # by mistake is dropped, so that it cannot go round between daemons
        # that disagree on who the controller is.
        if not is_controller and sender.failure_domain != self._sender.failure_domain:
            return False
        return self._sum.accept(sender, report, now_ms)

    def end_window(
        self, now_ms: int, *, collector: str, controller: str
    ) -> list[SendReport]:
        """Return the reports of the window; the controller sends none."""
        self._sum.add(self._counter.take())
        if self._sender.address == controller:
            return []
        receiver = controller if self._sender.address == collector else collector
        counts = self._sum.take()
        if not counts or not receiver:
            return []
        report = EvidenceReport(window_ms=now_ms, counts=counts)
        return [SendReport(receiver, report)]

    def take(self) -> list[VersionCounts]:
        """Return what has arrived for the controller since the last call."""
        return self._sum.take()

    def keep_senders(self, addresses: Iterable[str]) -> None:
        """Forget senders that are no longer members."""
        self._sum.keep_senders(addresses)
