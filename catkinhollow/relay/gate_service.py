"""Run the calls that the gate admits at the target of the instance."""

from collections.abc import Callable
from math import inf

import trio
from attrs import define, field

from catkinhollow.calls.egress import SendResult, TargetClient
from catkinhollow.calls.exchange import Headers, Request
from catkinhollow.calls.retries import SERVER_ERROR, AttemptKind
from catkinhollow.generated.relay import Answer, Call, CallOutcome, RelayConfiguration
from catkinhollow.logs import get_logger
from catkinhollow.relay.gate import MISDIRECTED, Gate
from catkinhollow.relay.gate_jobs import (
    Admitted,
    Announcement,
    Decision,
    GateJob,
    Refused,
)
from catkinhollow.relay.header_names import HeaderNames
from catkinhollow.relay.request_log import RequestLog
from catkinhollow.timer import Subscription, Timer

logger = get_logger(__name__)

# Time between two health checks while the target's state is in doubt; each
# one takes a slot of the target.
PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 1.0
# The run goes on a little longer than the entry waits, so that an answer at
# the last moment still ends the exchange cleanly.
RUN_SLACK_S = 0.1


@define(eq=False, kw_only=True)
class Submission:
    """Hold one call that the gate has taken."""

    job: GateJob
    on_answer: Callable[[Answer], None]
    scope: trio.CancelScope = field(factory=trio.CancelScope)
    answered: bool = False


class GateService:
    """Feed calls and news to the gate and carry out its decisions."""

    def __init__(
        self,
        *,
        gate: Gate,
        address: str,
        service: str,
        client: TargetClient,
        names: HeaderNames,
        timer: Timer,
        log: RequestLog,
        on_state: Callable[[], None],
        on_failure: Callable[[], None],
    ) -> None:
        self._gate = gate
        self._address = address
        self._service = service
        self._client = client
        self._names = names
        self._timer = timer
        self._clock = timer.clock
        self._log = log
        self._on_state = on_state
        self._on_failure = on_failure
        self._submissions: dict[GateJob, Submission] = {}
        self._nursery: trio.Nursery | None = None
        self._wake: Subscription | None = None
        self._wake_due_s = inf
        self._probed_s = -inf
        self._health_path = "/health"
        self._state = gate.state(self._clock.monotonic())

    @property
    def gate(self) -> Gate:
        """Return the decisions behind this service."""
        return self._gate

    @property
    def busy(self) -> bool:
        """Tell whether calls run or wait."""
        return bool(self._submissions)

    async def run(self) -> None:
        """Run admitted calls until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._timer.subscribe(PROBE_INTERVAL_S, self._check_target)
            self._check_target()
            await trio.sleep_forever()

    def configure(self, configuration: RelayConfiguration) -> None:
        """Take the limits of the target's service."""
        for service in configuration.services:
            if service.name == self._service:
                self._gate.cold_rate = service.cold_requests_per_s
                self._health_path = service.health_path
        self.advance()

    def submit(self, call: Call, on_answer: Callable[[Answer], None]) -> Submission:
        """Take a call; its answer comes once, perhaps before the return."""
        now_s = self._clock.monotonic()
        job = GateJob(
            call=call,
            arrived_s=now_s,
            target_s=now_s + call.target_ms / 1000.0,
            expires_s=now_s + call.budget_ms / 1000.0,
        )
        submission = Submission(job=job, on_answer=on_answer)
        if call.service != self._service:
            refused = Refused(job, "gate of another service", 0.0)
            self._refuse(submission, refused)
            return submission
        self._submissions[job] = submission
        decision = self._gate.offer(job, now_s)
        if isinstance(decision, Admitted | Refused):
            self._carry_out(decision)
        self.advance()
        return submission

    def cancel(self, submission: Submission) -> None:
        """Stop a call that nobody waits for.

        A run that is not idempotent goes on: cutting it would leave its
        outcome unknown at the target too.
        """
        job = submission.job
        submission.answered = True
        if self._gate.abandon(job):
            del self._submissions[job]
        elif job.call.idempotent:
            submission.scope.cancel()
        self.advance()

    def announce(self, news: Announcement) -> bool:
        """Take what the target tells of itself; False if it is outdated."""
        taken = self._gate.announce(news, self._clock.monotonic())
        self.advance()
        return taken

    def leave(self, lifetime: str, born_ms: int | None) -> None:
        """Take the announcement that the target ends."""
        self._gate.leave(lifetime, born_ms)
        self.advance()

    def set_evacuated(self, evacuated: bool) -> None:
        """Close or open the gate for the operator's order."""
        self._gate.set_evacuated(evacuated)
        self.advance()

    def stop(self) -> None:
        """Refuse further calls, because the daemon shuts down."""
        self._gate.stop()
        self.advance()

    def advance(self) -> None:
        """Carry out what has become due."""
        now_s = self._clock.monotonic()
        for decision in self._gate.decide(now_s):
            self._carry_out(decision)
        self._schedule(now_s)
        state = self._gate.state(now_s)
        if state is not self._state:
            logger.info(
                "gate state",
                state=state.value,
                before=self._state.value,
                lifetime=self._gate.lifetime,
            )
            self._state = state
            self._on_state()

    def _schedule(self, now_s: float) -> None:
        due_s = self._gate.due_s(now_s)
        if due_s == inf:
            return
        if self._wake is not None and not self._wake.cancelled:
            if self._wake_due_s <= due_s:
                return
            self._wake.cancel()
        self._wake_due_s = due_s
        self._wake = self._timer.call_after(max(0.001, due_s - now_s), self._on_wake)

    def _on_wake(self) -> None:
        self._wake = None
        self.advance()

    def _carry_out(self, decision: Decision) -> None:
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
        attempt = SendResult(kind=AttemptKind.CANCELLED, reason="cancelled")
        try:
            with submission.scope:
                timeout_s = job.expires_s - self._clock.monotonic() + RUN_SLACK_S
                request = self._target_request(job)
                attempt = await self._client.send(self._address, request, timeout_s)
        finally:
            self._finish(submission, attempt)

    def _finish(self, submission: Submission, attempt: SendResult) -> None:
        job = submission.job
        now_s = self._clock.monotonic()
        self._gate.finish(job, attempt.kind, attempt.status, now_s)
        self._submissions.pop(job, None)
        if attempt.kind is not AttemptKind.ANSWERED:
            self._log.run_failed(job.call, attempt, job.lifetime)
        self._answer(submission, self._to_answer(job.call, attempt, now_s))
        if attempt.kind is AttemptKind.BROKEN or attempt.status >= SERVER_ERROR:
            self._on_failure()
        self.advance()

    def _answer(self, submission: Submission, answer: Answer) -> None:
        if not submission.answered:
            submission.answered = True
            submission.on_answer(answer)

    def _to_answer(self, call: Call, attempt: SendResult, now_s: float) -> Answer:
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
            and attempt.status != MISDIRECTED,
            report=report,
        )

    def _target_request(self, job: GateJob) -> Request:
        call = job.call
        left_ms = max(1, int((job.expires_s - self._clock.monotonic()) * 1000))
        path, _, query = call.target.partition(b"?")
        names = self._names
        headers: Headers = [(name, value) for name, value in call.headers]
        headers.append((names.deadline, str(left_ms).encode()))
        headers.append((names.caller_service, call.caller_service.encode()))
        if job.lifetime:
            headers.append((names.expected_lifetime, job.lifetime.encode()))
        return Request(
            method=call.method,
            path=path.decode("latin-1"),
            query=query,
            headers=headers,
            body=call.body,
        )

    def _check_target(self) -> None:
        now_s = self._clock.monotonic()
        due = now_s - self._probed_s >= PROBE_INTERVAL_S
        if self._nursery is not None and self._gate.needs_probe and due:
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
            lifetime = (response.header(self._names.lifetime) or b"").decode("latin-1")
            cold_ms = _number(response.header(self._names.cold))
            now_s = self._clock.monotonic()
            self._gate.probed(lifetime, cold_ms / 1000.0, now_s)
        self.advance()


def _number(text: bytes | None) -> float:
    """Return the number in a header of the target, 0 if it has none."""
    try:
        return max(0.0, float(text or b"0"))
    except ValueError:
        logger.warning("header is no number", value=(text or b"").decode("latin-1"))
        return 0.0
