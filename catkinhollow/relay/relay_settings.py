"""Read the settings of a relay daemon."""

from pathlib import Path
from typing import Any

import yaml
from attrs import fields
from expression import Error, Ok, Result

from catkinhollow.addresses import parse_address
from catkinhollow.codec import from_plain
from catkinhollow.errors import DecodeError
from catkinhollow.generated.relay import RelaySettings

ADDRESS_SETTINGS = (
    "target",
    "requests",
    "ready",
    "announcements",
    "peer",
    "metrics",
    "store",
)


def read_relay_settings(path: Path) -> Result[RelaySettings, DecodeError]:
    """Return the settings in a YAML file, or the first error in it."""
    try:
        value = yaml.safe_load(path.read_text())
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        return _decode_error(path, str(error))
    return parse_relay_settings(value).map_error(
        lambda error: DecodeError(reason=f"{path}: {error.reason}")
    )


def parse_relay_settings(value: Any) -> Result[RelaySettings, DecodeError]:
    """Return the settings in a mapping; unknown keys are an error."""
    if not isinstance(value, dict):
        return Error(DecodeError(reason="not a mapping"))
    unknown = sorted(value.keys() - {item.name for item in fields(RelaySettings)})
    if unknown:
        return Error(DecodeError(reason=f"unknown setting {unknown[0]!r}"))
    decoded = from_plain(value, RelaySettings)
    if decoded.is_error():
        return decoded
    for name in ADDRESS_SETTINGS:
        address = parse_address(getattr(decoded.ok, name))
        if address.is_error():
            return Error(DecodeError(reason=f"{name}: {address.error.reason}"))
    return Ok(decoded.ok)


def _decode_error(path: Path, reason: str) -> Result[RelaySettings, DecodeError]:
    return Error(DecodeError(reason=f"{path}: {reason}"))
