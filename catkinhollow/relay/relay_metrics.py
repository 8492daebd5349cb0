"""Define the metrics of a relay daemon."""

from aioprometheus import Counter, Gauge, Histogram, Registry

from catkinhollow.calls.exchange import Response
from catkinhollow.daemon.metrics import LATENCY_BUCKETS_S, render_response


class TalliedCounter:
    """Count by labels, and pass the counts on when they are rendered.

    aioprometheus checks and encodes the labels with each count, which takes
    as long as the parse of a request.
    """

    def __init__(self, counter: Counter) -> None:
        self._counter = counter
        self._counts: dict[tuple[tuple[str, str], ...], int] = {}

    def inc(self, labels: dict[str, str]) -> None:
        """Count one event."""
        self.add(labels, 1)

    def add(self, labels: dict[str, str], count: int) -> None:
        """Count events; the labels always come in the same order."""
        key = tuple(labels.items())
        self._counts[key] = self._counts.get(key, 0) + count

    def collect(self) -> None:
        """Pass the counts on."""
        for key, count in self._counts.items():
            self._counter.set(dict(key), count)


class RelayMetrics:
    """Register and render the metrics of one daemon."""

    def __init__(self) -> None:
        registry = Registry()
        self._registry = registry
        self.requests = TalliedCounter(
            Counter(
                "catkinhollow_relay_requests_total",
                "Requests of callers on the instance by service and outcome",
                registry=registry,
            )
        )
        self.request_seconds = Histogram(
            "catkinhollow_relay_request_seconds",
            "Time from a request to its answer in seconds, by service",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.access_refusals = Counter(
            "catkinhollow_relay_access_refusals_total",
            "Requests that were refused by their key, by place and reason",
            registry=registry,
        )
        self.configuration_age_seconds = Gauge(
            "catkinhollow_relay_configuration_age_seconds",
            "Time since the configuration was known to be the newest, -1 if never",
            registry=registry,
        )
        self.attempts = TalliedCounter(
            Counter(
                "catkinhollow_relay_attempts_total",
                "Calls sent to gates by service and outcome",
                registry=registry,
            )
        )
        self.gate_calls = Gauge(
            "catkinhollow_relay_gate_calls",
            "Calls at the gate of this instance by state",
            registry=registry,
        )
        self.target_occupied = Gauge(
            "catkinhollow_relay_target_occupied",
            "Calls that the target holds beyond those that its gate knows",
            registry=registry,
        )
        self.target_pace = Gauge(
            "catkinhollow_relay_target_pace",
            "Calls that may be at a target that recovers, 0 without such a limit",
            registry=registry,
        )
        self.target_speed = Gauge(
            "catkinhollow_relay_target_speed",
            "Speed of the target relative to its usual one, 0 if none is known",
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
        self.store_era = Gauge(
            "catkinhollow_relay_store_era",
            "How often the store has come back from a copy",
            registry=registry,
        )
        self.dials = Gauge(
            "catkinhollow_relay_dials",
            "Attempts to connect to other daemons since the start",
            registry=registry,
        )
        self.sent_bytes = TalliedCounter(
            Counter(
                "catkinhollow_relay_sent_bytes_total",
                "Bytes sent to other daemons by message and place of the receiver",
                registry=registry,
            )
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
        self.connections_unread = Counter(
            "catkinhollow_relay_connections_closed_unread_total",
            "Connections closed before their callers acknowledged all responses",
            registry=registry,
        )

    @property
    def registry(self) -> Registry:
        """Return the registry, for the metrics of optional parts."""
        return self._registry

    def render(self) -> Response:
        """Return the metrics in text form."""
        for counter in (self.requests, self.attempts, self.sent_bytes):
            counter.collect()
        return render_response(self._registry)
