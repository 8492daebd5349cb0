"""Tests of the table of keyed requests against a simple model."""

from hypothesis import given, settings
from hypothesis import strategies as st

from catkinhollow.calls import idempotency
from catkinhollow.calls.exchange import Outcome, Response
from catkinhollow.calls.idempotency import IdempotencyTable, fingerprint

FINGERPRINT = fingerprint("POST", "/o/1", b"x")
OTHER_FINGERPRINT = fingerprint("POST", "/o/1", b"y")


def answer(body):
    return Response(status=200, headers=[], body=body)


def expected_step(known, sent):
    if known is None:
        return idempotency.Fresh()
    stored, outcome, response = known
    if stored != sent:
        return idempotency.Conflict()
    if outcome is None:
        return idempotency.InFlight()
    return idempotency.Replay(response=response) if response else idempotency.Unknown()


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    st.lists(
        st.tuples(
            st.sampled_from("abc"),
            st.sampled_from([FINGERPRINT, OTHER_FINGERPRINT]),
            st.sampled_from([None, *Outcome]),
            st.sampled_from(
                [0.0, 1.0, idempotency.RETENTION_S / 2, idempotency.RETENTION_S]
            ),
        )
    )
)
def test_repeats_never_run_again(steps):
    """Guards against a repeated key that runs twice or replays wrongly."""
    table, known, ended_s, now_s = IdempotencyTable(), {}, {}, 0.0
    for number, (key, sent, outcome, seconds) in enumerate(steps):
        now_s += seconds
        for old in [
            item for item in ended_s if now_s - ended_s[item] >= idempotency.RETENTION_S
        ]:
            del known[old], ended_s[old]
        assert table.begin(key, sent, now_s) == expected_step(known.get(key), sent)
        known.setdefault(key, (sent, None, None))
        if outcome is None or known[key][1] is not None:
            continue
        response = answer(b"%d" % number) if outcome is Outcome.ANSWERED else None
        table.finish(key, outcome, response, now_s)
        known[key], ended_s[key] = (known[key][0], outcome, response), now_s
        if outcome is Outcome.NOT_RUN:
            del known[key], ended_s[key]
    assert len(table) == len(known)


def test_bounds_hold_without_a_second_run():
    """Guards against unbounded memory and forgetting a key that may run."""
    table, woken = IdempotencyTable(max_entries=4, max_bytes=10), []
    for key in ("running", "unknown", "old", "new"):
        assert table.begin(key, FINGERPRINT, 0.0) == idempotency.Fresh()
    table.wait(
        "running", lambda: woken.append(table.begin("running", FINGERPRINT, 1.0))
    )
    table.finish("unknown", Outcome.UNKNOWN, None, 0.0)
    for key in ("old", "new"):
        table.finish(key, Outcome.ANSWERED, answer(b"123456"), 0.0)
    assert table.stored_bytes == 6
    assert table.begin("old", FINGERPRINT, 1.0) == idempotency.Unknown()
    assert table.begin("new", FINGERPRINT, 1.0) == idempotency.Replay(
        response=answer(b"123456")
    )
    for key in ("x", "y"):
        assert table.begin(key, FINGERPRINT, 1.0) == idempotency.Fresh()
    assert table.begin("z", FINGERPRINT, 1.0) == idempotency.TableFull()
    assert table.begin("unknown", FINGERPRINT, 1.0) == idempotency.Unknown()
    table.finish("running", Outcome.NOT_RUN, None, 1.0)
    assert woken == [idempotency.Fresh()]
