"""Look up what the other targets of a service report about their runs."""

from statistics import median

from catkinhollow.relay.admission.gate_jobs import OPEN_STATES
from catkinhollow.relay.placement.peers import Peer, PeerDirectory
from catkinhollow.relay.placement.placer import EXPLORE_RUNS

# Targets that started within this time of each other count as equally new: a
# whole system starts within some seconds.
SAME_START_MS = 5000


class DirectoryPeers:
    """Read the reports in the directory of daemons."""

    def __init__(self, directory: PeerDirectory, service: str) -> None:
        self._directory = directory
        self._service = service

    def started_before(self, started_ms: int) -> bool | None:
        """Return whether one of them started earlier and has run calls.

        None if no other target is known.
        """
        reports = [peer.report for peer in self._open_peers() if peer.report]
        if not reports:
            return None
        return any(
            report.runs >= EXPLORE_RUNS
            and 0 < report.started_ms < started_ms - SAME_START_MS
            for report in reports
        )

    def run_ms(self, route: str) -> float:
        """Return their usual run time of a route, 0 if it is unknown."""
        known = [
            run_ms
            for peer in self._open_peers()
            if (run_ms := peer.route_ms.get(route))
        ]
        return median(known) if known else 0.0

    def failure_share(self) -> float:
        """Return the share of their runs that failed."""
        reports = [peer.report for peer in self._open_peers() if peer.report]
        runs = sum(report.runs for report in reports)
        return sum(report.failures for report in reports) / max(1, runs)

    def _open_peers(self) -> list[Peer]:
        return [
            peer
            for peer in self._directory.for_service(self._service)
            if peer is not self._directory.own
            and peer.report is not None
            and peer.report.state in OPEN_STATES
        ]
