"""Tests of the choice among versions, failure domains and targets."""

from collections import Counter

import pytest
from attrs import evolve

from catkinhollow.generated.fleet import Service, VersionWeight
from catkinhollow.generated.messages import MemberState, TargetState
from tests.builders import (
    OK,
    make_fleet,
    make_member,
    make_router,
    send_call,
    send_orders,
)


def split(v1, v2):
    weights = {"v1": v1, "v2": v2}.items()
    split = [VersionWeight(version=name, percent=value) for name, value in weights]
    return make_fleet(Service(name="orders", split=split))


def versions(entries):
    return Counter(entry.record.version for entry in entries)


def test_calls_overflow_to_the_region_and_then_elsewhere():
    """Guards against calls to far targets while near ones are free."""
    others = [make_member(1, "fd1", slots=5), make_member(2, "fd2", "r1", slots=5)]
    sent = send_orders(make_router([make_member(0, slots=5), *others]), 16)
    domains = [entry.failure_domain for entry in sent]
    assert domains == ["fd0"] * 5 + ["fd1"] * 5 + ["fd2"] * 5


@pytest.mark.parametrize("configuration", [split(80, 20), None])
def test_load_follows_the_split_or_else_the_capacity(configuration):
    """Guards against excess load on a version or a small target."""
    second = {"version": "v2", "slots": 10} if configuration else {"slots": 2}
    members = [make_member(0, slots=8), make_member(1, **second)]
    router, sent = make_router(members, configuration), []
    for number in range(2000):
        call, entry = send_call(router, 1000.0 + number * 0.01)
        call.finish_attempt(OK, 1000.0 + number * 0.01)
        sent.append(entry.record.address)
    assert 340 < sent.count("t1:1") < 460


def test_without_a_split_only_the_version_that_started_first_gets_calls():
    """Guards against traffic on a new version before any move to it."""
    members = [
        make_member(0, slots=2, started_ms=20, state=MemberState.SUSPECT),
        make_member(1, version="v0", started_ms=30),
        make_member(2, slots=1, started_ms=40),
        make_member(3, version="v0", started_ms=10, state=MemberState.DEAD),
    ]
    router = make_router(members)
    assert versions(send_orders(router, 9)) == {"v1": 3}
    router.quarantine("orders", "v1", 1000.0)
    assert versions(send_orders(router, 9)).keys() == {"v0"}


def test_share_of_a_cold_version_goes_to_the_other():
    """Guards against forcing a version's share on its cold targets."""
    members = [make_member(0), make_member(1, version="v2", started_ms=1_000_000)]
    sent = send_orders(make_router(members, split(50, 50)), 11)
    assert versions(sent) == {"v1": 10, "v2": 1}


def test_cold_target_pauses_between_calls_of_one_ingress_daemon():
    """Guards against exceeding a share below one call at a time."""
    cold = make_member(0, started_ms=1_000_000)
    router = make_router([cold], share=0.1)
    call, _ = send_call(router, 1000.5)
    call.finish_attempt(OK, 1000.51)
    assert send_call(router, 1000.52) is None
    assert send_call(router, 1000.6)


def test_version_of_weight_0_gets_nothing_until_the_rest_is_quarantined():
    """Guards against traffic on a version with weight 0."""
    members = [make_member(0, slots=2), make_member(1, version="v2")]
    router = make_router(members, split(100, 0))
    assert versions(send_orders(router, 5)) == {"v1": 2}
    router.quarantine("orders", "v1", 1000.0)
    assert versions(send_orders(router, 5)) == {"v2": 5}


def test_reported_failures_cannot_empty_a_service():
    """Guards against a wrong failure report of every target."""
    members = [make_member(index) for index in range(4)]
    for item in members:
        item.targets[0] = evolve(item.targets[0], state=TargetState.FAILED)
    router = make_router(members)
    assert router.status(1000.0).services[0].ejected == 2
    assert send_orders(router, 3)


@pytest.mark.parametrize("percent", [5, 20])
def test_new_version_does_not_get_the_overflow_of_the_old_one(percent):
    """Guards against a faulty version with more traffic than its share."""
    members = [make_member(0, slots=1), make_member(1, version="v2", started_ms=1000)]
    router = make_router(members, split(100 - percent, percent))
    while send_call(router, 1000.0)[1].record.version != "v1":
        pass
    sent = []
    for number in range(1000):
        reached = send_call(router, 1000.0 + number * 0.01)
        if reached:
            reached[0].finish_attempt(OK, 1000.0 + number * 0.01)
            sent.append(reached[1])
    assert versions(sent).keys() == {"v2"}
    assert 0.7 * percent < len(sent) / 10 < 1.3 * percent
