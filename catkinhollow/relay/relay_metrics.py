"""Define the metrics of a relay daemon."""

from aioprometheus import Counter, Gauge, Histogram, Registry

from catkinhollow.calls.exchange import Response
from catkinhollow.daemon.metrics import LATENCY_BUCKETS_S, render_response


class RelayMetrics:
    """Register and render the metrics of one daemon."""

    def __init__(self) -> None:
        registry = Registry()
        self._registry = registry
        self.requests = Counter(
            "catkinhollow_relay_requests_total",
            "Requests of callers on the instance by service and outcome",
            registry=registry,
        )
        self.request_seconds = Histogram(
            "catkinhollow_relay_request_seconds",
            "Time from a request to its answer in seconds, by service",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.access_refusals = Counter(
            "catkinhollow_relay_access_refusals_total",
            "Requests of callers on the instance that were refused by their key",
            registry=registry,
        )
        self.attempts = Counter(
            "catkinhollow_relay_attempts_total",
            "Calls sent to gates by service and outcome",
            registry=registry,
        )
        self.gate_calls = Gauge(
            "catkinhollow_relay_gate_calls",
            "Calls at the gate of this instance by state",
            registry=registry,
        )
        self.version = Gauge(
            "catkinhollow_relay_configuration_version",
            "Version of the configuration in force",
            registry=registry,
        )
        self.peers = Gauge(
            "catkinhollow_relay_peers",
            "Other daemons: known, linked, and those whose planned link is down",
            registry=registry,
        )
        self.follows_store = Gauge(
            "catkinhollow_relay_follows_store",
            "Whether this daemon follows the store for others",
            registry=registry,
        )
        self.store_answer_age_seconds = Gauge(
            "catkinhollow_relay_store_answer_age_seconds",
            "Time since the store's last answer, 0 if this daemon does not follow it",
            registry=registry,
        )
        self.dials = Gauge(
            "catkinhollow_relay_dials",
            "Attempts to connect to other daemons since the start",
            registry=registry,
        )
        self.sent_bytes = Counter(
            "catkinhollow_relay_sent_bytes_total",
            "Bytes sent to other daemons by message and place of the receiver",
            registry=registry,
        )
        self.store_failures = Counter(
            "catkinhollow_relay_store_failures_total",
            "Calls of the store without a usable answer, by kind of object",
            registry=registry,
        )

        self.link_wait_seconds = Gauge(
            "catkinhollow_relay_link_wait_seconds",
            "Time that the body of a further answer waits for the link",
            registry=registry,
        )
        self.connection_failures = Counter(
            "catkinhollow_relay_connection_failures_total",
            "Connections of callers that ended with an unexpected error",
            registry=registry,
        )

    @property
    def registry(self) -> Registry:
        """Return the registry, for the metrics of optional parts."""
        return self._registry

    def render(self) -> Response:
        """Return the metrics in text form."""
        return render_response(self._registry)
