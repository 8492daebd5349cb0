"""Tests of the decisions about calls against a simple model."""

from collections import Counter

from attrs import evolve
from hypothesis import settings, stateful
from hypothesis import strategies as st
from hypothesis.stateful import rule

from catkinhollow.calls.call import SendTo, Wait
from catkinhollow.calls.exchange import Outcome
from catkinhollow.generated.fleet import (
    Backer,
    Defaults,
    ExceptionSetting,
    FleetException,
    Service,
    VersionWeight,
)
from catkinhollow.generated.messages import MemberState, TargetState
from tests import builders
from tests.builders import begin_call, make_fleet, make_member, make_router, send_call

TARGETS = 6
MAX_IN_FLIGHT = 3
OUTCOMES = {
    builders.OK: Outcome.ANSWERED,
    builders.ERROR: Outcome.ANSWERED,
    builders.REFUSED: Outcome.NOT_RUN,
    builders.UNREACHABLE: Outcome.NOT_RUN,
    builders.BROKEN: Outcome.UNKNOWN,
    builders.TIMEOUT: Outcome.UNKNOWN,
    builders.CANCELLED: Outcome.UNKNOWN,
}
MAX_ORDERS = 2
FEW_ORDERS = FleetException(
    name="few-orders",
    setting=ExceptionSetting.MAX_IN_FLIGHT_PER_TARGET,
    value=MAX_ORDERS,
    reason="orders lock the stock",
    route="order",
)
SPLITS = [{}, {"v1": 100}, {"v1": 70, "v2": 30}]


class CallRouterMachine(stateful.RuleBasedStateMachine):
    """Drives a router and compares its counters with a simple model."""

    calls = stateful.Bundle("calls")

    @stateful.initialize(share=st.sampled_from([1.0, 0.3, 0.01]))
    def start(self, share):
        self.now_s = 1000.0
        self.members = [
            make_member(i, f"fd{i % 3}", version=f"v{1 + i % 2}", slots=2 + i)
            for i in range(TARGETS)
        ]
        self.out, self.split, self.quarantined = [], {}, set()
        self.busy, self.open = Counter(), 0
        self.sent, self.closed = {}, set()
        self.waiting, self.notified, self.share = {}, [], share
        self.router = make_router(self.members, share=share)
        self.enforce([], {}, [])

    @rule(
        out=st.sets(st.sampled_from(["fd0", "fd1", "fd2"]), max_size=2),
        split=st.sampled_from(SPLITS),
        backers=st.sets(st.sampled_from("ab")),
    )
    def enforce(self, out, split, backers):
        self.out, self.split = sorted(out), split
        service = Service(
            name="orders",
            split=[VersionWeight(version=v, percent=split[v]) for v in split],
            backers=[Backer(name=name, share_percent=40) for name in sorted(backers)],
        )
        defaults = Defaults(max_in_flight_per_target=MAX_IN_FLIGHT)
        changed = make_fleet(
            service,
            defaults=defaults,
            exceptions=[FEW_ORDERS],
            failure_domains_out=self.out,
        )
        self.router.enforce(changed, self.now_s)

    @rule(quarantine=st.booleans())
    def change_quarantine(self, quarantine):
        change = self.router.quarantine if quarantine else self.router.lift_quarantine
        change("orders", "v2", self.now_s)
        self.quarantined = {"v2"} if quarantine else set()

    @rule(
        index=st.integers(0, TARGETS - 1),
        state=st.sampled_from(MemberState),
        target_state=st.sampled_from(TargetState),
        restarted=st.booleans(),
    )
    def change_member(self, index, state, target_state, restarted):
        old, unix_ms = self.members[index], int(self.now_s * 1000)
        started_ms = unix_ms if restarted else old.targets[0].started_ms
        target = evolve(old.targets[0], state=target_state, started_ms=started_ms)
        self.members[index] = evolve(old, state=state, targets=[target])
        self.router.update_members(self.members, self.now_s, unix_ms)

    @rule(seconds=st.sampled_from([0.001, 0.02, 0.5, 4.0]))
    def pass_time(self, seconds):
        self.now_s += seconds
        for call, until_s in list(self.waiting.items()):
            if until_s <= self.now_s:
                # The end of another call may have granted a target to it.
                notified = call in self.notified
                if notified:
                    self.notified.remove(call)
                self.step(call)
                assert call.done or notified
        self.step_notified()

    @rule()
    def wake(self):
        waits = self.router.wake(self.now_s)
        self.step_notified()
        assert waits == bool(self.waiting)
        self.check_idle()

    def step_notified(self):
        while self.notified:
            self.step(self.notified.pop(0))

    def check_idle(self):
        """Check that no call waits for an idle service."""
        service = self.router.status(self.now_s).services[0]
        if self.share == 1.0 and not service.in_flight and service.capacity:
            assert not self.waiting

    @rule(
        target=calls,
        method=st.sampled_from(["GET", "POST"]),
        backer=st.sampled_from("abc"),
    )
    def begin_call(self, method, backer):
        result = begin_call(self.router, self.now_s, method, backer)
        if result.is_error():
            return None
        self.open += 1
        self.sent[result.ok] = []
        self.step(result.ok)
        self.step_notified()
        return result.ok

    @rule(call=calls, result=st.sampled_from(list(OUTCOMES)))
    def finish_attempt(self, call, result):
        if call is None or call.in_flight is None:
            return
        self.busy[call.in_flight.record.address] -= 1
        call.finish_attempt(result, self.now_s)
        self.sent[call].append(OUTCOMES[result])
        if call in self.closed:
            self.open -= 1
        elif call.done:
            self.check_end(call)
        else:
            self.step(call)
        self.step_notified()
        if call.done:
            self.check_idle()

    @rule(call=calls)
    def close_call(self, call):
        if call is None or call.done:
            return
        waits = self.waiting.pop(call, None) is not None
        call.close(self.now_s)
        if waits:
            assert call.in_flight is None
            self.check_end(call)
            self.step_notified()
            return
        self.sent[call].append(Outcome.UNKNOWN)
        self.check_end(call)
        self.open += 1  # until the exchange with the target has ended
        self.closed.add(call)

    def step(self, call):
        step, earlier = call.next_step(self.now_s), self.sent[call]
        if isinstance(step, Wait):
            remaining_s = call.deadline_s - self.now_s
            assert 0.0 < step.until_s - self.now_s <= remaining_s / 4 + 1e-6
            self.waiting[call] = step.until_s
            call.on_wait_end(lambda: self.notified.append(call))
            return
        self.waiting.pop(call, None)
        if not isinstance(step, SendTo):
            self.check_end(call)
            return
        address = step.entry.record.address
        assert address in self.allowed()
        bound = MAX_ORDERS if call.route.name == "order" else MAX_IN_FLIGHT
        assert self.busy[address] < min(step.entry.record.slots, bound)
        self.busy[address] += 1
        assert step.timeout_s <= call.deadline_s - self.now_s
        assert len(earlier) < call.policy.max_attempts
        if not call.route.idempotent:
            assert set(earlier) <= {Outcome.NOT_RUN}

    def allowed(self):
        usable = [
            item.targets[0]
            for item in self.members
            if item.state in (MemberState.ALIVE, MemberState.SUSPECT)
            and item.targets[0].state is not TargetState.DRAINING
            and item.failure_domain not in self.out
            and item.targets[0].version not in self.quarantined
        ]
        if not self.split and usable:
            first = min((target.started_ms, target.version) for target in usable)[1]
            usable = [target for target in usable if target.version == first]
        return {target.address for target in usable}

    def check_end(self, call):
        known = {*self.sent[call], Outcome.NOT_RUN}
        order = [Outcome.ANSWERED, Outcome.UNKNOWN, Outcome.NOT_RUN]
        assert call.outcome is next(item for item in order if item in known)
        self.open -= 1

    @stateful.invariant()
    def counters_match_model(self):
        status = self.router.status(self.now_s)
        service = status.services[0]
        for entry in filter(None, (call.in_flight for call in self.sent)):
            # One step may grant targets to several waiting calls.
            assert entry.stats.in_flight == self.busy[entry.record.address]
        assert service.waiting == len(self.waiting)
        assert status.in_flight == service.in_flight + service.waiting == self.open >= 0
        assert status.calls == len(self.sent)
        assert sum(status.outcomes.values()) == len(self.sent) - self.open
        assert service.ejected <= len(self.allowed()) // 2
        assert service.capacity <= len(self.allowed()) * MAX_IN_FLIGHT


TestCallRouter = CallRouterMachine.TestCase
TestCallRouter.settings = settings(
    derandomize=True, deadline=None, max_examples=80, stateful_step_count=60
)


def test_evidence_names_versions_and_leaves_out_load_and_cold_starts():
    """Guards against load or a cold start counted against a good version."""
    weights = {"v1": 80, "v2": 20}.items()
    split = [VersionWeight(version=name, percent=value) for name, value in weights]
    router = make_router(
        [make_member(0), make_member(1, version="v2", started_ms=995_000)],
        make_fleet(Service(name="orders", split=split)),
    )
    counts = {}
    for begin_s, warm in ((1000.0, False), (1010.0, True)):
        for number in range(300):
            now_s = begin_s + number * 0.01
            call, entry = send_call(router, now_s, "POST")
            duration_s = 0.03 if entry.record.version == "v2" else 0.01
            broken = number % 10 == 9
            call.finish_attempt(
                builders.BROKEN if broken else builders.OK, now_s + duration_s
            )
        call, _ = send_call(router, now_s)
        call.finish_attempt(builders.REFUSED, now_s)
        counts = {item.version: item for item in router.take_counts()}
        assert sum(item.requests for item in counts.values()) == 300
        assert sum(item.failures for item in counts.values()) == 30
        assert counts["v2"].requests > 20
        assert counts["v1"].slow == 0
        assert (counts["v2"].slow > 10) == warm


def test_failing_targets_are_ejected_but_never_most():
    """Guards against calls to failing targets and against an empty service."""
    router = make_router([make_member(index) for index in range(5)])
    for number in range(300):
        now_s = 1000.0 + number * 0.01
        call, _ = send_call(router, now_s, "POST")
        call.finish_attempt(builders.ERROR, now_s)
        assert router.status(now_s).services[0].ejected <= 2
    assert router.status(now_s).services[0].ejected == 2
