"""Keep the state of the other daemons and their targets."""

from collections.abc import Iterator
from math import inf

from attrs import define

from catkinhollow.generated.relay import DaemonRecord, TargetReport
from catkinhollow.relay.gate_jobs import OPEN_STATES


@define(eq=False, kw_only=True)
class Peer:
    """Represent a daemon as seen by this one."""

    record: DaemonRecord
    report: TargetReport | None = None
    reported_s: float = -inf
    linked: bool = False
    unresponsive: bool = False
    """Whether it has not answered for so long that it may be partitioned."""
    sent_since_report: int = 0
    """Calls sent after the report, which does not include them."""
    disconnected_s: float = inf
    """When the last link to it went down, infinity if none has done so."""
    last_called_s: float = -inf
    """When this daemon last chose its target for a call."""

    def update_report(self, report: TargetReport, now_s: float) -> None:
        """Replace the report of the peer's gate about its target."""
        self.report = report
        self.reported_s = now_s
        self.sent_since_report = 0

    @property
    def accepts_calls(self) -> bool:
        """Return whether the gate is reachable and known to admit calls."""
        return (
            self.linked
            and not self.unresponsive
            and self.report is not None
            and self.report.state in OPEN_STATES
        )


class PeerDirectory:
    """Look up daemons by address and by the service of their target."""

    def __init__(self, own: DaemonRecord) -> None:
        self._own = Peer(record=own, linked=True)
        self._by_name: dict[str, Peer] = {}
        self._by_address: dict[str, Peer] = {}
        self._by_service: dict[str, list[Peer]] = {}
        self._set_address(self._own)

    @property
    def own(self) -> Peer:
        """Return the peer object of this daemon."""
        return self._own

    @property
    def addresses(self) -> set[str]:
        """Return the addresses of the other daemons."""
        return set(self._by_address) - {self._own.record.address}

    def __len__(self) -> int:
        return len(self._by_address)

    def __iter__(self) -> Iterator[Peer]:
        return iter(self._by_address.values())

    def by_address(self, address: str) -> Peer | None:
        """Return the daemon with a peer address, None if it is unknown."""
        return self._by_address.get(address)

    def for_service(self, service: str) -> list[Peer]:
        """Return the daemons that have a target of a service."""
        return self._by_service.get(service, [])

    def put(self, record: DaemonRecord) -> None:
        """Add or replace a daemon other than this one."""
        known = self._by_name.get(record.name)
        if known is not None and known.record == record:
            return
        self.remove(record.name)
        if record.address != self._own.record.address:
            peer = Peer(record=record)
            self._by_name[record.name] = peer
            self._set_address(peer)

    def remove(self, name: str) -> None:
        """Remove a daemon if it is known."""
        removed = self._by_name.pop(name, None)
        if removed is None or self._by_address[removed.record.address] is not removed:
            return
        del self._by_address[removed.record.address]
        self._by_service[removed.record.service].remove(removed)
        for peer in self._by_name.values():
            if peer.record.address == removed.record.address:
                self._set_address(peer)

    def _set_address(self, peer: Peer) -> None:
        """Make a peer the one daemon at its address."""
        known = self._by_address.get(peer.record.address)
        if known is not None:
            self._by_service[known.record.service].remove(known)
        self._by_address[peer.record.address] = peer
        self._by_service.setdefault(peer.record.service, []).append(peer)
