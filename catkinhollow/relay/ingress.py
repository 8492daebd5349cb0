"""Route the requests of callers on this instance to gates."""

from random import Random

import trio
from attrs import define

from catkinhollow.calls.exchange import Headers, Request, Response, plain_response
from catkinhollow.calls.http_encoding import end_to_end_headers
from catkinhollow.calls.retries import RetryBudget
from catkinhollow.generated.relay import (
    Answer,
    Call,
    CallOutcome,
    RelayConfiguration,
    RelayRoute,
    RequestLimits,
)
from catkinhollow.logs import get_logger
from catkinhollow.relay.admission.retry_advice import retry_after_s
from catkinhollow.relay.disconnection import Disconnection
from catkinhollow.relay.header_names import HeaderNames
from catkinhollow.relay.links.network import PeerNetwork
from catkinhollow.relay.moves.versions import VersionPolicy
from catkinhollow.relay.organisations.access import AccessPolicy, Granted, Refusal
from catkinhollow.relay.organisations.keys import (
    AUTHORIZATION_HEADER,
    Caller,
    KeyHolder,
    Unauthorized,
)
from catkinhollow.relay.placement.call_plan import (
    RUN_RETRY_COST,
    CallPlan,
    Deliver,
    GiveUp,
    SendTo,
    is_idempotent,
)
from catkinhollow.relay.placement.peers import Peer
from catkinhollow.relay.placement.placer import CallProfile, Placer
from catkinhollow.relay.placement.routes import RouteTable, SplitPicker
from catkinhollow.relay.relay_metrics import RelayMetrics
from catkinhollow.relay.request_log import RequestLog
from catkinhollow.timer import Clock

logger = get_logger(__name__)

RETRY_AFTER_HEADER = b"retry-after"
# Retry hint while it is unknown whether keys are still valid.
STALE_RETRY_S = 0.5
# Tells a caller without a valid key which kind is expected.
CHALLENGE = (b"www-authenticate", b"Token")
# Time reserved for returning an answer to the caller before its deadline.
RETURN_MARGIN_S = 0.01
# Weight of one answer in the moving average of a route's answer sizes.
ANSWER_SIZE_WEIGHT = 0.1


@define(eq=False)
class _PendingAnswer:
    """Represent the answer that one attempt waits for."""

    event: trio.Event
    """Also set when the caller has disconnected, and by `Ingress.abort`."""
    answer: Answer | None = None

    def set_answer(self, answer: Answer) -> None:
        self.answer = answer
        self.event.set()


class Ingress:
    """Route requests, choose gates for them, and return the answers."""

    def __init__(
        self,
        *,
        service: str,
        network: PeerNetwork,
        placer: Placer,
        versions: VersionPolicy,
        access: AccessPolicy,
        header_names: HeaderNames,
        retry_percent: float,
        retry_slack: float,
        clock: Clock,
        random: Random,
        metrics: RelayMetrics,
        log: RequestLog,
    ) -> None:
        self._service = service
        self._network = network
        self._placer = placer
        self._versions = versions
        self._access = access
        self._header_names = header_names
        self._retry_percent = retry_percent
        self._retry_slack = retry_slack
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._log = log
        self._routes: RouteTable | None = None
        self._splits = SplitPicker(random)
        self._budgets: dict[str, RetryBudget] = {}
        self._mean_answer_kb: dict[str, float] = {}
        self._limits = RequestLimits()
        self._stopping = False
        self._aborted = False
        self._open_attempts: set[trio.Event] = set()
        self._internal_headers = {
            header_names.deadline,
            header_names.caller_service,
            header_names.expected_lifetime,
            b"expect",
        }
        # Removed where the configuration holds organisations: a target sees no
        # key, and no organisation that a caller has made up.
        self._organisation_headers = self._internal_headers | {
            AUTHORIZATION_HEADER,
            header_names.organisation,
        }

    @property
    def limits(self) -> RequestLimits:
        """Return the limits of requests and connections."""
        return self._limits

    @property
    def configured(self) -> bool:
        """Return whether a configuration is in force."""
        return self._routes is not None

    def configure(self, configuration: RelayConfiguration) -> None:
        """Apply a configuration version to all later requests."""
        self._routes = RouteTable(configuration)
        names = {route.name for route in configuration.routes}
        self._splits.keep_routes(names)
        for name in self._mean_answer_kb.keys() - names:
            del self._mean_answer_kb[name]
        self._limits = configuration.limits

    def stop(self) -> None:
        """Refuse all further requests because the daemon shuts down."""
        self._stopping = True

    def abort(self) -> int:
        """Answer all open requests with an error and return their number."""
        self._stopping = self._aborted = True
        for event in self._open_attempts:
            event.set()
        return len(self._open_attempts)

    async def serve(
        self, request: Request, wait_for_disconnect: Disconnection
    ) -> Response | None:
        """Return the response to a request, None if the caller has gone."""
        if self._stopping:
            return plain_response(503, "the daemon ends")
        if self._routes is None:
            return plain_response(503, "no configuration yet")
        host = (request.header(b"host") or b"").decode("latin-1")
        route = self._routes.match(host, request.path)
        if route is None:
            return plain_response(404, "no route")
        access = self._access.admit(
            request.headers,
            self._clock.boottime(),
            allow_anonymous=route.allow_anonymous,
        )
        if not isinstance(access, Granted):
            left_ms = _time_left_ms(request.header(self._header_names.deadline), route)
            return self._refuse_access(access, left_ms / 1000.0)
        return await self._serve_route(
            request, route, access.caller, wait_for_disconnect
        )

    def _refuse_access(self, refusal: Refusal, left_s: float) -> Response:
        labels = {"place": "ingress", "reason": refusal.reason}
        self._metrics.access_refusals.inc(labels)
        if isinstance(refusal, Unauthorized):
            return plain_response(401, refusal.reason, [CHALLENGE])
        return self._not_run_response(refusal.reason, STALE_RETRY_S, left_s)

    def _not_run_response(self, reason: str, hint_s: float, left_s: float) -> Response:
        delay_s = retry_after_s(hint_s, left_s, self._random.random())
        value = f"{delay_s:.3f}".encode()
        return plain_response(503, reason, [(RETRY_AFTER_HEADER, value)])

    async def _serve_route(
        self,
        request: Request,
        route: RelayRoute,
        caller: Caller,
        wait_for_disconnect: Disconnection,
    ) -> Response | None:
        started_s = self._clock.monotonic()
        service = self._splits.pick(route)
        left_ms = _time_left_ms(request.header(self._header_names.deadline), route)
        plan = CallPlan(
            route=route,
            service=service,
            deadline_s=started_s + left_ms / 1000.0 - RETURN_MARGIN_S,
            choose_peer=lambda tried: self._choose(route, service, tried),
            budget=self._budget(service),
        )
        call = self._make_call(request, route, service, caller)
        response = await self._run_plan(plan, call, started_s, wait_for_disconnect)
        taken_s = self._clock.monotonic() - started_s
        self._metrics.request_seconds.observe({"service": service}, taken_s)
        return response

    async def _run_plan(
        self,
        plan: CallPlan,
        call: Call,
        started_s: float,
        wait_for_disconnect: Disconnection,
    ) -> Response | None:
        while True:
            step = plan.next_step(self._clock.monotonic())
            if isinstance(step, SendTo):
                refusal = self._find_refusal(plan, call)
                if refusal is not None:
                    left_s = plan.deadline_s - self._clock.monotonic()
                    return self._refuse_access(refusal, left_s)
                answer = await self._attempt(
                    plan, step.peer, call, started_s, wait_for_disconnect
                )
                if answer is None:
                    self._count_request(plan.service, "gone")
                    return None
                self._count_attempt(call.service, answer.outcome.value)
                final = plan.on_answer(answer)
                if final is None:
                    self._log_attempt(call, step.peer, answer)
                    continue
                step = final
            if isinstance(step, Deliver):
                self._count_request(plan.service, "answered")
                self._log.answered(call.request_id, status=step.answer.status)
                self._update_answer_size(plan.route, step.answer)
                return self._build_response(step.answer)
            return self._give_up(plan, step, call)

    def _find_refusal(self, plan: CallPlan, call: Call) -> Refusal | None:
        """Return why a call that has surely not run must not be sent."""
        if call.key_digest is None or plan.outcome_unknown:
            return None
        return self._access.find_refusal(call.key_digest, self._clock.boottime())

    async def _attempt(
        self,
        plan: CallPlan,
        peer: Peer,
        call: Call,
        started_s: float,
        wait_for_disconnect: Disconnection,
    ) -> Answer | None:
        """Return a gate's answer, None if the caller has disconnected.

        The outcome is unknown if no answer arrives before the deadline or
        before `abort`.
        """
        now_s = self._clock.monotonic()
        left_s = plan.deadline_s - now_s
        soft_left_s = started_s + plan.route.target_latency_ms / 1000.0 - now_s
        call_id = self._network.next_call_id()
        timed_call = _with_call_times(call, call_id, left_s, soft_left_s)
        event = trio.Event()
        pending = _PendingAnswer(event)
        sent = self._network.call(peer, timed_call, pending.set_answer)
        if pending.answer is None:
            self._open_attempts.add(event)
            wait_for_disconnect.subscribe(event)
            try:
                with trio.move_on_after(max(0.0, left_s)):
                    await event.wait()
            finally:
                self._open_attempts.remove(event)
                wait_for_disconnect.unsubscribe(event)
                if pending.answer is None:
                    self._network.cancel(sent)
        if pending.answer is not None:
            return pending.answer
        if wait_for_disconnect.happened:
            return None
        return Answer(
            call_id=0,
            outcome=CallOutcome.UNKNOWN,
            body=b"",
            reason="the daemon ends" if self._aborted else "time is up",
            reached_target=True,
        )

    def _choose(self, route: RelayRoute, service: str, tried: set[str]) -> Peer | None:
        if self._aborted:
            return None
        network = self._network
        if service == self._service:
            # The own target is a candidate.
            network.refresh_own_report()
        network.use_service(service)
        peers = network.directory.for_service(service)
        candidates = self._versions.candidates(service, peers)
        profile = CallProfile(
            answer_kb=self._mean_answer_kb.get(route.name, 0.0),
            target_latency_ms=route.target_latency_ms,
            route=route.name,
        )
        return self._placer.choose(candidates, tried, profile)

    def _budget(self, service: str) -> RetryBudget:
        # The slack is a number of tokens for all daemons together, but each
        # budget must allow at least one repeated run.
        burst = max(RUN_RETRY_COST, self._retry_slack / len(self._network.directory))
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(percent=self._retry_percent, tokens=burst)
            self._budgets[service] = budget
        budget.burst = burst
        budget.earn()
        return budget

    def _make_call(
        self, request: Request, route: RelayRoute, service: str, caller: Caller
    ) -> Call:
        request_target = request.path.encode("latin-1")
        if request.query:
            request_target += b"?" + request.query
        removed = self._internal_headers
        if self._access.has_organisations:
            removed = self._organisation_headers
        headers = [
            [name, value]
            for name, value in end_to_end_headers(request.headers)
            if name not in removed
        ]
        organisation, key_digest = "", None
        rank = route.priority
        if isinstance(caller, KeyHolder):
            organisation, key_digest = caller.organisation, caller.key_digest
            headers.append([self._header_names.organisation, organisation.encode()])
            if caller.priority is not None:
                rank = caller.priority
        request_id = request.header(self._header_names.request_id) or b""
        return Call(
            call_id=0,
            request_id=request_id.decode("latin-1"),
            method=request.method,
            target=request_target,
            headers=headers,
            body=request.body,
            route=route.name,
            service=service,
            caller_service=self._service,
            idempotent=is_idempotent(route),
            rank=rank,
            latency_ms=int(route.target_latency_ms),
            organisation=organisation,
            key_digest=key_digest,
            configuration_revision=self._access.revision if key_digest else 0,
        )

    def _update_answer_size(self, route: RelayRoute, answer: Answer) -> None:
        size_kb = len(answer.body) / 1024.0
        mean_kb = self._mean_answer_kb.get(route.name, size_kb)
        self._mean_answer_kb[route.name] = mean_kb + ANSWER_SIZE_WEIGHT * (
            size_kb - mean_kb
        )

    def _build_response(self, answer: Answer) -> Response:
        # The gate's HTTP client has removed the hop-by-hop headers.
        headers: Headers = [(name, value) for name, value in answer.headers]
        return Response(status=answer.status, headers=headers, body=answer.body)

    def _give_up(self, plan: CallPlan, step: GiveUp, call: Call) -> Response:
        now_s = self._clock.monotonic()
        left_s = plan.deadline_s - now_s
        self._count_request(plan.service, step.outcome.value)
        self._log.failed(
            call.request_id,
            route=call.route,
            service=call.service,
            outcome=step.outcome.value,
            reason=step.reason,
            gates=len(plan.tried_addresses),
            reached=plan.target_attempts,
            left_ms=int(left_s * 1000),
        )
        if step.outcome is CallOutcome.UNKNOWN:
            timed_out = left_s <= RETURN_MARGIN_S
            return plain_response(504 if timed_out else 502, step.reason)
        return self._not_run_response(step.reason, step.retry_after_s, left_s)

    def _log_attempt(self, call: Call, peer: Peer, answer: Answer) -> None:
        self._log.attempt_failed(
            call.request_id,
            peer=peer.record.name,
            outcome=answer.outcome.value,
            reason=answer.reason,
            status=answer.status,
            report_age_ms=int((self._clock.monotonic() - peer.reported_s) * 1000),
        )

    def _count_request(self, service: str, outcome: str) -> None:
        self._metrics.requests.inc({"service": service, "outcome": outcome})

    def _count_attempt(self, service: str, outcome: str) -> None:
        self._metrics.attempts.inc({"service": service, "outcome": outcome})


def _time_left_ms(deadline: bytes | None, route: RelayRoute) -> float:
    if deadline is not None and deadline.isdigit():
        return min(float(deadline), route.timeout_ms)
    return route.timeout_ms


def _with_call_times(
    call: Call, call_id: int, left_s: float, soft_left_s: float
) -> Call:
    # attrs.evolve() takes more than twice as long.
    return Call(
        call_id=call_id,
        request_id=call.request_id,
        method=call.method,
        target=call.target,
        headers=call.headers,
        body=call.body,
        route=call.route,
        service=call.service,
        caller_service=call.caller_service,
        idempotent=call.idempotent,
        rank=call.rank,
        latency_ms=call.latency_ms,
        organisation=call.organisation,
        key_digest=call.key_digest,
        configuration_revision=call.configuration_revision,
        budget_ms=max(0, int(left_s * 1000)),
        target_ms=int(soft_left_s * 1000),
    )
