"""Tests of the metrics of a relay daemon."""

from catkinhollow.relay.relay_metrics import RelayMetrics


def test_counts_are_rendered_with_their_labels_and_never_fall():
    """Guards against counts that are lost between two renderings."""
    metrics = RelayMetrics()
    for _ in range(2):
        metrics.requests.inc({"service": "stock", "outcome": "answered"})
        metrics.requests.inc({"service": "stock", "outcome": "gone"})
        metrics.attempts.inc({"service": "stock", "outcome": "answered"})
        metrics.sent_bytes.add({"message": "call", "failure_domain": "same"}, 300)
        text = metrics.render().body.decode()
    lines = set(text.splitlines())
    name = "catkinhollow_relay_requests_total"
    assert f'{name}{{outcome="answered",service="stock"}} 2' in lines
    assert f'{name}{{outcome="gone",service="stock"}} 2' in lines
    assert any(
        line.startswith("catkinhollow_relay_attempts_total{") and line.endswith(" 2")
        for line in lines
    )
    assert any(
        line.startswith("catkinhollow_relay_sent_bytes_total{")
        and line.endswith(" 600")
        for line in lines
    )
