"""Define the metrics of a daemon."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from catkinhollow.calls.exchange import Response

if TYPE_CHECKING:
    from catkinhollow.calls.service_calls import ServiceStatus
    from catkinhollow.mesh.links import LinkCounters

LATENCY_BUCKETS_S = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10]


def render_response(registry: Registry) -> Response:
    """Return all metrics of a registry in the Prometheus text format."""
    content, headers = render(registry, ["text/plain"])
    pairs = [(name.lower().encode(), value.encode()) for name, value in headers.items()]
    return Response(status=200, headers=pairs, body=content)


class Metrics:
    """Register and render the metrics of one daemon."""

    def __init__(self) -> None:
        registry = Registry()
        self._registry = registry
        self.calls = Counter(
            "catkinhollow_calls_total",
            "Calls by route and outcome",
            registry=registry,
        )
        self.call_seconds = Histogram(
            "catkinhollow_call_seconds",
            "Time from the request to the answer in seconds, by route",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.refusals = Counter(
            "catkinhollow_refusals_total",
            "Calls refused before any attempt, by reason",
            registry=registry,
        )
        self.enforced_revision = Gauge(
            "catkinhollow_enforced_revision",
            "Revision of the configuration in force",
            registry=registry,
        )
        self.members = Gauge(
            "catkinhollow_members", "Members by state", registry=registry
        )
        self._targets = Gauge(
            "catkinhollow_targets",
            "Targets that may get calls, by service and condition",
            registry=registry,
        )
        self._calls_held = Gauge(
            "catkinhollow_calls_held",
            "Calls in flight and calls that wait for capacity, by service",
            registry=registry,
        )
        self.ready = Gauge(
            "catkinhollow_ready",
            "1 when the daemon accepts calls, else 0",
            registry=registry,
        )
        self.snapshots_refused = Counter(
            "catkinhollow_snapshots_refused_total",
            "Configuration versions refused as a whole",
            registry=registry,
        )
        self._peer_messages = Counter(
            "catkinhollow_peer_messages_total",
            "Messages exchanged with other daemons, by direction",
            registry=registry,
        )
        self._peer_bytes = Counter(
            "catkinhollow_peer_bytes_total",
            "Bytes of these messages, by direction, without those of nng and TCP",
            registry=registry,
        )

    def set_peer_counters(self, counters: LinkCounters) -> None:
        """Set the peer counters to those of the peer link."""
        self._peer_messages.set({"direction": "sent"}, counters.messages_sent)
        self._peer_messages.set({"direction": "received"}, counters.messages_received)
        self._peer_bytes.set({"direction": "sent"}, counters.bytes_sent)
        self._peer_bytes.set({"direction": "received"}, counters.bytes_received)

    def set_services(self, services: Iterable[ServiceStatus]) -> None:
        """Set the gauges of each service from the call router's status."""
        for service in services:
            counts = {
                "all": service.targets,
                "cold": service.cold,
                "ejected": service.ejected,
            }
            for condition, count in counts.items():
                labels = {"service": service.name, "condition": condition}
                self._targets.set(labels, count)
            for state in ("in_flight", "waiting"):
                labels = {"service": service.name, "state": state}
                self._calls_held.set(labels, getattr(service, state))

    def render(self) -> Response:
        """Return the metrics in the Prometheus text format."""
        return render_response(self._registry)
