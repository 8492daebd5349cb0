"""Read configurations of relay daemons from files."""

from pathlib import Path

from expression import Error, Ok, Result

from catkinhollow.codec import from_plain
from catkinhollow.configuration.documents import read_document
from catkinhollow.errors import Problem
from catkinhollow.generated.relay import RelayConfiguration
from catkinhollow.relay.documents.configuration_check import find_error


def load_configuration(path: Path) -> Result[RelayConfiguration, list[Problem]]:
    """Return the configuration in a file, or why it would be refused."""
    read = read_document(path)
    if read.is_error():
        return Error(read.error)
    decoded = from_plain(read.ok.value, RelayConfiguration)
    reason = decoded.error.reason if decoded.is_error() else find_error(decoded.ok, 0)
    if reason:
        return Error([read.ok.problem((), reason)])
    return Ok(decoded.ok)
