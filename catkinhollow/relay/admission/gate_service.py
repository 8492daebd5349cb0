"""Run admitted calls at the target of the instance and probe its health."""

from collections.abc import Callable, Iterable
from math import inf
from typing import TypeAlias

import trio
from attrs import define, field

from catkinhollow.calls.egress import SendResult, TargetClient
from catkinhollow.calls.exchange import Headers, Request, Response
from catkinhollow.calls.retries import SERVER_ERROR, AttemptKind
from catkinhollow.generated.relay import (
    Answer,
    Call,
    CallOutcome,
    Departure,
    RelayConfiguration,
)
from catkinhollow.logs import get_logger
from catkinhollow.relay.admission.gate import (
    MISDIRECTED_STATUS,
    UNAVAILABLE_RETRY_S,
    Gate,
)
from catkinhollow.relay.admission.gate_jobs import (
    Admitted,
    Announcement,
    Decision,
    GateJob,
    Refused,
)
from catkinhollow.relay.admission.load_header import parse_load_header
from catkinhollow.relay.header_names import HeaderNames
from catkinhollow.relay.request_log import RequestLog
from catkinhollow.timer import Subscription, Timer

logger = get_logger(__name__)

# Interval of health checks while the target's state is uncertain; each check
# occupies a slot of the target.
PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 1.0
# A run may last this much longer than the ingress daemon waits, so that a
# late answer still completes the HTTP exchange with the target.
RUN_TIMEOUT_MARGIN_S = 0.1
# Interval of the checks for lines about the load of the target, and the speeds
# below and above which a slow-down begins and ends in the log.
LOAD_LOG_INTERVAL_S = 1.0
SLOW_LOG_START = 0.5
SLOW_LOG_END = 0.8
# Bytes of a malformed header in its log line.
MAX_LOGGED_BYTES = 64

CountRun: TypeAlias = Callable[[str, float], None]
"""Count a run of an organisation that the target began some time ago."""


@define(eq=False, kw_only=True)
class Submission:
    """Represent a call that was submitted to the gate."""

    job: GateJob
    on_answer: Callable[[Answer], None]
    cancel_scope: trio.CancelScope = field(factory=trio.CancelScope)
    answered: bool = False
    """Whether the call has been answered or no longer needs an answer."""


class GateService:
    """Pass calls and announcements to the gate and execute its decisions."""

    def __init__(
        self,
        *,
        gate: Gate,
        address: str,
        service: str,
        client: TargetClient,
        header_names: HeaderNames,
        timer: Timer,
        log: RequestLog,
        on_state_change: Callable[[], None],
        on_run_failure: Callable[[], None],
        find_run_refusal: Callable[[Call], str] = lambda call: "",
        count_run: CountRun = lambda organisation, ago_s: None,
    ) -> None:
        self._gate = gate
        self._address = address
        self._service = service
        self._client = client
        self._header_names = header_names
        self._timer = timer
        self._clock = timer.clock
        self._log = log
        self._on_state_change = on_state_change
        self._on_run_failure = on_run_failure
        self._find_run_refusal = find_run_refusal
        self._count_run = count_run
        self._submissions: dict[GateJob, Submission] = {}
        self._nursery: trio.Nursery | None = None
        self._wakeup: Subscription | None = None
        self._wakeup_due_s = inf
        self._probed_s = -inf
        self._health_path = "/health"
        self._refused_load = b""
        self._slow_logged = False
        self._occupied_logged = False
        self._pace_changes = 0
        self._pace_logged_s = -inf
        self._state = gate.state(self._clock.monotonic())

    @property
    def gate(self) -> Gate:
        """Return the gate that decides about the calls."""
        return self._gate

    @property
    def busy(self) -> bool:
        """Return whether calls are running or waiting."""
        return bool(self._submissions)

    async def run(self) -> None:
        """Run admitted calls until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._timer.subscribe(PROBE_INTERVAL_S, self._probe_if_due)
            self._timer.subscribe(LOAD_LOG_INTERVAL_S, self._log_load)
            self._probe_if_due()
            await trio.sleep_forever()

    def configure(self, configuration: RelayConfiguration) -> None:
        """Apply the settings of the target's service."""
        for service in configuration.services:
            if service.name == self._service:
                self._gate.cold_calls_per_s = service.cold_requests_per_s
                self._health_path = service.health_path
        self.advance()

    def submit(self, call: Call, on_answer: Callable[[Answer], None]) -> Submission:
        """Submit a call.

        The callback gets one answer, possibly before this method returns, and
        none after `cancel`.
        """
        now_s = self._clock.monotonic()
        job = GateJob(
            call=call,
            arrived_s=now_s,
            soft_deadline_s=now_s + call.target_ms / 1000.0,
            deadline_s=now_s + call.budget_ms / 1000.0,
        )
        submission = Submission(job=job, on_answer=on_answer)
        if call.service != self._service:
            refused = Refused(job, "gate of another service", 0.0)
            self._refuse(submission, refused)
            return submission
        self._submissions[job] = submission
        decision = self._gate.offer(job, now_s)
        if isinstance(decision, Admitted | Refused):
            self._execute(decision)
        self.advance()
        return submission

    def cancel(self, submission: Submission) -> None:
        """Cancel a call whose answer is no longer needed.

        A run that is not idempotent continues, because aborting it would
        leave its outcome unknown at the target as well.
        """
        job = submission.job
        submission.answered = True
        if self._gate.remove_waiting(job):
            del self._submissions[job]
        elif job.call.idempotent:
            submission.cancel_scope.cancel()
        self.advance()

    def announce(self, announcement: Announcement) -> bool:
        """Handle an announcement; return False if it is outdated."""
        accepted = self._gate.announce(announcement, self._clock.monotonic())
        self.advance()
        return accepted

    def depart(self, lifetime: str, started_ms: int | None) -> Departure | None:
        """Handle the departure of the target; return what to remember."""
        departure = self._gate.depart(lifetime, started_ms)
        self.advance()
        return departure

    def set_history(self, departures: Iterable[Departure]) -> None:
        """Apply the departures that earlier processes have acknowledged.

        The gate stays closed until the first call of this method.
        """
        for departure in departures:
            self._gate.depart(departure.lifetime, departure.started_ms)
        self._gate.awaits_history = False
        self.advance()

    def set_evacuated(self, evacuated: bool) -> None:
        """Close or open the gate for an evacuation."""
        self._gate.set_evacuated(evacuated)
        self.advance()

    def stop(self) -> None:
        """Refuse all further calls because the daemon shuts down."""
        self._gate.stop()
        self.advance()

    def advance(self) -> None:
        """Execute due decisions and report a change of the gate's state."""
        now_s = self._clock.monotonic()
        for decision in self._gate.decide(now_s):
            self._execute(decision)
        self._schedule_wakeup(now_s)
        if self._gate.pace.changes != self._pace_changes:
            self._log_pace(now_s)
        state = self._gate.state(now_s)
        if state is not self._state:
            logger.info(
                "gate state",
                state=state.value,
                before=self._state.value,
                lifetime=self._gate.lifetime,
            )
            self._state = state
            self._on_state_change()

    def _schedule_wakeup(self, now_s: float) -> None:
        due_s = self._gate.next_decision_s(now_s)
        if due_s == inf:
            return
        if self._wakeup is not None and not self._wakeup.cancelled:
            if self._wakeup_due_s <= due_s:
                return
            self._wakeup.cancel()
        self._wakeup_due_s = due_s
        self._wakeup = self._timer.call_after(
            max(0.001, due_s - now_s), self._on_wakeup
        )

    def _on_wakeup(self) -> None:
        self._wakeup = None
        self.advance()

    def _execute(self, decision: Decision) -> None:
        submission = self._submissions[decision.job]
        if isinstance(decision, Refused):
            del self._submissions[decision.job]
            self._refuse(submission, decision)
            return
        if self._nursery is None:
            raise RuntimeError("the gate service does not run")
        self._nursery.start_soon(self._run_job, submission)

    def _refuse(self, submission: Submission, refused: Refused) -> None:
        call = submission.job.call
        self._log.refused_at_gate(call, refused.reason, self._gate)
        self._answer(
            submission,
            Answer(
                call_id=call.call_id,
                outcome=CallOutcome.NOT_RUN,
                body=b"",
                reason=refused.reason,
                retry_after_ms=int(refused.retry_after_s * 1000),
                report=self._gate.report(self._clock.monotonic()),
            ),
        )

    async def _run_job(self, submission: Submission) -> None:
        job = submission.job
        left_s = job.deadline_s - self._clock.monotonic()
        if left_s <= 0:
            # The process was paused since the gate admitted the call.
            self._drop_unsent(submission, "deadline passed at the gate", 0.0)
            return
        if refusal := self._find_run_refusal(job.call):
            self._drop_unsent(submission, refusal, UNAVAILABLE_RETRY_S)
            return
        attempt = SendResult(kind=AttemptKind.CANCELLED, reason="cancelled")
        try:
            with submission.cancel_scope:
                attempt = await self._client.send(
                    self._address,
                    self._build_target_request(job),
                    left_s + RUN_TIMEOUT_MARGIN_S,
                    on_early=lambda early: self._finish(submission, early),
                )
        finally:
            if job in self._submissions:
                self._finish(submission, attempt)

    def _drop_unsent(
        self, submission: Submission, reason: str, retry_after_s: float
    ) -> None:
        """Free the slot of a call that has never been sent to the target."""
        job = submission.job
        now_s = self._clock.monotonic()
        self._gate.finish(job, AttemptKind.CANCELLED, 0, now_s)
        self._submissions.pop(job, None)
        if not submission.answered:
            self._refuse(submission, Refused(job, reason, retry_after_s))
        self.advance()

    def _finish(self, submission: Submission, attempt: SendResult) -> None:
        job = submission.job
        now_s = self._clock.monotonic()
        if attempt.response is not None and job.lifetime == self._gate.lifetime:
            self._read_load(attempt.response, now_s)
        if attempt.kind not in (AttemptKind.REFUSED, AttemptKind.NOT_CONNECTED):
            self._count_run(job.call.organisation, now_s - job.started_s)
        self._gate.finish(job, attempt.kind, attempt.status, now_s)
        self._submissions.pop(job, None)
        if attempt.response is not None:
            self._gate.record_answer(job, len(attempt.response.body))
        if attempt.kind is not AttemptKind.ANSWERED:
            self._log.run_failed(job.call, attempt, job.lifetime)
        self._answer(submission, self._build_answer(job.call, attempt, now_s))
        if attempt.kind is AttemptKind.BROKEN or attempt.status >= SERVER_ERROR:
            self._on_run_failure()
        self.advance()

    def _answer(self, submission: Submission, answer: Answer) -> None:
        if not submission.answered:
            submission.answered = True
            submission.on_answer(answer)

    def _build_answer(self, call: Call, attempt: SendResult, now_s: float) -> Answer:
        report = self._gate.report(now_s)
        if attempt.kind is AttemptKind.ANSWERED and attempt.response is not None:
            response = attempt.response
            return Answer(
                call_id=call.call_id,
                outcome=CallOutcome.ANSWERED,
                status=response.status,
                headers=[[name, value] for name, value in response.headers],
                body=response.body,
                reached_target=True,
                report=report,
            )
        not_run = attempt.kind in (AttemptKind.REFUSED, AttemptKind.NOT_CONNECTED)
        return Answer(
            call_id=call.call_id,
            outcome=CallOutcome.NOT_RUN if not_run else CallOutcome.UNKNOWN,
            body=b"",
            reason=attempt.reason or attempt.kind.name.lower(),
            reached_target=attempt.kind is not AttemptKind.NOT_CONNECTED
            and attempt.status != MISDIRECTED_STATUS,
            report=report,
        )

    def _read_load(self, response: Response, now_s: float) -> None:
        value = response.header(self._header_names.load)
        if value is None:
            return
        figures = parse_load_header(value)
        if figures is not None:
            self._gate.record_load(figures, now_s)
        elif value != self._refused_load:
            # A target repeats a malformed value with each answer.
            self._refused_load = value
            text = value[:MAX_LOGGED_BYTES].decode("latin-1")
            logger.warning("load header ignored", value=text)

    def _build_target_request(self, job: GateJob) -> Request:
        call = job.call
        left_ms = max(1, int((job.deadline_s - self._clock.monotonic()) * 1000))
        path, _, query = call.target.partition(b"?")
        header_names = self._header_names
        headers: Headers = [(name, value) for name, value in call.headers]
        headers.append((header_names.deadline, str(left_ms).encode()))
        headers.append((header_names.caller_service, call.caller_service.encode()))
        if job.lifetime:
            headers.append((header_names.expected_lifetime, job.lifetime.encode()))
        return Request(
            method=call.method,
            path=path.decode("latin-1"),
            query=query,
            headers=headers,
            body=call.body,
        )

    def _log_pace(self, now_s: float) -> None:
        if now_s - self._pace_logged_s < LOAD_LOG_INTERVAL_S:
            return
        pace = self._gate.pace
        logger.info(
            "target pace",
            limit=round(pace.limit, 1) if pace.in_force else None,
            reason=pace.reason,
            changes=pace.changes - self._pace_changes,
            lifetime=self._gate.lifetime,
        )
        self._pace_changes = pace.changes
        self._pace_logged_s = now_s

    def _log_load(self) -> None:
        speed = self._gate.speed(self._clock.monotonic())
        slow = 0.0 < speed < (SLOW_LOG_END if self._slow_logged else SLOW_LOG_START)
        if slow is not self._slow_logged:
            self._slow_logged = slow
            logger.info("target speed", speed=speed, lifetime=self._gate.lifetime)
        occupied = self._gate.occupied(self._clock.monotonic())
        if bool(occupied) is not self._occupied_logged:
            self._occupied_logged = bool(occupied)
            logger.info(
                "target occupied by unknown calls",
                calls=occupied,
                running=self._gate.running,
                lifetime=self._gate.lifetime,
            )

    def _probe_if_due(self) -> None:
        now_s = self._clock.monotonic()
        due = now_s - self._probed_s >= PROBE_INTERVAL_S
        needed = self._gate.needs_probe or self._gate.needs_load(now_s)
        if self._nursery is not None and needed and due:
            self._probed_s = now_s
            self._nursery.start_soon(self._probe)

    async def _probe(self) -> None:
        host = self._address.encode()
        request = Request(
            method="GET",
            path=self._health_path,
            query=b"",
            headers=[(b"host", host)],
            body=b"",
        )
        attempt = await self._client.send(self._address, request, PROBE_TIMEOUT_S)
        response = attempt.response
        if response is None:
            if attempt.kind is AttemptKind.NOT_CONNECTED:
                self._gate.probe_failed()
        elif response.status == 200:
            lifetime = (response.header(self._header_names.lifetime) or b"").decode(
                "latin-1"
            )
            cold_ms = _parse_number(response.header(self._header_names.cold_remaining))
            now_s = self._clock.monotonic()
            self._read_load(response, now_s)
            self._gate.probe_passed(lifetime, cold_ms / 1000.0, now_s)
        self.advance()


def _parse_number(text: bytes | None) -> float:
    """Return the number in a header, 0 if it is missing or invalid."""
    try:
        return max(0.0, float(text or b"0"))
    except ValueError:
        logger.warning("header is no number", value=(text or b"").decode("latin-1"))
        return 0.0
