"""Read and write TCP addresses as text."""

from expression import Error, Ok, Result

from catkinhollow.errors import DecodeError
from catkinhollow.generated.settings import Address

MAX_PORT = 65535


def parse_address(text: str) -> Result[Address, DecodeError]:
    """Return the address of host:port text, IPv6 hosts in brackets."""
    host, colon, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    # Only ASCII digits: isdigit alone takes other scripts too.
    if not host or not colon or not (port.isascii() and port.isdigit()):
        return Error(DecodeError(reason=f"'{text}' is not of the form HOST:PORT"))
    if not 1 <= int(port) <= MAX_PORT:
        return Error(DecodeError(reason=f"port {port} is not in 1 to {MAX_PORT}"))
    return Ok(Address(host=host, port=int(port)))


def format_address(address: Address) -> str:
    """Return the address as host:port text."""
    host = f"[{address.host}]" if ":" in address.host else address.host
    return f"{host}:{address.port}"
