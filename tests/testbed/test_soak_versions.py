"""Tests of the check that versions are enforced in time."""

import pytest

from catkinhollow.testbed.soak_versions import (
    TouchRecord,
    VersionAnswer,
    VersionLedger,
)

FIRST_PROCESS = 1


class Clock:
    """Return a time that a test sets."""

    def __init__(self):
        self.now_s = 0.0

    def monotonic(self):
        return self.now_s

    def unix_ms(self):
        return 0


class Site:
    """Record faults, versions and answers at given times."""

    def __init__(self):
        self._clock = Clock()
        self.touch = TouchRecord(["d0", "d1"], self._clock)
        self.ledger = VersionLedger(self.touch)

    def disturb(self, begin_s, end_s, *instances):
        self._clock.now_s = begin_s
        with self.touch.disturb(instances):
            self._clock.now_s = end_s

    def answer(
        self, sent_s, status, *, version=1, dropped=False, process=FIRST_PROCESS
    ):
        self.ledger.record_answer(
            VersionAnswer(
                instance="d0",
                process=process,
                version=version,
                dropped=dropped,
                sent_s=sent_s,
                answered_s=sent_s + 0.01,
                status=status,
            )
        )

    @property
    def kinds(self):
        return [violation.kind for violation in self.ledger.find_violations()]


@pytest.fixture
def site():
    site = Site()
    site.ledger.record_version(1, 10.0)
    return site


@pytest.mark.parametrize(
    ("sent_s", "status", "kinds"),
    [
        (11.9, 404, []),
        (12.1, 404, ["configuration"]),
        (12.1, 200, []),
        # The version is in force, but no target answers.
        (12.1, 503, []),
        (12.1, 0, []),
    ],
)
def test_missing_route_after_the_time_limit_is_reported(site, sent_s, status, kinds):
    """Guards against versions that are late and not noticed."""
    site.answer(sent_s, status)
    assert site.kinds == kinds


def test_route_that_a_version_has_dropped_is_reported(site):
    """Guards against requests that only an older version allows."""
    site.ledger.record_version(2, 20.0)
    site.answer(21.9, 200, dropped=True)
    assert site.kinds == []
    site.answer(22.1, 404, dropped=True)
    assert site.kinds == []
    site.answer(22.1, 200, dropped=True)
    assert site.kinds == ["configuration"]


@pytest.mark.parametrize(
    ("begin_s", "end_s", "instance", "is_judged"),
    [
        (12.0, 12.0, "d0", False),
        (12.0, 12.0, "d1", True),
        (11.9, 11.9, "d0", True),
        # A fault that lasts counts until its end.
        (5.0, 12.1, "d0", False),
        (5.0, 11.9, "d0", True),
        # A fault while the request is open.
        (15.005, 15.005, "d0", False),
        (15.1, 15.1, "d0", True),
    ],
)
def test_only_daemons_in_touch_are_judged(site, begin_s, end_s, instance, is_judged):
    """Guards against excuses for daemons that no fault disturbs."""
    site.disturb(begin_s, end_s, instance)
    site.answer(15.0, 404)
    assert site.kinds == (["configuration"] if is_judged else [])
    assert site.ledger.judged == int(is_judged)


def test_fault_that_has_not_ended_disturbs(site):
    """Guards against daemons that are judged during a fault."""
    with site.touch.disturb(["d0"]):
        site.answer(15.0, 404)
        assert site.kinds == []
        assert not site.touch.all_in_touch(15.0, 16.0)


def test_older_answer_after_a_newer_one_is_a_regression(site):
    """Guards against daemons that go back to an older version unnoticed."""
    site.ledger.record_version(2, 20.0)
    # Out of touch, so that only the regression counts.
    site.disturb(0.0, 100.0, "d0")
    site.answer(20.1, 200, version=2)
    site.answer(20.3, 404)
    assert site.kinds == []
    # Version 2 includes version 1, and another process may start behind.
    site.answer(20.5, 404, process=2)
    assert site.kinds == []
    site.answer(20.5, 404)
    assert site.kinds == ["regression"]


@pytest.mark.parametrize(("stall_end_s", "is_judged"), [(12.1, False), (11.9, True)])
def test_versions_that_a_stalled_test_process_holds_back_are_not_judged(
    site, stall_end_s, is_judged
):
    """Guards against reported delays that the test process itself caused."""
    site.touch.record_stall(11.0, stall_end_s)
    site.answer(15.0, 404)
    assert site.kinds == (["configuration"] if is_judged else [])


def test_version_is_not_judged_at_a_daemon_without_a_core(site):
    """Guards against reported delays that the machine caused."""
    site.touch.record_starvation("d1", 10.0, 12.5)
    site.answer(15.0, 404)
    assert site.kinds == ["configuration"]
    site.touch.record_starvation("d0", 10.0, 12.5)
    assert site.kinds == []


def test_checker_asks_for_the_newest_version_that_is_due(site):
    """Guards against checks that only ask for versions without a bound."""
    site.ledger.record_version(2, 11.0)
    assert site.ledger.newest == 2
    assert site.ledger.newest_due(11.9) == 0
    assert site.ledger.newest_due(12.1) == 1
    assert site.ledger.newest_due(13.1) == 2
