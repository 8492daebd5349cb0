"""Tests of the decision whether the connections to the store are silent."""

from heapq import heappop, heappush
from itertools import count
from math import inf
from random import Random

import pytest

from catkinhollow.relay.documents.probe_plan import (
    LATE_S,
    PROBE_INTERVAL_S,
    ProbeOutcome,
    ProbePlan,
    RenewConnections,
    ReportSilence,
    SendProbe,
)

ROUND_TRIP_S = 0.02
DETECTION_S = 1.6


class Path:
    """Answer probes in virtual time after the delay that the test gives."""

    def __init__(self, delay_s, outcome=ProbeOutcome.ANSWERED):
        self.plan = ProbePlan()
        self.delay_s = delay_s
        self.outcome = outcome
        self.kept_since_s = 0.0
        self.sent = []
        self.renewals = []
        self.reports = []
        self._events = []
        self._order = count()

    def run(self, end_s):
        now_s = 0.0
        while now_s < end_s:
            self._apply(self.plan.check(now_s), now_s)
            next_s = self._events[0][0] if self._events else inf
            now_s = min(next_s, self.plan.due_s)
            while self._events and self._events[0][0] <= now_s:
                _, _, number, outcome = heappop(self._events)
                self._apply(self.plan.record(number, outcome, now_s), now_s)

    def _apply(self, commands, now_s):
        for command in commands:
            match command:
                case SendProbe(number=number, fresh=fresh):
                    self.sent.append((now_s, fresh))
                    opened_s = now_s if fresh else self.kept_since_s
                    self._send(number, now_s, opened_s)
                case RenewConnections():
                    self.kept_since_s = now_s
                    self.renewals.append(now_s)
                case ReportSilence():
                    self.reports.append(now_s)

    def _send(self, number, now_s, opened_s):
        delay_s = self.delay_s(now_s, opened_s)
        outcome = self.outcome
        if delay_s > 3.0:
            delay_s, outcome = 3.0, ProbeOutcome.FAILED
        event = (now_s + delay_s, next(self._order), number, outcome)
        heappush(self._events, event)


def silent_at(*times_s):
    """Return a delay: connections opened before the last time are silent."""

    def delay_s(now_s, opened_s):
        last_s = max((at_s for at_s in times_s if at_s <= now_s), default=-1.0)
        return inf if opened_s < last_s else ROUND_TRIP_S

    return delay_s


@pytest.mark.parametrize("phase", range(20))
def test_silence_is_detected_in_time_at_each_moment(phase):
    """Guards against a version that is late because no follower sees it."""
    silent_s = 30.0 + PROBE_INTERVAL_S * phase / 20
    path = Path(silent_at(silent_s))
    path.run(60.0)
    assert len(path.renewals) == 1
    assert 0.0 <= path.renewals[0] - silent_s <= DETECTION_S
    assert path.reports == []


def test_repeated_silence_is_detected_each_time():
    """Guards against a plan that works once."""
    times_s = [20.0 + 6.0 * n for n in range(10)]
    path = Path(silent_at(*times_s))
    path.run(120.0)
    assert len(path.renewals) == len(times_s)
    for silent_s, renewed_s in zip(times_s, path.renewals, strict=True):
        assert renewed_s - silent_s <= DETECTION_S


@pytest.mark.parametrize("answer_s", [0.1, 0.5, 0.69, 0.8, 1.5, 2.9])
def test_slow_store_is_not_taken_for_silent(answer_s):
    """Guards against watches that a slow store has to serve again."""
    path = Path(lambda now_s, opened_s: answer_s)
    path.run(60.0)
    assert path.renewals == []


@pytest.mark.parametrize("seed", range(5))
def test_store_with_varying_delays_causes_few_renewals(seed):
    """Guards against a slow store that gets ever more calls."""
    random = Random(seed)
    path = Path(lambda now_s, opened_s: random.uniform(0.0, 2.5))
    path.run(300.0)
    assert len(path.renewals) <= 5 + 300.0 / 32.0


def test_probes_at_rest_are_few():
    """Guards against a price for probes above that of the watches."""
    path = Path(silent_at())
    path.run(100.0)
    assert len(path.sent) <= 100.0 / PROBE_INTERVAL_S + 1
    assert not any(fresh for _, fresh in path.sent)


def test_store_that_is_away_is_reported_once_and_probed_rarely():
    """Guards against a storm of connects to a store that is away."""

    def delay_s(now_s, opened_s):
        return inf if 10.0 <= now_s < 40.0 else ROUND_TRIP_S

    path = Path(delay_s)
    path.run(60.0)
    assert len(path.reports) == 1
    assert path.reports[0] <= 10.0 + PROBE_INTERVAL_S + LATE_S + 1.1
    during = [at_s for at_s, _ in path.sent if 10.0 <= at_s < 40.0]
    assert len(during) <= 33
    # What was sent on the open connections during the outage is lost.
    assert len(path.renewals) == 1
    assert path.renewals[0] <= 41.2


def test_store_that_refuses_probes_is_not_silent():
    """Guards against renewals because of an overloaded store."""
    path = Path(silent_at(), ProbeOutcome.REFUSED)
    path.run(60.0)
    assert path.renewals == []
    assert path.reports == []


def test_connection_that_is_reset_is_not_silent():
    """Guards against renewals whenever the store closes a connection."""
    path = Path(silent_at(), ProbeOutcome.FAILED)
    path.run(60.0)
    assert path.renewals == []
    assert len(path.sent) <= 60.0 / PROBE_INTERVAL_S + 1
