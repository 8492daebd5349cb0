"""Request the status of a daemon from its admin endpoint."""

import httpcore
from attrs import frozen
from expression import Error, Result

from catkinhollow.addresses import format_address
from catkinhollow.codec import decode_json
from catkinhollow.errors import DecodeError
from catkinhollow.generated.settings import Address
from catkinhollow.generated.status import DaemonStatus

TIMEOUT_S = 5.0
HTTP_OK = 200


@frozen(kw_only=True)
class DaemonUnreachable:
    """Report a daemon that could not be reached or did not answer."""

    reason: str


async def fetch_status(
    address: Address,
) -> Result[DaemonStatus, DaemonUnreachable | DecodeError]:
    """Return the status of the daemon at the admin address."""
    url = f"http://{format_address(address)}/status"
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
    try:
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request("GET", url, extensions={"timeout": timeouts})
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ) as error:
        reason = str(error) or type(error).__name__
        return Error(DaemonUnreachable(reason=reason))
    if response.status != HTTP_OK:
        return Error(DecodeError(reason=f"answered with status {response.status}"))
    return decode_json(response.content, DaemonStatus)
