"""Tests of the reporting of outcome counts to the controller."""

from hypothesis import given, settings
from hypothesis import strategies as st

from catkinhollow.control.reporting import (
    MAX_EXTRA_DELAY_MS,
    EvidenceForwarder,
    ReportAggregator,
    Sender,
)
from catkinhollow.generated.messages import EvidenceReport, VersionCounts


def make_sender(name, incarnation=1, domain="a"):
    return Sender(address=name, incarnation=incarnation, failure_domain=domain)


def make_report(window_ms):
    counts = VersionCounts(service="orders", version="new", route="all", requests=1)
    return EvidenceReport(window_ms=window_ms, counts=[counts])


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["x", "y"]),
            st.integers(1, 2),
            st.integers(0, 9),
            st.integers(0, 6),
        ),
        min_size=8,
    )
)
def test_each_window_counts_at_most_once(deliveries):
    """Guards against counting repeated, reordered, late and obsolete reports.

    A report is obsolete if it comes from an earlier process of the sender.
    """
    aggregator, accepted, fastest = ReportAggregator(), set(), {}
    newest = {}
    for name, incarnation, window_s, delay_s in deliveries:
        skew_ms = 60_000 if name == "x" else -60_000
        is_accepted = aggregator.accept(
            make_sender(name, incarnation),
            make_report(window_s * 1000 + 100_000),
            (window_s + delay_s) * 1000 + 100_000 + skew_ms,
        )
        key = (incarnation, window_s)
        is_newer = key > newest.get(name, (0, 0))
        if is_newer:
            newest[name] = key
            process = (name, incarnation)
            fastest[process] = min(delay_s, fastest.get(process, delay_s))
            is_late = (delay_s - fastest[process]) * 1000 > MAX_EXTRA_DELAY_MS
        assert is_accepted == (is_newer and not is_late)
        accepted |= {(name, *key)} if is_accepted else set()
    assert sum(entry.requests for entry in aggregator.take()) == len(accepted)


class WindowCounts:
    """Supply the request count of one daemon's window."""

    def __init__(self):
        self.requests = 0

    def take(self):
        requests, self.requests = self.requests, 0
        if not requests:
            return []
        return [
            VersionCounts(
                service="orders", version="new", route="all", requests=requests
            )
        ]


def make_forwarders(domains):
    forwarders = {}
    for name, domain in domains.items():
        counter = WindowCounts()
        forwarders[name] = (
            counter,
            EvidenceForwarder(make_sender(name, domain=domain), counter),
        )
    return forwarders


@settings(derandomize=True, deadline=None, max_examples=50)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["a1", "a2", "a3", "b1", "b2"]),
            st.sampled_from(["a1", "a2"]),
            st.sampled_from(["a1", "b1"]),
        ),
        max_size=20,
    )
)
def test_roles_may_change_without_loss_or_double_counting(rounds):
    """Guards against counts lost or repeated when the collector changes."""
    domains = {"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b"}
    forwarders, received = make_forwarders(domains), 0
    rounds = [*rounds, *[("a1", "a1", "a1")] * 3]
    for now_s, (caller, collector_a, controller) in enumerate(rounds):
        forwarders[caller][0].requests += 1
        for name, (_, forwarder) in forwarders.items():
            collector = collector_a if domains[name] == "a" else "b1"
            ended = forwarder.end_window(
                now_s * 1000, collector=collector, controller=controller
            )
            for sent in ended:
                is_accepted = forwarders[sent.to][1].on_report(
                    make_sender(name, domain=domains[name]),
                    sent.report,
                    now_s * 1000,
                    is_controller=sent.to == controller,
                )
                assert is_accepted
        received += sum(entry.requests for entry in forwarders[controller][1].take())
    assert received == len(rounds)
