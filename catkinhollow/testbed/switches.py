"""Change the fault switches of a stand-in."""

from typing import Any, TypeVar

from expression import Error, Result

from catkinhollow.codec import decode_json, from_plain, to_plain
from catkinhollow.errors import DecodeError

SwitchesT = TypeVar("SwitchesT")


def merge_switches(current: SwitchesT, body: bytes) -> Result[SwitchesT, DecodeError]:
    """Return the switches with those named in a JSON object changed."""
    changes = decode_json(body, dict[str, Any])
    if changes.is_error():
        return Error(changes.error)
    plain = to_plain(current)
    unknown = changes.ok.keys() - plain.keys()
    if unknown:
        return Error(DecodeError(reason=f"unknown switches: {sorted(unknown)}"))
    return from_plain({**plain, **changes.ok}, type(current))
