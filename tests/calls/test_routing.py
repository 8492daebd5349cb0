"""Tests of the lookup of routes."""

from hypothesis import given, settings
from hypothesis import strategies as st

from catkinhollow.calls.routing import RouteTable
from catkinhollow.generated.fleet import Fleet, Method, Route

paths = st.text("ab/?", max_size=8).map(lambda rest: f"/{rest}")
methods = st.sets(st.sampled_from(Method), min_size=1).map(sorted)


def matches(path, prefix):
    rest = path.removeprefix(prefix)
    if not path.startswith(prefix):
        return False
    return not rest or prefix.endswith("/") or rest[0] in "/?"


@settings(derandomize=True, deadline=None, max_examples=500)
@given(st.lists(st.tuples(paths, methods)), paths, st.sampled_from(Method))
def test_longest_prefix_at_a_segment_boundary_wins(prefixes, path, method):
    """Guards against a route that differs from that of a linear scan."""
    routes = [
        Route(name=f"r{number}", service="s", path_prefix=prefix, methods=allowed)
        for number, (prefix, allowed) in enumerate(prefixes)
    ]
    fitting = [
        route
        for route in routes
        if method in route.methods and matches(path, route.path_prefix)
    ]
    expected = max(fitting, key=lambda route: len(route.path_prefix), default=None)
    assert RouteTable(Fleet(routes=routes)).match(method, path) is expected
