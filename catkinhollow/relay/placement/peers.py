"""Keep the state of the other daemons and their targets."""

from collections.abc import Iterator
from math import inf

from attrs import define, evolve, field
from xxhash import xxh3_64_intdigest

from catkinhollow.generated.relay import DaemonRecord, Departure, TargetReport
from catkinhollow.mesh.rings import Rings
from catkinhollow.relay.admission.gate_jobs import OPEN_STATES

# Hash rings in the own failure domain, and among all daemons. Each daemon has
# up to two neighbours on each ring.
DOMAIN_RINGS = 3
FLEET_RINGS = 1
# A peer counts as failed if a wanted link to it has been down for this long.
FAILED_LINK_S = 1.0


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
    missing_since_s: float = inf
    """Since when a wanted link to it is down, infinity if none is."""
    last_called_s: float = -inf
    """When this daemon last chose its target for a call."""
    route_ms: dict[str, int] = field(factory=dict)
    """Last reported run times of the routes, which only statuses carry."""
    departure: Departure | None = None
    """Latest departure of its target, which it forgets if it is restarted."""

    def update_report(self, report: TargetReport, now_s: float) -> None:
        """Replace the report of the peer's gate about its target.

        The report in an answer whose body waited for the link may be older
        than that of a status.
        """
        if self.report is not None and 0 < report.taken_ms < self.report.taken_ms:
            return
        if report.route_ms:
            self.route_ms = report.route_ms
        elif report.version != self.version:
            self.route_ms = {}
        self.report = report
        self.reported_s = now_s
        self.sent_since_report = 0
        if report.departed:
            self.departure = Departure(
                lifetime=report.lifetime, started_ms=report.started_ms
            )

    @property
    def version(self) -> str:
        """Return the version of its target, "" if it is unknown."""
        return self.report.version if self.report else ""

    @property
    def is_full(self) -> bool:
        """Return whether a further call has to wait, as far as is known."""
        report = self.report
        if report is None:
            return False
        return report.running + report.waiting + self.sent_since_report >= report.slots

    def is_failed(self, now_s: float) -> bool:
        """Return whether a link to it is wanted but has long been down."""
        return now_s - self.missing_since_s > FAILED_LINK_S

    def is_usable(self, now_s: float) -> bool:
        """Return whether it accepts calls or may turn out to do so."""
        if self.report is None or not self.linked:
            return not self.is_failed(now_s)
        return self.report.state in OPEN_STATES

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
        # The other daemons with a target of a service, in the order of a hash
        # that differs between daemons.
        self._ranked: dict[str, list[Peer]] = {}
        self._domain_rings = Rings(DOMAIN_RINGS)
        self._fleet_rings = Rings(FLEET_RINGS)
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

    def ranked(self, service: str) -> list[Peer]:
        """Return the other daemons of a service in the order of preference."""
        if service not in self._ranked:
            seed = xxh3_64_intdigest(self._own.record.address.encode())
            self._ranked[service] = sorted(
                (peer for peer in self.for_service(service) if peer is not self._own),
                key=lambda peer: xxh3_64_intdigest(peer.record.address.encode(), seed),
            )
        return self._ranked[service]

    def ring_walks(self) -> list[Iterator[str]]:
        """Return the daemons next to this one on each ring, nearest first."""
        address = self._own.record.address
        return [
            walk
            for rings in (self._domain_rings, self._fleet_rings)
            for step in (1, -1)
            for walk in rings.walks(address, step)
        ]

    def put(self, record: DaemonRecord) -> None:
        """Add or replace a daemon other than this one."""
        known = self._by_name.get(record.name)
        if known is not None and _is_same_daemon(known.record, record):
            known.record = record
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
        self._clear_address(removed)
        for peer in self._by_name.values():
            if peer.record.address == removed.record.address:
                self._set_address(peer)

    def _set_address(self, peer: Peer) -> None:
        """Make a peer the one daemon at its address."""
        record = peer.record
        known = self._by_address.get(record.address)
        if known is not None:
            self._clear_address(known)
        self._by_address[record.address] = peer
        self._by_service.setdefault(record.service, []).append(peer)
        self._ranked.pop(record.service, None)
        self._fleet_rings.add(record.address)
        if record.failure_domain == self._own.record.failure_domain:
            self._domain_rings.add(record.address)

    def _clear_address(self, peer: Peer) -> None:
        """Remove a peer from its address."""
        record = peer.record
        del self._by_address[record.address]
        self._by_service[record.service].remove(peer)
        self._ranked.pop(record.service, None)
        self._fleet_rings.discard(record.address)
        self._domain_rings.discard(record.address)


def _is_same_daemon(first: DaemonRecord, second: DaemonRecord) -> bool:
    """Return whether two records differ in the departures at most."""
    return evolve(first, departures=second.departures) == second
