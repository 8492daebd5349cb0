"""Parse deadlines that operators enter."""

from datetime import datetime, timedelta
from re import fullmatch

from expression import Error, Ok, Result

from catkinhollow.errors import DecodeError

UNITS_MS = {"s": 1000, "m": 60_000, "h": 3_600_000}


def parse_deadline(text: str, now_ms: int) -> Result[int, DecodeError]:
    """Return the Unix time in ms of a delay like +15m or an ISO 8601 time."""
    relative = fullmatch(r"\+(\d{1,6})([smh])", text)
    if relative:
        return Ok(now_ms + int(relative[1]) * UNITS_MS[relative[2]])
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        reason = f"'{text}' is neither a delay like +15m nor an ISO 8601 time"
        return Error(DecodeError(reason=reason))
    # A time without a UTC offset depends on the time zone of the machine.
    if moment.tzinfo is None:
        return Error(
            DecodeError(reason=f"'{text}' has no UTC offset such as Z or +04:00")
        )
    epoch = datetime.fromisoformat("1970-01-01T00:00:00Z")
    return Ok((moment - epoch) // timedelta(milliseconds=1))
