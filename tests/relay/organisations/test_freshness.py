"""Tests of the bound for revoked keys, in virtual time."""

from itertools import combinations
from math import inf
from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from catkinhollow.generated.relay import Knowledge
from catkinhollow.relay.organisations.freshness import Freshness, may_run
from catkinhollow.relay.organisations.knowledge_plan import (
    KnowledgePlan,
    PollStore,
    Tell,
)
from catkinhollow.relay.organisations.peer_clocks import PeerClocks

BOUND_S = 5.0
SERVED_SHARE = 0.6


def make_freshness(revision=1):
    freshness = Freshness(bound_s=BOUND_S)
    freshness.enforced(revision)
    return freshness


def make_plan(incarnation=1, started_s=0.0):
    return KnowledgePlan(
        freshness=make_freshness(),
        incarnation=incarnation,
        random=Random(incarnation),
        started_s=started_s,
    )


def test_daemon_without_knowledge_admits_nothing():
    """Guards against a restarted daemon that trusts a configuration."""
    freshness = make_freshness()
    assert not freshness.admits(0.0)
    assert freshness.age_s(1.0) == inf


def test_requests_are_admitted_until_the_bound():
    """Guards against refusals that are too early, and runs too late."""
    freshness = make_freshness()
    freshness.prove(1, 10.0)
    assert freshness.admits(10.0 + SERVED_SHARE * BOUND_S + 1.0)
    assert not freshness.admits(10.0 + 0.95 * BOUND_S)


def test_news_of_a_version_that_has_not_arrived_do_not_count_yet():
    """Guards against a peer's knowledge with an older version in force."""
    freshness = make_freshness(revision=1)
    freshness.prove(1, 10.0)
    assert not freshness.prove(2, 13.0)
    assert freshness.known_s == 10.0
    freshness.enforced(2)
    assert freshness.known_s == 13.0


def test_late_and_repeated_news_change_nothing():
    """Guards against knowledge that a duplicated message makes younger."""
    freshness = make_freshness()
    assert freshness.prove(1, 10.0)
    assert not freshness.prove(1, 10.0)
    assert not freshness.prove(1, 9.0)
    assert freshness.known_s == 10.0


def test_version_that_is_refused_does_not_age_the_knowledge():
    """Guards against a malformed version that stops all requests with keys."""
    freshness = make_freshness()
    freshness.prove(2, 10.0)
    freshness.settled(2)
    assert freshness.known_s == 10.0
    assert freshness.enforced_revision == 1


@pytest.mark.parametrize(
    ("checked", "known", "runs"),
    [(1, True, True), (1, False, False), (2, False, True), (0, False, False)],
)
def test_gate_trusts_an_ingress_daemon_with_a_newer_version(checked, known, runs):
    """Guards against refusals of new keys, and runs for revoked ones."""
    freshness = make_freshness(revision=1)
    freshness.prove(1, 10.0)
    result = may_run(freshness, 11.0, checked_revision=checked, key_is_known=known)
    assert result is runs
    assert not may_run(freshness, 20.0, checked_revision=checked, key_is_known=known)


def test_held_back_message_is_worth_its_age():
    """Guards against news that a silent link delivers after minutes."""
    clocks = PeerClocks()
    # The clock of the peer is 1000 s ahead of the own one.
    clocks.record("p", 7, 1_010_001, echoed_s=10.0, now_s=10.01)
    late_s = clocks.to_own_s("p", 1_011_000, now_s=300.0)
    assert 10.5 < late_s < 11.0


def test_message_without_an_echo_is_worth_nothing():
    """Guards against knowledge whose age depends on the delay of a link."""
    plan = make_plan()
    message = Knowledge(sent_ms=5000, known_ms=5000, revision=1)
    plan.heard("p", 7, message, 100.0, ())
    assert plan.freshness.known_s == -inf


def test_held_back_news_do_not_make_the_knowledge_young():
    """Guards against requests served for minutes during a partition."""
    plan = make_plan(incarnation=1)
    hello = Knowledge(sent_ms=1_010_001, receiver=1, heard_ms=10_000)
    plan.heard("p", 7, hello, 10.01, ())
    news = Knowledge(sent_ms=1_012_001, known_ms=1_011_500, revision=1)
    plan.heard("p", 7, news, 300.0, ())
    assert 11.0 < plan.freshness.known_s < 11.6


def test_echo_for_an_earlier_process_is_ignored():
    """Guards against a bound between the clocks of two machines."""
    plan = make_plan(incarnation=2)
    message = Knowledge(
        sent_ms=5000, known_ms=5000, revision=1, receiver=1, heard_ms=90_000
    )
    plan.heard("p", 7, message, 100.0, ())
    assert plan.freshness.known_s == -inf


def test_bound_of_a_restarted_peer_is_measured_again():
    """Guards against a peer that has moved to a machine with another clock."""
    clocks = PeerClocks()
    clocks.record("p", 7, 1_000_000, echoed_s=10.0, now_s=10.01)
    clocks.record("p", 8, 500, echoed_s=None, now_s=11.0)
    assert clocks.to_own_s("p", 500, 11.0) == -inf


def test_one_follower_asks_the_store_for_all():
    """Guards against calls of the store that grow with the fleet."""
    fleet = Fleet(size=30, followers=4)
    fleet.run_connected(3.0)
    polls = fleet.polls
    fleet.run_connected(20.0)
    assert fleet.polls - polls <= 20.0 / (0.1 * BOUND_S) * 1.5
    ages = [daemon.freshness.age_s(daemon.time_s) for daemon in fleet.daemons]
    assert max(ages) < 0.2 * BOUND_S


def test_messages_at_rest_do_not_grow_with_the_fleet():
    """Guards against a flood of messages in a calm fleet."""
    rates = []
    for size in (10, 60):
        fleet = Fleet(size=size, followers=4)
        fleet.run_connected(3.0)
        sent = fleet.sent
        fleet.run_connected(10.0)
        rates.append((fleet.sent - sent) / 10.0 / size)
    assert rates[1] < 1.5 * rates[0]
    assert rates[1] < 20.0


def test_daemons_on_slower_links_do_not_answer_each_other_forever():
    """Guards against questions that each answer repeats.

    The first exchange is fast, and no later one gives a better bound.
    """
    fleet = Fleet(size=2, followers=1)
    fleet.run_connected(1.0)
    sent = fleet.sent
    for _ in range(200):
        fleet.now_s += 0.1
        for daemon in fleet.daemons:
            daemon.check()
        for _ in range(len(fleet.messages)):
            fleet.deliver(0)
        while fleet.open_polls:
            fleet.answer_poll(0)
    assert fleet.sent - sent < 200


def test_daemon_that_alone_reaches_the_store_asks_it():
    """Guards against refusals where a direct path to the store is left."""
    fleet = Fleet(size=3, followers=1)
    fleet.run_connected(3.0)
    fleet.cut = {(0, 1), (0, 2), (1, 2)}
    fleet.no_store = {0}
    fleet.run_connected(20.0)
    admits = [daemon.admits for daemon in fleet.daemons]
    assert admits == [False, True, True]


def test_daemon_with_one_path_through_a_peer_stays_in_touch():
    """Guards against refusals where a peer still reaches the store."""
    fleet = Fleet(size=4, followers=1)
    fleet.run_connected(3.0)
    fleet.no_store = {1, 2, 3}
    fleet.cut = {(0, 2), (0, 3), (1, 3)}
    fleet.run_connected(20.0)
    assert all(daemon.admits for daemon in fleet.daemons)


def test_fleet_that_loses_the_store_refuses_and_recovers():
    """Guards against requests served too long, and an outage that stays."""
    fleet = Fleet(size=6, followers=2)
    fleet.run_connected(3.0)
    fleet.no_store = set(range(6))
    fleet.run_connected(SERVED_SHARE * BOUND_S)
    assert all(daemon.admits for daemon in fleet.daemons)
    fleet.run_connected(BOUND_S - SERVED_SHARE * BOUND_S)
    assert not any(daemon.admits for daemon in fleet.daemons)
    fleet.no_store = set()
    fleet.run_connected(0.3 * BOUND_S)
    assert all(daemon.admits for daemon in fleet.daemons)


class Daemon:
    """Represent one daemon with a clock of its own."""

    def __init__(self, fleet, number, *, is_follower):
        self.fleet = fleet
        self.number = number
        self.address = str(number)
        self.is_follower = is_follower
        # Clocks of machines start at different times and drift.
        self.offset_s = 1000.0 * (number + 1) * (number % 3 + 0.123)
        self.rate = 1.0 + 0.0003 * (number % 3 - 1)
        self.paused = False
        self.keys = fleet.versions[0][1]
        self.restart()

    def restart(self):
        self.incarnation = self.fleet.next_incarnation()
        self.plan = KnowledgePlan(
            freshness=Freshness(bound_s=BOUND_S),
            incarnation=self.incarnation,
            random=Random(self.incarnation),
            started_s=self.time_s,
        )
        self.plan.settled(1, self.time_s, (), enforced=True)
        self.keys = self.fleet.versions[0][1]

    @property
    def freshness(self):
        return self.plan.freshness

    @property
    def time_s(self):
        return self.offset_s + self.fleet.now_s * self.rate

    @property
    def admits(self):
        return self.freshness.admits(self.time_s)

    @property
    def neighbours(self):
        """Return the daemons next to this one on two rings."""
        size, found = len(self.fleet.daemons), []
        for step in (1, -1, 5, -5):
            number = (self.number + step) % size
            if number != self.number and str(number) not in found:
                found.append(str(number))
        return [
            address
            for address in found
            if self.fleet.is_open(self.number, int(address))
        ]

    def execute(self, commands):
        for command in commands:
            if isinstance(command, PollStore):
                self.fleet.start_poll(self)
            else:
                assert isinstance(command, Tell)
                self.fleet.send(self, int(command.address), command.message)

    def check(self):
        self.execute(
            self.plan.check(self.time_s, self.neighbours, is_follower=self.is_follower)
        )

    def enforce(self, revision):
        if revision > self.freshness.enforced_revision:
            self.keys = self.fleet.versions[revision - 1][1]
            neighbours = self.neighbours
            self.execute(
                self.plan.settled(revision, self.time_s, neighbours, enforced=True)
            )
            for address in neighbours:
                self.fleet.send(self, int(address), revision)

    def receive(self, sender, incarnation, message):
        if isinstance(message, int):
            self.enforce(message)
            return
        address, neighbours = str(sender), self.neighbours
        self.execute(
            self.plan.heard(address, incarnation, message, self.time_s, neighbours)
        )


class Fleet:
    """Simulate daemons, the store, and the messages between them."""

    def __init__(self, size, followers):
        self.now_s = 0.0
        self.versions = [(0.0, frozenset("ab"))]
        self.messages = []
        self.open_polls = []
        self.polls = self.sent = 0
        self.cut = set()
        self.no_store = set()
        self._incarnation = 0
        self.daemons = []
        self.daemons = [
            Daemon(self, number, is_follower=number < followers)
            for number in range(size)
        ]
        for daemon in self.daemons:
            for address in daemon.neighbours:
                daemon.execute(daemon.plan.link_up(address, daemon.time_s))

    def next_incarnation(self):
        self._incarnation += 1
        return self._incarnation

    def is_open(self, first, second):
        return (min(first, second), max(first, second)) not in self.cut

    def send(self, daemon, receiver, message):
        self.sent += 1
        self.messages.append([daemon.number, daemon.incarnation, receiver, message])

    def start_poll(self, daemon):
        self.polls += 1
        self.open_polls.append([daemon, daemon.incarnation, daemon.time_s, None])

    def write(self, keys):
        self.versions.append((self.now_s, frozenset(keys)))

    def deliver(self, index):
        sender, incarnation, receiver, message = self.messages.pop(index)
        daemon = self.daemons[receiver]
        if self.is_open(sender, receiver) and not daemon.paused:
            daemon.receive(sender, incarnation, message)

    def answer_poll(self, index):
        """Let the store answer a call, or the answer arrive."""
        daemon, incarnation, asked_s, newest = self.open_polls[index]
        if newest is None:
            if daemon.number in self.no_store:
                del self.open_polls[index]
            else:
                self.open_polls[index][3] = len(self.versions)
            return
        del self.open_polls[index]
        if daemon.paused or daemon.incarnation != incarnation:
            return
        daemon.enforce(newest)
        daemon.execute(
            daemon.plan.store_answered(
                newest, asked_s, daemon.time_s, daemon.neighbours
            )
        )

    def run_connected(self, duration_s):
        """Let time pass while what is sent arrives at once."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += 0.05
            for daemon in self.daemons:
                if not daemon.paused:
                    daemon.check()
            self.now_s += 0.005
            while self.messages:
                self.deliver(0)
            while self.open_polls:
                self.answer_poll(0)
            while self.messages:
                self.deliver(0)

    def is_valid(self, key):
        """Return whether a run for a key keeps the bound now."""
        ends = [written_s for written_s, _ in self.versions[1:]] + [inf]
        return any(
            key in keys and end_s >= self.now_s - BOUND_S
            for (_, keys), end_s in zip(self.versions, ends, strict=True)
        )


DAEMONS = st.integers(0, 3)
LINKS = list(combinations(range(4), 2))
KEYS = "ab"


class Delays:
    """Delay, lose and repeat messages at random.

    Most arrive at once; links that go silent hold others back for seconds.
    """

    def __init__(self, random):
        self.random = random

    def draw_s(self):
        if self.random.random() < 0.8:
            return self.random.uniform(0.0, 0.02)
        return self.random.uniform(0.0, 1.2 * BOUND_S)

    def loses(self, message):
        # All copies of a version may be lost.
        share = 0.6 if isinstance(message, int) else 0.05
        return self.random.random() < share

    def repeats(self):
        return self.random.random() < 0.05


class FaultyRun:
    """Let a fleet run while calls, messages and answers wait."""

    def __init__(self, fleet, random, calls):
        self.fleet = fleet
        self.random = random
        self.delays = Delays(random)
        # Calls with a key: when they are to start, gate, key and revision.
        self.calls = calls
        self.due = {}
        self.runs = 0

    def run(self, duration_s, check):
        end_s = self.fleet.now_s + duration_s
        while self.fleet.now_s < end_s:
            self.fleet.now_s += 0.05
            for daemon in self.fleet.daemons:
                if not daemon.paused:
                    daemon.check()
            self._deliver(self.fleet.messages, self._deliver_message)
            self._deliver(self.fleet.open_polls, self.fleet.answer_poll)
            self._request()
            self._start_runs()
            check()

    def _deliver(self, waiting, deliver):
        """Deliver what is due, the last one first."""
        due = [item for item in reversed(waiting) if self._is_due(item)]
        for item in due:
            index = next(i for i, other in enumerate(waiting) if other is item)
            deliver(index)

    def _is_due(self, item):
        # An answered call of the store waits again until the answer arrives.
        key = (id(item), item[3])
        if key not in self.due:
            self.due[key] = (self.fleet.now_s + self.delays.draw_s(), item)
        return self.due[key][0] <= self.fleet.now_s

    def _deliver_message(self, index):
        message = self.fleet.messages[index]
        if self.delays.repeats():
            self.fleet.messages.append(list(message))
        if self.delays.loses(message[3]):
            del self.fleet.messages[index]
        else:
            self.fleet.deliver(index)

    def _request(self):
        daemon, gate = self.random.choices(self.fleet.daemons, k=2)
        key = self.random.choice(KEYS)
        if key in daemon.keys and daemon.admits and not daemon.paused:
            starts_s = self.fleet.now_s + self.delays.draw_s()
            revision = daemon.freshness.enforced_revision
            self.calls.append((starts_s, gate.number, key, revision))

    def _start_runs(self):
        waiting, self.calls[:] = list(self.calls), []
        for call in waiting:
            starts_s, number, key, revision = call
            gate = self.fleet.daemons[number]
            if starts_s > self.fleet.now_s or gate.paused:
                self.calls.append(call)
            elif may_run(
                gate.freshness,
                gate.time_s,
                checked_revision=revision,
                key_is_known=key in gate.keys,
            ):
                self.runs += 1
                assert self.fleet.is_valid(key)


class Revocations(RuleBasedStateMachine):
    """Partition, pause and restart daemons while keys come and go."""

    @initialize()
    def start(self):
        self.fleet = Fleet(size=4, followers=1)
        self.calls = []
        self.settle()

    @rule(
        duration_s=st.sampled_from([0.5, 1.5, 4.0, 8.0]),
        seed=st.integers(0, 2**32),
    )
    def run(self, duration_s, seed):
        faulty = FaultyRun(self.fleet, Random(seed), self.calls)
        faulty.run(duration_s, self.check_daemons)

    @rule(step_s=st.sampled_from([0.1, 1.0, 3.0, 30.0]))
    def stand_still(self, step_s):
        """Let time pass in which no daemon does anything."""
        self.fleet.now_s += step_s

    @rule(
        keys=st.sampled_from([None, "", "a", "b", "ab"]),
        no_store=st.sets(DAEMONS) | st.just({0, 1, 2, 3}),
        cut=st.sets(st.sampled_from(LINKS)) | st.just(set(LINKS)),
    )
    def write_and_partition(self, keys, no_store, cut):
        """Let all links change at the moment of a write."""
        if keys is not None:
            self.fleet.write(keys)
        self.fleet.no_store, before = no_store, self.fleet.cut
        self.fleet.cut = cut
        for pair in before ^ cut:
            for own, other in (pair, pair[::-1]):
                daemon = self.fleet.daemons[own]
                if pair in cut:
                    daemon.plan.forget(str(other))
                elif not daemon.paused:
                    daemon.execute(daemon.plan.link_up(str(other), daemon.time_s))

    @rule(cut=st.sets(st.sampled_from(LINKS)), seed=st.integers(0, 2**32))
    def revoke_while_the_store_is_lost(self, cut, seed):
        """Revoke all keys while only what was sent before can still arrive."""
        self.run(1.5, seed)
        self.write_and_partition("", {0, 1, 2, 3}, cut)
        self.run(8.0, seed + 1)

    @rule(number=DAEMONS)
    def toggle_pause(self, number):
        daemon = self.fleet.daemons[number]
        daemon.paused = not daemon.paused

    @rule(number=DAEMONS)
    def restart(self, number):
        self.fleet.daemons[number].restart()
        self.settled_s[number] = -inf

    @rule()
    def settle(self):
        """Let all daemons reach the store and each other for some time."""
        fleet = self.fleet
        fleet.cut, fleet.no_store = set(), set()
        for daemon in fleet.daemons:
            daemon.paused = False
            # What a daemon lacks is sent when digests are compared.
            daemon.enforce(len(fleet.versions))
            for address in daemon.neighbours:
                daemon.execute(daemon.plan.link_up(address, daemon.time_s))
        fleet.run_connected(3.0)
        self.settled_s = [fleet.now_s] * 4

    @invariant()
    def check_daemons(self):
        for daemon, settled_s in zip(self.fleet.daemons, self.settled_s, strict=True):
            if daemon.admits:
                assert all(self.fleet.is_valid(key) for key in daemon.keys)
            if self.fleet.now_s - settled_s <= SERVED_SHARE * BOUND_S:
                assert daemon.admits


TestRevocations = Revocations.TestCase
TestRevocations.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=25
)


def test_faulty_runs_start_calls():
    """Guards against checks of the bound that no run ever reaches."""
    fleet = Fleet(size=4, followers=1)
    fleet.run_connected(2.0)
    faulty = FaultyRun(fleet, Random(1), [])
    faulty.run(10.0, lambda: None)
    assert faulty.runs > 50
