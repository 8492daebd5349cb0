"""Check the observations of callers and targets against the invariants."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from math import inf

from attrs import define

from catkinhollow.testbed.soak_versions import STABLE_WINDOW_S, TouchRecord
from catkinhollow.testbed.soak_violation import Violation

# Tolerated delay of a response beyond the timeout, because the daemons share
# the cores of the machine with the callers and with each other.
LATE_TOLERANCE_S = 1.0
# Time that the daemons have to recover after the last fault.
RECOVERY_S = 8.0
# Share of the calls after the recovery time that must succeed.
MIN_RECOVERED_SHARE = 0.98
NOT_RUN_STATUS = 503
# Share of the requests of a window that succeed while all daemons are in touch
# and no target is disturbed.
MIN_SERVED_SHARE = 0.95
WINDOW_S = 3.0
WINDOW_STEP_S = 1.0
# Refusals with these statuses may hit requests that a configuration allows.
ALLOWED_REFUSALS = (408, 421, 429)
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
    reads_slowly: bool = False
    """Whether the caller reads slowly, so that it is not timed."""
    behind_close: bool = False
    """Whether a response before it has closed the connection."""
    given_up: bool = False
    """Whether its caller has closed the connection after a long time."""


class SoakLedger:
    """Record requests, runs and outages, and find violated invariants."""

    def __init__(self, timeout_s: float, touch: TouchRecord) -> None:
        self._timeout_s = timeout_s
        self._touch = touch
        self._requests: dict[str, _SentRequest] = {}
        self._runs: Counter[str] = Counter()
        self._outages: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self._shutdowns: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self._mixed: list[tuple[str, str]] = []
        self._stops: list[tuple[str, float, int | None]] = []
        self._target_faults: list[tuple[float, float]] = []
        self._stalls: list[tuple[float, float]] = []
        self._starvations: dict[str, list[tuple[float, float]]] = defaultdict(list)

    @property
    def stalled_s(self) -> float:
        """Return for how long the test process was stalled, in seconds."""
        return sum(end_s - begin_s for begin_s, end_s in self._stalls)

    @property
    def starved_s(self) -> float:
        """Return for how long daemons were starved in all, in seconds."""
        return sum(
            end_s - begin_s
            for starvations in self._starvations.values()
            for begin_s, end_s in starvations
        )

    @property
    def statuses(self) -> Counter[int]:
        """Return the number of requests by response status."""
        return Counter(request.status for request in self._requests.values())

    def record_request(
        self,
        request_id: str,
        instance: str,
        *,
        unsafe: bool,
        now_s: float,
        reads_slowly: bool = False,
    ) -> None:
        """Record a request that a caller is about to send."""
        self._requests[request_id] = _SentRequest(
            request_id, instance, unsafe, now_s, reads_slowly=reads_slowly
        )

    def record_response(self, request_id: str, status: int, now_s: float) -> None:
        """Record a response, or with status 0 the end of the connection."""
        request = self._requests[request_id]
        request.status, request.ended_s = status, now_s

    def record_unread(
        self, request_id: str, now_s: float, *, announced: bool, given_up: bool
    ) -> None:
        """Record that a connection ended before a response.

        It counts as not read if a response has announced the close.
        """
        request = self._requests[request_id]
        request.ended_s = now_s
        request.behind_close, request.given_up = announced, given_up

    def record_mixed(self, request_id: str, other_id: str) -> None:
        """Record a response that names another request."""
        self._mixed.append((request_id, other_id))

    def record_stop(self, instance: str, now_s: float, status: int | None) -> None:
        """Record the exit status of a daemon, None if it was killed."""
        self._stops.append((instance, now_s, status))

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

    def record_target_fault(self, begin_s: float, end_s: float) -> None:
        """Record when a target or the connections to it were disturbed."""
        self._target_faults.append((begin_s, end_s))

    def record_stall(self, begin_s: float, end_s: float) -> None:
        """Record when this process got no CPU time.

        The times of requests that overlap a stall are not checked.
        """
        self._stalls.append((begin_s, end_s))

    def record_starvation(self, instance: str, begin_s: float, end_s: float) -> None:
        """Record when a daemon could run but had no core of the machine.

        Requests to it that overlap this time may be late.
        """
        self._starvations[instance].append((begin_s, end_s))

    def find_violations(self, last_fault_s: float) -> list[Violation]:
        """Return the violated invariants."""
        found: list[Violation] = []
        for request in self._requests.values():
            found.extend(
                Violation(
                    kind=kind,
                    at_s=request.started_s,
                    instance=request.instance,
                    reason=f"{request.request_id} {reason}",
                )
                for kind, reason in self._check(request)
            )
        found.extend(self._check_stops())
        found.extend(self._check_mixed())
        found.extend(self._check_windows())
        found.extend(self._check_recovery(last_fault_s + RECOVERY_S))
        return found

    def quiet_windows(self) -> list[tuple[float, float]]:
        """Return the overlapping windows that no fault disturbs."""
        begins = [request.started_s for request in self._requests.values()]
        if not begins:
            return []
        count = int((max(begins) - min(begins) - WINDOW_S) / WINDOW_STEP_S) + 1
        windows = [
            (begin_s, begin_s + WINDOW_S)
            for begin_s in (min(begins) + n * WINDOW_STEP_S for n in range(count))
        ]
        return [window for window in windows if self._is_quiet(window)]

    def _is_quiet(self, window: tuple[float, float]) -> bool:
        # A fault may also end a request that was sent before it.
        begin_s, end_s = window[0], window[1] + self._timeout_s
        return (
            self._touch.all_in_touch(begin_s, end_s)
            and not any(
                fault[0] <= end_s and begin_s - STABLE_WINDOW_S <= fault[1]
                for fault in self._target_faults
            )
            and not any(
                stall[0] <= end_s and begin_s <= stall[1] for stall in self._stalls
            )
        )

    def _check_stops(self) -> Iterator[Violation]:
        for instance, at_s, status in self._stops:
            if status == 0:
                continue
            reason = "did not end within its grace period"
            if status is not None:
                reason = f"ended with status {status}"
            yield Violation(kind="stop", at_s=at_s, instance=instance, reason=reason)

    def _check_mixed(self) -> Iterator[Violation]:
        for request_id, other_id in self._mixed:
            request = self._requests[request_id]
            yield Violation(
                kind="mixed",
                at_s=request.started_s,
                instance=request.instance,
                reason=f"{request_id} got the response to {other_id}",
            )

    def _check_windows(self) -> Iterator[Violation]:
        for begin_s, end_s in self.quiet_windows():
            requests = [
                request
                for request in self._requests.values()
                if begin_s <= request.started_s < end_s and not request.behind_close
            ]
            failed = [request for request in requests if request.status != 200]
            if len(failed) > (1.0 - MIN_SERVED_SHARE) * len(requests):
                instances = sorted({request.instance for request in failed})
                yield Violation(
                    kind="share",
                    at_s=begin_s,
                    instance=" ".join(instances),
                    reason=f"{len(failed)} of {len(requests)} calls of {WINDOW_S:.0f} s"
                    " failed while all daemons were in touch",
                )

    def _check_recovery(self, begin_s: float) -> Iterator[Violation]:
        recovered = [
            request
            for request in self._requests.values()
            if request.started_s > begin_s and not request.behind_close
        ]
        succeeded = sum(request.status == 200 for request in recovered)
        if not recovered or succeeded < MIN_RECOVERED_SHARE * len(recovered):
            yield Violation(
                kind="recovery",
                at_s=begin_s,
                instance="",
                reason=f"{succeeded} of {len(recovered)} calls succeeded after the"
                " recovery time",
            )

    def _check(self, request: _SentRequest) -> Iterator[tuple[str, str]]:
        """Return the kind and the reason of each violation."""
        runs = self._runs[request.request_id]
        if request.unsafe and runs > 1:
            yield "duplicate", f"ran {runs} times"
        if request.status == NOT_RUN_STATUS and runs:
            yield "false refusal", "was refused although it ran"
        if request.status == 200 and not runs:
            yield "false answer", "succeeded although it never ran"
        if 300 <= request.status < 500 and request.status not in ALLOWED_REFUSALS:
            yield "denied", f"was refused with status {request.status}"
        yield from self._check_time(request, runs)

    def _check_time(
        self, request: _SentRequest, runs: int
    ) -> Iterator[tuple[str, str]]:
        if self._overlaps_outage(request):
            return
        if request.status == 0 and not self._may_lack_response(request, runs):
            yield "lost", "got no response"
        if request.reads_slowly:
            return
        late_s = request.ended_s - request.started_s - self._timeout_s
        is_timed = not any(_overlaps(request, stall) for stall in self._stalls)
        if late_s > LATE_TOLERANCE_S and is_timed:
            yield "late", f"ended {late_s:.1f} s after the timeout"

    def _may_lack_response(self, request: _SentRequest, runs: int) -> bool:
        """Return whether a request may have ended without a response."""
        if runs == 0 and request.behind_close:
            return True
        if request.given_up:
            # A caller that was stalled itself had no time to read.
            return any(_overlaps(request, stall) for stall in self._stalls)
        return self._raced_close(request, runs)

    def _raced_close(self, request: _SentRequest, runs: int) -> bool:
        is_brief = request.ended_s - request.started_s <= CLOSE_RACE_S
        return (
            runs == 0
            # A pipelined request waits behind those before it.
            and (is_brief or request.reads_slowly)
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
