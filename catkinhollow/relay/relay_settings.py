"""Read the settings of a relay daemon."""

from pathlib import Path
from typing import Any

from attrs import fields
from expression import Error, Ok, Result

from catkinhollow.addresses import parse_address
from catkinhollow.codec import decode_json, from_plain
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


class SettingsFile:
    """Read the settings of a daemon from a YAML file."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._text: str | None = None
        self._settings: Result[RelaySettings, DecodeError] | None = None

    def read(self) -> Result[RelaySettings, DecodeError]:
        """Return the settings, or the first error in the file."""
        try:
            text = self._path.read_text()
        except (OSError, UnicodeDecodeError) as error:
            return self._error(str(error))
        # Parsing takes far longer than reading.
        if self._settings is None or text != self._text:
            self._text = text
            self._settings = self._parse(text)
        return self._settings

    def _parse(self, text: str) -> Result[RelaySettings, DecodeError]:
        value = decode_json(text.encode(), object).default_with(lambda _: None)
        if value is None:
            # A file in JSON needs no YAML parser, whose import takes a
            # twentieth of the processor time of a start.
            from catkinhollow.relay.yaml_text import parse_yaml

            parsed = parse_yaml(text)
            if parsed.is_error():
                return self._error(parsed.error.reason)
            value = parsed.ok
        return parse_relay_settings(value).map_error(
            lambda error: DecodeError(reason=f"{self._path}: {error.reason}")
        )

    def _error(self, reason: str) -> Result[RelaySettings, DecodeError]:
        return Error(DecodeError(reason=f"{self._path}: {reason}"))


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
    names = [*ADDRESS_SETTINGS]
    if decoded.ok.peer_listen:
        names.append("peer_listen")
    if decoded.ok.usage_api:
        names.append("usage_api")
    for name in names:
        address = parse_address(getattr(decoded.ok, name))
        if address.is_error():
            return Error(DecodeError(reason=f"{name}: {address.error.reason}"))
    return Ok(decoded.ok)
