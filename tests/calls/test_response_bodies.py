"""Tests of the memory for the bodies of responses."""

import trio

from catkinhollow.calls.response_bodies import ResponseBodies


async def test_only_the_largest_body_is_dropped():
    """Guards against small responses that fail beside those without end."""
    bodies = ResponseBodies(100)
    with bodies.collect() as small, bodies.collect() as large:
        bodies.append(small, bytes(20))
        bodies.append(large, bytes(80))
        bodies.append(small, bytes(1))
        assert (small.dropped, large.dropped) == (False, True)
        assert bodies.size_bytes == len(small.data) == 21
        await trio.sleep_forever()
    assert bodies.size_bytes == 0


async def test_body_that_fails_gives_its_memory_back():
    """Guards against a limit that shrinks with each failed response."""
    bodies = ResponseBodies(100)
    try:
        with bodies.collect() as body:
            bodies.append(body, bytes(80))
            raise ValueError
    except ValueError:
        assert bodies.size_bytes == 0
