"""Resolve the effective settings of one service and route."""

from typing import Any

from attrs import evolve, frozen

from catkinhollow.generated.fleet import ExceptionSetting, Fleet, FleetException

# The same bounds as for the defaults in fleet.yaml. The schema does not bound
# the value of an exception, because its range depends on the setting.
_BOUNDS: dict[ExceptionSetting, tuple[float, float]] = {
    ExceptionSetting.TIMEOUT_MS: (10, 120_000),
    ExceptionSetting.MAX_ATTEMPTS: (1, 5),
    ExceptionSetting.BUDGET_PERCENT: (0, 100),
    ExceptionSetting.SLOW_START_S: (0, 600),
    ExceptionSetting.MAX_IN_FLIGHT_PER_TARGET: (1, 10_000),
    ExceptionSetting.MAX_EJECTED_PERCENT: (0, 100),
}
_WHOLE_NUMBERS = {
    ExceptionSetting.TIMEOUT_MS,
    ExceptionSetting.MAX_ATTEMPTS,
    ExceptionSetting.MAX_IN_FLIGHT_PER_TARGET,
}


@frozen(kw_only=True)
class Policy:
    """Represent the effective settings of the calls of one route."""

    timeout_ms: int
    max_attempts: int
    budget_percent: float
    slow_start_s: float
    max_in_flight_per_target: int
    max_ejected_percent: float
    local_preference: bool


def resolve(fleet: Fleet, service: str, route: str) -> Policy:
    """Apply the matching exceptions to the defaults, most specific last."""
    defaults = fleet.defaults
    policy = Policy(
        timeout_ms=defaults.timeout_ms,
        max_attempts=defaults.retry.max_attempts,
        budget_percent=defaults.retry.budget_percent,
        slow_start_s=defaults.slow_start_s,
        max_in_flight_per_target=defaults.max_in_flight_per_target,
        max_ejected_percent=defaults.max_ejected_percent,
        local_preference=defaults.local_preference,
    )
    matching = [item for item in fleet.exceptions if _matches(item, service, route)]
    matching.sort(key=_specificity)
    changes: dict[str, Any] = {
        item.setting.value: _bounded(item.setting, item.value) for item in matching
    }
    return evolve(policy, **changes)


def _matches(item: FleetException, service: str, route: str) -> bool:
    if not item.service and not item.route:
        return False
    return item.service in ("", service) and item.route in ("", route)


def _specificity(item: FleetException) -> tuple[bool, bool]:
    return bool(item.route), bool(item.service)


def _bounded(setting: ExceptionSetting, value: float) -> float:
    low, high = _BOUNDS[setting]
    value = min(max(value, low), high)
    return int(value) if setting in _WHOLE_NUMBERS else value
