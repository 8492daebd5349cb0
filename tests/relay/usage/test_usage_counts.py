"""Tests of the counts of runs by window and organisation."""

from random import Random

from catkinhollow.codec import encode_message
from catkinhollow.generated.relay import UsagePart, UsageReceipt
from catkinhollow.relay.usage.counts import FleetCounts, RunCounter, Source
from catkinhollow.relay.usage.window_clock import STEP_CONFIRM_S, WindowClock


def make_part(window, **counts):
    return UsagePart(window=window, counts=counts)


def test_lost_repeated_and_reordered_parts_change_nothing():
    """Guards against runs that are counted twice or not at all."""
    random = Random(1)
    counters = {Source(f"d{number}:1", 1): RunCounter() for number in range(5)}
    fleet = FleetCounts()
    true_counts = {}
    on_the_way = []
    for _ in range(2000):
        source, counter = random.choice(list(counters.items()))
        organisation, window = random.choice("abc"), random.choice((7, 8))
        counter.count(organisation, window)
        key = window, organisation
        true_counts[key] = true_counts.get(key, 0) + 1
        if random.random() < 0.2:
            on_the_way.append((source, counter.unreceived()))
        if on_the_way and random.random() < 0.2:
            source, parts = random.choice(on_the_way)
            receipts = fleet.merge(source, parts, decided=6, current=8)
            if random.random() < 0.5:
                counters[source].receive(receipts)
    for source, counter in counters.items():
        fleet.merge(source, counter.unreceived(), decided=6, current=8)
    counted = {
        (window, organisation): runs
        for window in (7, 8)
        for organisation, runs in fleet.totals(window).items()
    }
    assert counted == true_counts
    assert fleet.late_runs == 0


def test_restarted_daemon_adds_to_what_it_has_sent_before():
    """Guards against a restart that hides the earlier runs of a window."""
    fleet = FleetCounts()
    fleet.merge(Source("d:1", 1), [make_part(3, a=5)], decided=2, current=3)
    fleet.merge(Source("d:1", 2), [make_part(3, a=2)], decided=2, current=3)
    assert fleet.totals(3) == {"a": 7}


def test_late_runs_are_counted_once():
    """Guards against late runs that no metric shows, or shows twice."""
    fleet = FleetCounts()
    source = Source("d:1", 1)
    fleet.merge(source, [make_part(3, a=5)], decided=2, current=4)
    for _ in range(3):
        fleet.merge(source, [make_part(3, a=7)], decided=3, current=4)
    assert fleet.late_runs == 2


def test_counts_from_a_wrong_clock_do_not_fill_the_memory():
    """Guards against windows far in the future, and negative counts."""
    fleet = FleetCounts()
    parts = [make_part(900, a=5), make_part(4, a=-3)]
    receipts = fleet.merge(Source("d:1", 1), parts, decided=2, current=4)
    assert receipts == [UsageReceipt(window=4, runs=0)]
    assert fleet.totals(900) == {}


def test_next_holder_gets_the_open_windows_again():
    """Guards against runs that only a lost holder knows."""
    counter = RunCounter()
    for window in (3, 4, 4):
        counter.count("a", window)
    counter.receive([UsageReceipt(window=3, runs=1), UsageReceipt(window=4, runs=2)])
    assert counter.unreceived() == []
    counter.change_holder(decided=3)
    assert counter.unreceived() == [make_part(4, a=2)]


def test_runs_that_no_holder_received_are_reported_as_lost():
    """Guards against runs that disappear without a trace."""
    counter = RunCounter()
    for window in (3, 3, 4, 5):
        counter.count("a", window)
    counter.receive([UsageReceipt(window=3, runs=1)])
    assert counter.forget_before(5) == 2
    assert [part.window for part in counter.unreceived()] == [5]


def test_size_of_a_part_does_not_depend_on_the_fleet():
    """Guards against messages that grow with the number of daemons."""
    counter = RunCounter()
    for number in range(730):
        counter.count(f"organisation-{number % 73}", 1_700_000_000 // 5)
    (part,) = counter.unreceived()
    assert len(encode_message(part)) < 2000


def test_clock_is_corrected_slowly():
    """Guards against windows that move with a clock that is slewed."""
    clock = WindowClock(5.0, 0.0, 1000.0)
    assert clock.correct(10.0, 1010.5) == 0.0
    assert 1010.0 < clock.unix_s(10.0) <= 1010.06
    for tenth in range(101, 1500):
        clock.correct(tenth / 10, 1000.5 + tenth / 10)
    assert abs(clock.unix_s(150.0) - 1150.5) < 0.01


def test_short_step_of_the_wall_clock_changes_nothing():
    """Guards against runs that are counted in windows far away."""
    clock = WindowClock(5.0, 0.0, 1000.0)
    for second in range(1, 20):
        wall_s = 1000.0 + second + (30.0 if 5 <= second < 8 else 0.0)
        assert clock.correct(float(second), wall_s) == 0.0
    assert clock.window(19.0) == 203


def test_lasting_step_is_adopted_and_never_goes_back_in_time():
    """Guards against windows that are counted twice after a step back."""
    clock = WindowClock(5.0, 0.0, 1000.0)
    steps = [clock.correct(float(second), 980.0 + second) for second in range(1, 60)]
    assert [step for step in steps if step] == [-20.0]
    windows = [clock.window(second / 2) for second in range(120)]
    assert windows == sorted(windows)
    adopted_s = 1.0 + STEP_CONFIRM_S
    assert clock.unix_s(adopted_s + 5.0) == 1000.0 + adopted_s
    assert clock.unix_s(59.0) == 1039.0
    assert clock.unix_s(3.0) == 1003.0


def test_suspension_is_no_step():
    """Guards against a suspended machine that falls behind its clock."""
    clock = WindowClock(5.0, 0.0, 1000.0)
    assert clock.correct(600.0, 1600.0) == 0.0
    assert clock.window(600.0) == 320
