"""Tests of the effective settings per service and route."""

from itertools import permutations

from catkinhollow.calls.policy import resolve
from catkinhollow.generated.fleet import ExceptionSetting, FleetException
from tests.builders import make_fleet


def test_most_specific_exception_wins_in_any_order():
    """Guards against a result that depends on the order of the exceptions."""
    scopes = [("orders", ""), ("", "order"), ("orders", "order")]
    items = [
        FleetException(
            name=f"e{index}",
            setting=ExceptionSetting.TIMEOUT_MS,
            value=100 * (index + 1),
            reason="printing takes longer",
            service=service,
            route=route,
        )
        for index, (service, route) in enumerate(scopes)
    ]
    for count in (1, 2, 3):
        for exceptions in permutations(items[:count]):
            changed = make_fleet(exceptions=list(exceptions))
            assert resolve(changed, "orders", "order").timeout_ms == 100 * count
            assert resolve(changed, "orders", "lookup").timeout_ms == 100
            assert resolve(changed, "stock", "x").timeout_ms == 2000
