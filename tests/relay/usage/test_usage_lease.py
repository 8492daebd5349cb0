"""Tests of the lease of the daemon that reports usage, in virtual time."""

from random import Random

from attrs import define
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from catkinhollow.generated.relay import UsageBeacon, UsageLease
from catkinhollow.relay.usage.lease import (
    ERA_EPOCHS,
    LeaseTimes,
    ReadLease,
    UsageLeaseManager,
    WriteLease,
)

TIMES = LeaseTimes(lease_s=3.0, slack_s=0.3)
NAMES = ("a", "b", "c")
TICK_S = 0.25


def make_manager(name="a", now_s=0.0):
    return UsageLeaseManager(name, f"{name}:1", TIMES, now_s)


def make_lease(holder="b", epoch=4, renewal=7):
    return UsageLease(
        holder=holder, address=f"{holder}:1", epoch=epoch, renewal=renewal
    )


def make_beacon(lease, era=0, decided=-1):
    return UsageBeacon(
        address=lease.address,
        epoch=lease.epoch,
        renewal=lease.renewal,
        era=era,
        decided=decided,
    )


def take(manager, now_s=10.0):
    """Let a manager take a lease that the store does not have."""
    assert isinstance(manager.next_command(now_s, 0), ReadLease)
    manager.on_read(now_s, None, 0)
    now_s += TIMES.takeover_s
    command = manager.next_command(now_s, 0)
    manager.on_written(now_s + 0.1, command, 1)
    return now_s, command


def test_daemon_waits_before_it_takes_a_lease_that_the_store_lacks():
    """Guards against two holders after the store has lost the lease."""
    manager = make_manager()
    assert manager.next_command(3.2, 0) is None
    assert isinstance(manager.next_command(3.3, 0), ReadLease)
    manager.on_read(3.3, None, 0)
    assert manager.next_command(6.5, 0) is None
    command = manager.next_command(6.7, 0)
    assert command == WriteLease(lease=make_lease("a", 1, 1), if_revision=0)
    manager.on_written(6.8, command, 1)
    assert manager.epoch == 1
    assert manager.may_act(9.3)
    assert not manager.may_act(9.4)


def test_others_make_no_call_of_the_store_while_the_holder_is_heard():
    """Guards against candidates that poll the store."""
    manager = make_manager()
    for tenth in range(200):
        now_s = tenth / 10
        if tenth % 20 == 0:
            manager.hear(make_beacon(make_lease(renewal=tenth)), now_s)
        assert manager.next_command(now_s, 0) is None
    assert manager.next_command(100.0, None) is None
    assert manager.next_command(100.0, 99) is None


def test_candidate_takes_the_lease_soon_after_the_last_renewal_that_it_heard():
    """Guards against windows that are late because of a second wait."""
    manager = make_manager()
    manager.hear(make_beacon(make_lease()), 20.0)
    assert manager.next_command(23.2, 0) is None
    assert isinstance(manager.next_command(23.3, 0), ReadLease)
    manager.on_read(23.31, make_lease(), 12)
    command = manager.next_command(23.31, 0)
    assert command.if_revision == 12
    assert command.lease.epoch == 5


def test_candidate_that_reads_a_newer_renewal_waits_again():
    """Guards against a takeover from a holder that is only not heard."""
    manager = make_manager()
    manager.hear(make_beacon(make_lease()), 20.0)
    assert isinstance(manager.next_command(23.4, 0), ReadLease)
    manager.on_read(23.4, make_lease(renewal=9), 14)
    assert manager.next_command(26.6, 0) is None
    assert manager.beacon.renewal == 9


def test_same_renewal_of_a_later_era_is_waited_for():
    """Guards against a takeover after the store lost the last renewals."""
    manager = make_manager()
    manager.hear(make_beacon(make_lease(), era=0), 20.0)
    manager.next_command(23.4, 0)
    manager.on_read(23.4, make_lease(), 12, era=1)
    assert manager.next_command(26.6, 0) is None
    command = manager.next_command(26.8, 0)
    assert command.lease.epoch == ERA_EPOCHS + 1


def test_holder_renews_once_in_half_a_lease():
    """Guards against a holder whose renewals load the store."""
    manager = make_manager()
    now_s, _ = take(manager)
    writes = 0
    for tenth in range(1, 301):
        command = manager.next_command(now_s + tenth / 10, None)
        if command is not None:
            writes += 1
            manager.on_written(now_s + tenth / 10 + 0.05, command, 1 + writes)
    assert manager.epoch == 1
    assert 19 <= writes <= 20


def test_lost_answer_to_a_renewal_does_not_end_the_term():
    """Guards against a term that one lost answer ends."""
    manager = make_manager()
    now_s, _ = take(manager)
    command = manager.next_command(now_s + 1.5, 0)
    manager.on_unavailable(now_s + 2.1)
    assert isinstance(manager.next_command(now_s + 2.2, 0), ReadLease)
    manager.on_read(now_s + 2.3, command.lease, 2)
    assert manager.may_act(now_s + 1.5 + 2.6)
    assert not manager.may_act(now_s + 1.5 + 2.7)


def test_paused_holder_stops_and_gets_a_higher_epoch():
    """Guards against a call after a pause of the process."""
    manager = make_manager()
    now_s, command = take(manager)
    now_s += 60.0
    assert not manager.may_act(now_s)
    assert isinstance(manager.next_command(now_s, 0), ReadLease)
    assert manager.epoch == -1
    manager.on_read(now_s, command.lease, 1)
    assert manager.next_command(now_s, 0).lease.epoch == 2


def test_holder_that_resigns_is_no_candidate_for_a_while():
    """Guards against a holder that takes the lease back at once."""
    manager = make_manager()
    now_s, _ = take(manager)
    manager.resign(now_s + 1.0)
    assert not manager.may_act(now_s + 1.0)
    assert manager.next_command(now_s + 15.0, 0) is None
    assert isinstance(manager.next_command(now_s + 16.1, 0), ReadLease)


def test_candidate_retries_a_store_that_is_away_slowly():
    """Guards against a flood of calls while the store is away."""
    manager = make_manager()
    calls = 0
    for tenth in range(40, 340):
        if manager.next_command(tenth / 10, 0) is not None:
            calls += 1
            manager.on_unavailable(tenth / 10)
    assert calls <= 21


def test_known_decisions_are_kept_over_holders():
    """Guards against a window that is decided again after a change."""
    manager = make_manager()
    manager.hear(make_beacon(make_lease(), decided=17), 1.0)
    manager.hear(make_beacon(make_lease("c", 5, 1), decided=-1), 2.0)
    assert manager.beacon_decided == 17
    manager.hear(make_beacon(make_lease("c", 5, 1), decided=18), 3.0)
    assert manager.beacon_decided == 18
    assert manager.silence_s(3.0) == 1.0


@define
class Write:
    """Represent a write that is on its way to the store."""

    name: str
    command: WriteLease
    manager: UsageLeaseManager


class LeaseMachine(RuleBasedStateMachine):
    """Run three daemons against a store that loses and delays answers."""

    def __init__(self):
        super().__init__()
        self.now_s = 100.0
        self.era = 0
        self.revision = 3
        self.lease = None
        self.lease_revision = 0
        self.copies = []
        self.delayed = []
        self.calls = []
        self.paused = set()
        self.cut_off = set()
        self.disturbed = {}
        self.managers = {name: make_manager(name, self.now_s) for name in NAMES}

    @initialize()
    def begin(self):
        self.run(20)

    @rule(ticks=st.sampled_from((1, 4, 11, 16)))
    def run(self, ticks):
        """Let all daemons that are not paused work for some time."""
        for _ in range(ticks):
            self.now_s += TICK_S
            for name in NAMES:
                if name not in self.paused:
                    self.step(name)
            self.gossip()
            self.check()

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        self.managers[name] = make_manager(name, self.now_s)
        self.paused.discard(name)

    @rule(name=st.sampled_from(NAMES))
    def pause(self, name):
        self.paused.add(name)

    @rule()
    def pause_holder(self):
        self.paused.update(self.holders())

    @rule()
    def resume(self):
        # A resumed daemon may call before it does anything else.
        self.paused.clear()
        self.check()

    @rule(name=st.sampled_from(NAMES))
    def cut(self, name):
        self.cut_off ^= {name}

    @rule(
        name=st.sampled_from(NAMES),
        outcome=st.sampled_from(("lost answer", "lost", "delayed", "late", "slow")),
    )
    def disturb(self, name, outcome):
        """Lose or delay what belongs to the next write of a daemon."""
        self.disturbed[name] = outcome

    def holders(self):
        return {
            name
            for name, manager in self.managers.items()
            if manager.may_act(self.now_s)
        }

    def gossip(self):
        linked = [self.managers[name] for name in NAMES if name not in self.unheard()]
        for source in linked:
            for receiver in linked:
                if source.beacon is not None:
                    receiver.hear(source.beacon, self.now_s)

    def unheard(self):
        return self.paused | self.cut_off

    def step(self, name):
        manager = self.managers[name]
        command = manager.next_command(self.now_s, NAMES.index(name))
        if isinstance(command, ReadLease):
            manager.on_read(self.now_s, self.lease, self.lease_revision, self.era)
        elif command is not None:
            self.write(name, manager, command, self.disturbed.pop(name, "ok"))

    def write(self, name, manager, command, outcome):
        if outcome == "delayed":
            self.delayed.append(Write(name, command, manager))
        if outcome in ("lost", "delayed"):
            manager.on_unavailable(self.now_s)
            return
        applied = self.apply(command)
        revision = self.lease_revision
        if outcome == "lost answer":
            manager.on_unavailable(self.now_s)
            return
        if outcome == "late":
            self.now_s += 0.6
        if outcome == "slow":
            self.now_s += 3.2
        if applied:
            manager.on_written(self.now_s, command, revision, self.era)
        else:
            manager.on_conflict(self.now_s)

    def apply(self, command):
        if command.if_revision != self.lease_revision:
            return False
        self.copies.append((self.lease, self.lease_revision, self.revision))
        self.copies = self.copies[-6:]
        self.revision += 1
        self.lease, self.lease_revision = command.lease, self.revision
        return True

    @precondition(lambda self: self.delayed)
    @rule()
    def deliver(self):
        self.apply(self.delayed.pop(0).command)

    @precondition(lambda self: self.copies and self.era < 2)
    @rule(back=st.integers(1, 6))
    def restore(self, back):
        copy = self.copies[-min(back, len(self.copies))]
        self.lease, self.lease_revision, self.revision = copy
        self.copies.clear()
        self.era += 1

    @invariant()
    def check(self):
        holders = self.holders() - self.paused
        assert len(holders) <= 1
        for name in holders:
            self.call(name, self.managers[name].epoch)

    def call(self, name, epoch):
        """Check a call against all earlier ones, as the API does."""
        if self.calls:
            _, last_name, last_epoch = self.calls[-1]
            assert epoch >= last_epoch
            assert epoch > last_epoch or name == last_name
        if self.calls and name != self.calls[-1][1]:
            earlier = [time_s for time_s, caller, _ in self.calls if caller == name]
            assert not earlier or self.now_s - earlier[-1] >= TIMES.lease_s
        self.calls.append((self.now_s, name, epoch))


def test_holders_exclude_each_other():
    """Guards against two holders at a time, in an epoch, or in turns."""
    run_state_machine_as_test(
        LeaseMachine,
        settings=settings(
            max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
        ),
    )


def walk(random):
    """Apply many more faults to one fleet than hypothesis combines."""
    machine = LeaseMachine()
    machine.begin()
    actions = [
        *[lambda: machine.run(random.choice((1, 4, 11, 16)))] * 12,
        *[lambda: machine.cut(random.choice(NAMES))] * 4,
        *[
            lambda: machine.disturb(
                random.choice(NAMES),
                random.choice(("lost answer", "lost", "delayed", "late", "slow")),
            )
        ]
        * 4,
        lambda: machine.pause(random.choice(NAMES)),
        lambda: machine.pause(random.choice(NAMES)),
        machine.pause_holder,
        machine.pause_holder,
        machine.resume,
        machine.resume,
        lambda: machine.restart(random.choice(NAMES)),
        lambda: machine.delayed and machine.deliver(),
        lambda: machine.delayed and machine.deliver(),
        lambda: (
            machine.copies and machine.era < 2 and machine.restore(random.randint(1, 6))
        ),
    ]
    for _ in range(80):
        random.choice(actions)()
        machine.check()
    return len({epoch for _, _, epoch in machine.calls})


def test_holders_exclude_each_other_under_many_faults():
    """Guards against faults of which several have to coincide."""
    epochs = [walk(Random(seed)) for seed in range(300)]
    assert sum(epochs) > 900
