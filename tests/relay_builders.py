"""Build objects for tests of the relay."""

from catkinhollow.generated.relay import (
    Answer,
    Call,
    CallOutcome,
    DaemonRecord,
    GateState,
    RelayConfiguration,
    RelayRoute,
    RelayService,
    TargetReport,
)
from catkinhollow.relay.admission.gate import Gate
from catkinhollow.relay.admission.gate_jobs import Announcement, GateJob
from catkinhollow.relay.placement.peers import Peer


def make_call(call_id=1, *, route="r", rank=1, idempotent=True, **changes):
    values = {
        "call_id": call_id,
        "request_id": f"id-{call_id}",
        "method": "GET",
        "target": b"/a/b",
        "body": b"",
        "route": route,
        "service": "stock",
        "rank": rank,
        "idempotent": idempotent,
        "budget_ms": 1000,
        "target_ms": 500,
        **changes,
    }
    return Call(**values)


def make_job(now_s=0.0, *, soft_deadline_s=0.5, deadline_s=1.0, **changes):
    """Build a job that arrives at `now_s`; its deadlines are relative."""
    return GateJob(
        call=make_call(**changes),
        arrived_s=now_s,
        soft_deadline_s=now_s + soft_deadline_s,
        deadline_s=now_s + deadline_s,
    )


def make_announcement(
    lifetime="t1", *, sequence=1, started_ms=1000, cold_s=0.0, **changes
):
    values = {
        "lifetime": lifetime,
        "version": "v1",
        "slots": 2,
        "draining": False,
        "cold_s": cold_s,
        "sequence": sequence,
        "started_ms": started_ms,
        **changes,
    }
    return Announcement(**values)


def make_gate(
    now_s=0.0, *, slots=2, cold_calls_per_s=10.0, link_wait_s=lambda: 0.0, **changes
):
    gate = Gate(cold_calls_per_s=cold_calls_per_s, link_wait_s=link_wait_s)
    gate.announce(make_announcement(slots=slots, **changes), now_s)
    return gate


def make_report(state=GateState.SERVING, **changes):
    values = {
        "state": state,
        "lifetime": "t1",
        "version": "v1",
        "slots": 9,
        "service_ms": 100.0,
        **changes,
    }
    return TargetReport(**values)


def make_peer(name, *, failure_domain="a", service="stock", report=None):
    record = DaemonRecord(
        name=name,
        address=f"{name}:1",
        failure_domain=failure_domain,
        region="r",
        service=service,
    )
    peer = Peer(record=record, linked=True)
    peer.update_report(report or make_report(), 0.0)
    return peer


def make_route(name="r", **changes):
    values = {
        "name": name,
        "host": "shop.example",
        "path_prefix": "/a/",
        "kind": "safe",
        "service": "stock",
        "max_attempts": 2,
        **changes,
    }
    return RelayRoute(**values)


def make_configuration(version=1, routes=None, organisations=()):
    return RelayConfiguration(
        version=version,
        routes=[make_route()] if routes is None else routes,
        services=[RelayService(name="stock")],
        organisations=list(organisations),
    )


def make_answer(outcome=CallOutcome.ANSWERED, status=200, **changes):
    values = {
        "call_id": 1,
        "outcome": outcome,
        "status": status if outcome is CallOutcome.ANSWERED else 0,
        "body": b"",
        "reached_target": outcome is not CallOutcome.NOT_RUN,
        **changes,
    }
    return Answer(**values)
