"""Check the observations of callers and targets against the invariants."""

from collections import Counter, defaultdict
from math import inf

from attrs import define

# Tolerated delay of a response beyond the timeout, because the daemons share
# the cores of the machine with the callers and with each other.
LATE_TOLERANCE_S = 1.0
# Time that the daemons have to recover after the last fault.
RECOVERY_S = 8.0
# Share of the calls after the recovery time that must succeed.
MIN_RECOVERED_SHARE = 0.98
NOT_RUN_STATUS = 503
# A request that is sent while a daemon closes the connection at shutdown may
# be lost unread. Such a request never runs, and its connection ends within
# this time.
CLOSE_RACE_S = 0.5


@define
class _SentRequest:
    """Represent one request of a caller."""

    request_id: str
    instance: str
    unsafe: bool
    started_s: float
    ended_s: float = inf
    status: int = 0
    """HTTP status of the response, 0 if the connection ended without one."""


class SoakLedger:
    """Record requests, runs and outages, and find violated invariants."""

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._requests: dict[str, _SentRequest] = {}
        self._runs: Counter[str] = Counter()
        self._outages: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self._shutdowns: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self._stalls: list[tuple[float, float]] = []

    @property
    def stalled_s(self) -> float:
        """Return for how long the test process was stalled, in seconds."""
        return sum(end_s - begin_s for begin_s, end_s in self._stalls)

    @property
    def statuses(self) -> Counter[int]:
        """Return the number of requests by response status."""
        return Counter(request.status for request in self._requests.values())

    def record_request(
        self, request_id: str, instance: str, *, unsafe: bool, now_s: float
    ) -> None:
        """Record a request that a caller is about to send."""
        self._requests[request_id] = _SentRequest(request_id, instance, unsafe, now_s)

    def record_response(self, request_id: str, status: int, now_s: float) -> None:
        """Record a response, or with status 0 the end of the connection."""
        request = self._requests[request_id]
        request.status, request.ended_s = status, now_s

    def discard_request(self, request_id: str) -> None:
        """Discard a request for which no connection could be opened."""
        del self._requests[request_id]

    def record_run(self, request_id: str) -> None:
        """Record that a target started to run a request."""
        self._runs[request_id] += 1

    def record_outage(self, instance: str, begin_s: float, end_s: float) -> None:
        """Record when a daemon was paused, killed or not yet started."""
        self._outages[instance].append((begin_s, end_s))

    def record_shutdown(self, instance: str, begin_s: float, end_s: float) -> None:
        """Record the time from SIGTERM to the exit of a daemon's process."""
        self._shutdowns[instance].append((begin_s, end_s))

    def record_stall(self, begin_s: float, end_s: float) -> None:
        """Record when this process got no CPU time.

        The times of requests that overlap a stall are not checked.
        """
        self._stalls.append((begin_s, end_s))

    def find_violations(self, last_fault_s: float) -> list[str]:
        """Return a line for each violated invariant."""
        found: list[str] = []
        for request in self._requests.values():
            found.extend(self._check(request))
        recovered = [
            request
            for request in self._requests.values()
            if request.started_s > last_fault_s + RECOVERY_S
        ]
        succeeded = sum(request.status == 200 for request in recovered)
        if not recovered or succeeded < MIN_RECOVERED_SHARE * len(recovered):
            found.append(
                f"recovery: {succeeded} of {len(recovered)} calls succeeded after"
                " the recovery time"
            )
        return found

    def _check(self, request: _SentRequest) -> list[str]:
        runs = self._runs[request.request_id]
        where = f"{request.request_id} at {request.instance}, {request.started_s:.3f} s"
        in_outage = self._overlaps_outage(request)
        found = []
        if request.unsafe and runs > 1:
            found.append(f"duplicate: {where} ran {runs} times")
        if request.status == NOT_RUN_STATUS and runs:
            found.append(f"false refusal: {where} was refused although it ran")
        if request.status == 200 and not runs:
            found.append(f"false answer: {where} succeeded although it never ran")
        if (
            request.status == 0
            and not in_outage
            and not self._raced_close(request, runs)
        ):
            found.append(f"lost: {where} got no response")
        late_s = request.ended_s - request.started_s - self._timeout_s
        is_timed = not any(_overlaps(request, stall) for stall in self._stalls)
        if late_s > LATE_TOLERANCE_S and is_timed and not in_outage:
            found.append(f"late: {where} ended {late_s:.1f} s after the timeout")
        return found

    def _raced_close(self, request: _SentRequest, runs: int) -> bool:
        return (
            runs == 0
            and request.ended_s - request.started_s <= CLOSE_RACE_S
            and any(
                _overlaps(request, span) for span in self._shutdowns[request.instance]
            )
        )

    def _overlaps_outage(self, request: _SentRequest) -> bool:
        return any(
            _overlaps(request, outage) for outage in self._outages[request.instance]
        )


def _overlaps(request: _SentRequest, span: tuple[float, float]) -> bool:
    return span[0] <= request.ended_s and request.started_s <= span[1]
