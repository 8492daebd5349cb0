"""Keep what this daemon knows of the other daemons and their targets."""

from collections.abc import Iterable, Iterator
from math import inf

from attrs import define

from catkinhollow.generated.relay import DaemonRecord, TargetReport
from catkinhollow.relay.gate_jobs import OPEN_STATES


@define(eq=False, kw_only=True)
class Peer:
    """Hold one daemon as this one sees it."""

    record: DaemonRecord
    report: TargetReport | None = None
    reported_s: float = -inf
    linked: bool = False
    quiet: bool = False
    """Whether it owes an answer for so long that it may be cut off."""
    sent_since_report: int = 0
    """Calls sent after the report, which it can't count."""
    lost_s: float = inf
    """When the last link to it ended, infinity before its first one."""
    last_called_s: float = -inf
    """When this daemon last chose the target for a call."""

    def take_report(self, report: TargetReport, now_s: float) -> None:
        """Take what the peer's gate tells of its target."""
        self.report = report
        self.reported_s = now_s
        self.sent_since_report = 0

    @property
    def accepts_calls(self) -> bool:
        """Tell whether the gate is known to let calls through."""
        return (
            self.linked
            and not self.quiet
            and self.report is not None
            and self.report.state in OPEN_STATES
        )


class PeerDirectory:
    """Find daemons by name, by address and by the service of their target."""

    def __init__(self, own: DaemonRecord) -> None:
        self._own = Peer(record=own, linked=True)
        self._by_name: dict[str, Peer] = {}
        self._by_address: dict[str, Peer] = {}
        self._by_service: dict[str, list[Peer]] = {}
        self._index()

    @property
    def own(self) -> Peer:
        """Return this daemon's own entry."""
        return self._own

    @property
    def addresses(self) -> set[str]:
        """Return the addresses of the other daemons."""
        return set(self._by_address) - {self._own.record.address}

    def __len__(self) -> int:
        return len(self._by_address)

    def __iter__(self) -> Iterator[Peer]:
        return iter(self._by_address.values())

    def at(self, address: str) -> Peer | None:
        """Return the daemon at a peer address."""
        return self._by_address.get(address)

    def of_service(self, service: str) -> list[Peer]:
        """Return the daemons beside targets of a service."""
        return self._by_service.get(service, [])

    def replace_all(self, records: Iterable[DaemonRecord]) -> None:
        """Take the whole list of daemons; this one is always on it."""
        own = self._own.record
        found = {r.name: r for r in records if r.address != own.address}
        for name, record in found.items():
            peer = self._by_name.get(name)
            if peer is None or peer.record != record:
                self._by_name[name] = Peer(record=record)
        for name in self._by_name.keys() - found.keys():
            del self._by_name[name]
        self._index()

    def _index(self) -> None:
        self._by_address = {self._own.record.address: self._own}
        for peer in self._by_name.values():
            self._by_address[peer.record.address] = peer
        self._by_service = {}
        for peer in self._by_address.values():
            self._by_service.setdefault(peer.record.service, []).append(peer)
