"""Change the injected faults of a stand-in."""

from typing import Any, TypeVar

from expression import Error, Result

from catkinhollow.codec import decode_json, from_plain, to_plain
from catkinhollow.errors import DecodeError

FaultsT = TypeVar("FaultsT")


def merge_faults(current: FaultsT, body: bytes) -> Result[FaultsT, DecodeError]:
    """Return the faults with the fields of a JSON object replaced.

    The error names fields that do not exist.
    """
    changes = decode_json(body, dict[str, Any])
    if changes.is_error():
        return Error(changes.error)
    plain = to_plain(current)
    unknown = changes.ok.keys() - plain.keys()
    if unknown:
        return Error(DecodeError(reason=f"unknown switches: {sorted(unknown)}"))
    return from_plain({**plain, **changes.ok}, type(current))
