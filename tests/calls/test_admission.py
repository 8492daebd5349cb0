"""Tests of backer shares and of shedding by priority."""

from catkinhollow.calls.admission import (
    DEFAULT_ACCOUNT,
    ServiceAdmission,
    call_priority,
)
from catkinhollow.generated.fleet import Backer, Route, Service
from tests.builders import LOOKUP, ORDER


def make_admission(**shares):
    admission = ServiceAdmission()
    backers = [Backer(name=name, share_percent=value) for name, value in shares.items()]
    admission.configure(Service(name="orders", backers=backers), [LOOKUP, ORDER])
    return admission


def admit(admission, backer, count, now_s, route=ORDER):
    """Return how many of the calls are admitted with 100 slots."""
    account, priority = admission.account(backer), call_priority(route)
    return sum(admission.admit(account, priority, 100.0, now_s) for _ in range(count))


def release(admission, backer, count, now_s, route=ORDER):
    for _ in range(count):
        admission.release(admission.account(backer), call_priority(route), now_s)


def test_surge_of_one_backer_leaves_the_others_their_share():
    """Guards against a backer that takes the share another one uses."""
    admission = make_admission(a=40, b=40)
    assert admit(admission, "b", 30, 0.0) == 30
    assert admit(admission, "a", 200, 0.0) == 65
    assert admit(admission, "b", 5, 0.1) == 5
    release(admission, "b", 35, 0.2)
    assert admit(admission, "a", 200, 0.2) < 5
    assert admit(admission, "b", 33, 0.2) == 33


def test_unused_share_is_lent_and_given_back():
    """Guards against idle reserved slots and a share that stays lent out."""
    admission = make_admission(a=50, b=50)
    assert admit(admission, "a", 200, 0.0) == 95
    assert admit(admission, "b", 20, 0.0) == 5
    release(admission, "a", 20, 0.1)
    assert admit(admission, "a", 20, 0.1) == 0
    assert admit(admission, "b", 20, 0.1) == 20


def test_unknown_callers_use_what_is_not_guaranteed():
    """Guards against callers without a backer in guaranteed capacity."""
    admission = make_admission(a=90)
    assert admission.account("nobody") == DEFAULT_ACCOUNT
    assert admit(admission, "nobody", 200, 0.0) == 70
    assert admit(admission, "a", 200, 0.0) == 30
    full = make_admission(a=90)
    assert admit(full, "a", 80, 0.0) == 80
    assert admit(full, "", 20, 0.0) == 10


def test_under_overload_lookups_are_shed_before_orders():
    """Guards against orders refused because lookups use all slots."""
    browse = Route(name="browse", service="orders", path_prefix="/b", worth=500)
    assert call_priority(LOOKUP) < call_priority(browse) < call_priority(ORDER)
    admission = make_admission()
    assert admit(admission, "", 200, 0.0, LOOKUP) == 95
    assert admit(admission, "", 30, 0.0) == 5
    release(admission, "", 40, 0.1, LOOKUP)
    assert admit(admission, "", 200, 0.1, LOOKUP) < 20
    assert admit(admission, "", 25, 0.1) >= 20
    release(admission, "", 25, 0.2)
    assert admit(admission, "", 200, 9.0, LOOKUP) > 20


def test_waiting_call_outlives_its_backer_and_its_priority():
    """Guards against a crash when a configuration removes a waiting backer."""
    admission = make_admission(a=40)
    assert admit(admission, "a", 1, 0.0) == 1
    release(admission, "a", 1, 0.1)
    account, priority = admission.account("a"), call_priority(ORDER)
    admission.configure(Service(name="orders"), [LOOKUP])
    admitted = [admission.admit(account, priority, 10.0, 1.0) for _ in range(12)]
    assert admitted.count(True) == 7
    for _ in range(7):
        admission.release(account, priority, 1.5)
    assert admission.in_flight == 0
