"""Tests of downloads whose targets have slow links, in virtual time."""

from heapq import heapify, heappop, heappush
from itertools import count
from random import Random

from attrs import evolve
from relay_builders import make_peer, make_report

from catkinhollow.relay.placement.placer import CallProfile, Distances, LeastWaitPlacer

# A link of 5.5 Mbit/s carries seven downloads per second.
ANSWER_KB = 88.0
TRANSFER_S = 0.144
RUN_S = 0.13
TARGET_LATENCY_S = 1.1
GATES = {"a": 4, "b": 3, "c": 2}
CALLS_PER_S = {"a": 7.0, "b": 8.0, "c": 15.0}
INGRESS_PER_DOMAIN = 4
STATUS_INTERVAL_S = 1.0


class Clock:
    """Return the time of the simulation."""

    now_s = 0.0

    def monotonic(self):
        return self.now_s


class Target:
    """Run calls at once and send their answers one after another."""

    def __init__(self, name, failure_domain, *, reports_link):
        self.name = name
        self.failure_domain = failure_domain
        self.reports_link = reports_link
        self.running = 0
        self.link_free_s = 0.0

    def report(self, now_s):
        wait_s = max(0.0, self.link_free_s - now_s) if self.reports_link else 0.0
        return make_report(
            running=self.running,
            service_ms=RUN_S * 1000.0,
            transfer_ms=wait_s * 1000.0,
            taken_ms=int(now_s * 1000.0) + 1,
        )

    def send_answer(self, now_s):
        """Return when the answer has arrived."""
        self.link_free_s = max(self.link_free_s, now_s) + TRANSFER_S
        return self.link_free_s


class Ingress:
    """Place the calls of the callers on one instance."""

    def __init__(self, number, failure_domain, targets, clock):
        own = make_peer(f"own{number}", failure_domain=failure_domain, service="shop")
        self.placer = LeastWaitPlacer(own, Distances(), clock, Random(number))
        self.targets = {target.name: target for target in targets}
        self.peers = {
            target.name: make_peer(target.name, failure_domain=target.failure_domain)
            for target in targets
        }
        for peer in self.peers.values():
            peer.last_called_s = 0.0

    def place(self):
        profile = CallProfile(
            answer_kb=ANSWER_KB, target_latency_ms=TARGET_LATENCY_S * 1000.0
        )
        peer = self.placer.choose(list(self.peers.values()), set(), profile)
        peer.sent_since_report += 1
        return self.targets[peer.record.name]

    def hear(self, target, report, now_s):
        self.peers[target.name].update_report(evolve(report), now_s)


def simulate(*, reports_link, seconds=40.0):
    """Return the share of downloads that arrive in time."""
    random, clock, order = Random(5), Clock(), count()
    targets = [
        Target(f"{domain}{number}", domain, reports_link=reports_link)
        for domain, number_of_gates in GATES.items()
        for number in range(number_of_gates)
    ]
    fleet = [
        Ingress(number, domain, targets, clock)
        for number, domain in enumerate(sorted(GATES) * INGRESS_PER_DOMAIN)
    ]
    domains = {domain: fleet[index::3] for index, domain in enumerate(sorted(GATES))}
    events = []
    for domain, rate in CALLS_PER_S.items():
        now_s = 0.0
        while (now_s := now_s + random.expovariate(rate)) < seconds:
            ingress = random.choice(domains[domain])
            events.append((now_s, next(order), "call", ingress, None, now_s))
    for step in range(int(seconds / STATUS_INTERVAL_S)):
        now_s = step * STATUS_INTERVAL_S
        events.append((now_s, next(order), "status", None, None, now_s))
    heapify(events)
    in_time = calls = 0
    while events:
        clock.now_s, _, kind, ingress, target, sent_s = heappop(events)
        now_s = clock.now_s
        if kind == "call":
            target = ingress.place()
            target.running += 1
            event = (now_s + RUN_S, next(order), "run", ingress, target, sent_s)
            heappush(events, event)
        elif kind == "run":
            target.running -= 1
            report, arrived_s = target.report(now_s), target.send_answer(now_s)
            calls += 1
            in_time += arrived_s - sent_s <= TARGET_LATENCY_S
            ingress.hear(target, report, now_s)
        else:
            for one in fleet:
                for each in targets:
                    one.hear(each, each.report(now_s), now_s)
    return in_time / calls


def test_downloads_are_placed_where_the_link_has_room():
    """Guards against downloads that wait for a full link beside free ones.

    The targets of one failure domain have free slots, but their links carry
    less than its callers ask for.
    """
    assert simulate(reports_link=False) < 0.8
    assert simulate(reports_link=True) >= 0.95
