"""Tests of the choice of the daemons that follow the store."""

from collections import Counter

import pytest
from relay_builders import make_peer

from catkinhollow.relay.documents.follower_election import (
    MAX_STORE_AGE_S,
    TAKEOVER_INTERVAL_S,
    FollowerElection,
)
from catkinhollow.relay.placement.peers import PeerDirectory


def make_fleet(size, domains="abcde"):
    """Return the election of each daemon by its address."""
    records = [
        make_peer(f"d{n}", failure_domain=domains[n % len(domains)]).record
        for n in range(size)
    ]
    elections = {}
    for own in records:
        directory = PeerDirectory(own)
        for record in records:
            if record is not own:
                directory.put(record)
        elections[own.address] = (FollowerElection(directory, 0.0), directory)
    return elections


def followers(elections, now_s):
    return {
        address
        for address, (election, _) in elections.items()
        if election.should_follow(now_s)
    }


@pytest.mark.parametrize(("size", "domains"), [(9, "abc"), (196, "abcde"), (300, "ab")])
def test_followers_do_not_grow_with_the_fleet(size, domains):
    """Guards against calls of the store by every daemon."""
    elections = make_fleet(size, domains)
    chosen = followers(elections, 1.0)
    by_domain = Counter(
        elections[address][1].own.record.failure_domain for address in chosen
    )
    assert 4 <= len(chosen) <= 6
    assert set(by_domain) == set(domains)


def test_silent_followers_are_replaced_by_few_daemons():
    """Guards against a fleet that follows the store all at once."""
    elections = make_fleet(196)
    first = followers(elections, 1.0)
    soon = followers(elections, MAX_STORE_AGE_S + TAKEOVER_INTERVAL_S / 2)
    assert first < soon
    assert len(soon) <= 2 * len(first)


def test_news_of_any_daemon_ends_the_takeover():
    """Guards against replacements that follow the store for ever."""
    elections = make_fleet(196)
    first = followers(elections, 1.0)
    late_s = 2 * MAX_STORE_AGE_S
    assert followers(elections, late_s) > first
    for election, _ in elections.values():
        election.hear(0.5, late_s)
    assert followers(elections, late_s) == first


def test_old_news_do_not_make_the_store_look_older():
    """Guards against takeovers because of a peer that hears nothing."""
    election, _ = next(iter(make_fleet(10).values()))
    election.hear(0.1, 5.0)
    election.hear(60.0, 5.0)
    assert election.store_age_s(5.0) == pytest.approx(0.1)


def test_blind_follower_is_replaced_after_its_last_answer():
    """Guards against statuses that renew the news of a silent store."""
    election, _ = next(iter(make_fleet(10).values()))
    election.store_reached(5.0)
    for now_s in (6.0, 8.0, 11.5):
        election.store_reached(5.0)
        assert election.store_age_s(now_s) == pytest.approx(now_s - 5.0)
    assert not election.is_followed(5.0 + MAX_STORE_AGE_S + 0.1)


def test_follower_that_cannot_be_reached_is_replaced_at_once():
    """Guards against a failure domain that waits for a daemon that ended."""
    elections = make_fleet(40)
    chosen = followers(elections, 1.0)
    for _, directory in elections.values():
        for address in chosen:
            peer = directory.by_address(address)
            if peer is not directory.own:
                peer.missing_since_s = 0.0
    replaced = followers(elections, 2.0) - chosen
    assert len(replaced) == len(chosen)
