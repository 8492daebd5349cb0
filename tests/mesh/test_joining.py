"""Tests of joining through seeds."""

from random import Random

from catkinhollow.generated.messages import JoinReply
from catkinhollow.mesh.joining import Joiner


def test_joiner_asks_the_next_seed_and_waits_when_refused():
    """Guards against a joining daemon that blocks on or overloads a seed."""
    joiner = Joiner(["a", "b"], Random(1), 0.0)
    first = joiner.poll(0.5)
    assert joiner.poll(0.9) is None
    assert {first, joiner.poll(2.1)} == {"a", "b"}
    late = JoinReply(request_id=1, members=[])
    assert not joiner.on_reply(late, 2.2)
    refusal = JoinReply(request_id=2, retry_after_ms=4000)
    assert not joiner.on_reply(refusal, 2.2)
    assert joiner.poll(4.1) is None
    assert joiner.poll(8.3) == first
    assert joiner.on_reply(JoinReply(request_id=3), 8.4)
    assert joiner.poll(99.0) is None
