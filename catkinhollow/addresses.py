"""Parse and format TCP addresses."""

from expression import Error, Ok, Result

from catkinhollow.errors import DecodeError
from catkinhollow.generated.settings import Address

MAX_PORT = 65535


def parse_address(text: str) -> Result[Address, DecodeError]:
    """Parse an address of the form host:port, with IPv6 hosts in brackets."""
    host, colon, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    # isdigit alone also accepts non-ASCII digits.
    if not host or not colon or not (port.isascii() and port.isdigit()):
        return Error(DecodeError(reason=f"'{text}' is not of the form HOST:PORT"))
    # int refuses to convert thousands of digits.
    if len(port) > len(str(MAX_PORT)) or not 1 <= int(port) <= MAX_PORT:
        return Error(DecodeError(reason=f"port {port} is not in 1 to {MAX_PORT}"))
    return Ok(Address(host=host, port=int(port)))


def format_address(address: Address) -> str:
    """Format an address as host:port, with IPv6 hosts in brackets."""
    host = f"[{address.host}]" if ":" in address.host else address.host
    return f"{host}:{address.port}"
