"""Parse YAML."""

from typing import Any

import yaml
from expression import Error, Ok, Result

from catkinhollow.errors import DecodeError


def parse_yaml(text: str) -> Result[Any, DecodeError]:
    """Return the value of a YAML document."""
    try:
        return Ok(yaml.safe_load(text))
    except yaml.YAMLError as error:
        return Error(DecodeError(reason=str(error)))
