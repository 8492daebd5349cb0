"""Pass validated settings to the daemon process in an environment variable."""

# The daemon process has a memory limit of 32 MB, so this module must not
# import yaml or jsonschema.

from collections.abc import Mapping
from os import environ

from expression import Error, Result

from catkinhollow.codec import decode_json, encode_json
from catkinhollow.errors import DecodeError
from catkinhollow.generated.settings import Settings

SETTINGS_VARIABLE = "CATKINHOLLOW_SETTINGS"


def settings_from_environment(
    environment: Mapping[str, str] = environ,
) -> Result[Settings, DecodeError]:
    """Return the settings that the daemon command has validated."""
    text = environment.get(SETTINGS_VARIABLE)
    if text is None:
        return Error(DecodeError(reason=f"{SETTINGS_VARIABLE} is not set"))
    return decode_json(text.encode(), Settings)


def settings_to_environment(
    settings: Settings, environment: Mapping[str, str] = environ
) -> dict[str, str]:
    """Return an environment for a daemon process with these settings."""
    return {**environment, SETTINGS_VARIABLE: encode_json(settings).decode()}
