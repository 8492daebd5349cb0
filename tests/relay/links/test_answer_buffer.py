"""Tests of the answers that are kept until their callers confirm them."""

from catkinhollow.generated.relay import Answer, CallOutcome
from catkinhollow.relay.links.answer_buffer import EXPIRY_MARGIN_S, AnswerBuffer


def make_answer(call_id):
    return Answer(call_id=call_id, outcome=CallOutcome.ANSWERED, body=b"x")


def test_each_answer_is_kept_until_its_own_expiry():
    """Guards against answers that are lost, or kept for ever."""
    buffer = AnswerBuffer()
    for call_id, deadline_s in enumerate([5.0, 2.0, 9.0, 2.5]):
        buffer.add("a:1", make_answer(call_id), 0.0, deadline_s)
    now_s, kept = 0.0, {}
    while now_s < 12.0:
        buffer.add("b:1", make_answer(99), now_s, now_s)
        kept[now_s] = [call_id for call_id in range(4) if ("a:1", call_id) in buffer]
        now_s += 0.5
    assert kept[2.0 + EXPIRY_MARGIN_S] == [0, 1, 2, 3]
    assert kept[2.5 + EXPIRY_MARGIN_S] == [0, 2, 3]
    assert kept[3.0 + EXPIRY_MARGIN_S] == [0, 2]
    assert kept[5.5 + EXPIRY_MARGIN_S] == [2]
    assert kept[9.5 + EXPIRY_MARGIN_S] == []


def test_confirmed_answers_do_not_hide_the_expiry_of_others():
    """Guards against an answer that is kept after an earlier one has gone."""
    buffer = AnswerBuffer()
    buffer.add("a:1", make_answer(1), 0.0, 1.0)
    buffer.add("b:1", make_answer(2), 0.0, 2.0)
    buffer.confirm("a:1", [])
    buffer.add("c:1", make_answer(3), 3.5, 9.0)
    assert ("b:1", 2) not in buffer
    assert len(buffer) == 1
