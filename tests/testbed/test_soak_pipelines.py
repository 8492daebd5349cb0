"""Tests of how callers of the soak test read pipelined responses."""

from hypothesis import given, settings
from hypothesis import strategies as st

from catkinhollow.testbed.soak_pipelines import ResponseReader

RESPONSES = [(200, 0, False), (503, 20, False), (200, 300, True)]


def encode(number, status, size, closes):
    fields = [f"x-attempt-id: r{number}", f"content-length: {size}"]
    fields += ["connection: close"] * closes
    return "\r\n".join([f"HTTP/1.1 {status} ", *fields, "", "x" * size]).encode()


@given(st.lists(st.integers(1, 80), min_size=1, max_size=60))
@settings(derandomize=True, deadline=None)
def test_responses_are_split_wherever_the_bytes_are_cut(sizes):
    """Guards against a soak test that misses or invents responses."""
    data = b"".join(encode(number, *each) for number, each in enumerate(RESPONSES))
    reader = ResponseReader()
    found = []
    for size in [*sizes, len(data)]:
        found += reader.feed(data[:size])
        data = data[size:]
    assert [(each.status, each.request_id, each.closes) for each in found] == [
        (200, "r0", False),
        (503, "r1", False),
        (200, "r2", True),
    ]
    assert reader.announced_close
