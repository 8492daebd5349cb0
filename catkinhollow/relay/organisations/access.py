"""Decide whether a request may be admitted, by its key.

Load: every request of a deployment with organisations, once at its ingress
daemon.
"""

from typing import TypeAlias

from attrs import frozen

from catkinhollow.calls.exchange import Headers
from catkinhollow.generated.relay import RelayConfiguration
from catkinhollow.relay.organisations.keys import (
    AUTHORIZATION_HEADER,
    Caller,
    KeyTable,
    Unauthorized,
)


@frozen
class Granted:
    """Report that a request may be admitted."""

    caller: Caller


Access: TypeAlias = Granted | Unauthorized


class AccessPolicy:
    """Decide about the requests of organisations by the version in force."""

    def __init__(self) -> None:
        self._keys = KeyTable()

    @property
    def has_organisations(self) -> bool:
        """Return whether the version in force holds organisations."""
        return self._keys.has_organisations

    def configure(self, configuration: RelayConfiguration) -> None:
        """Apply a configuration version to all later requests."""
        self._keys = KeyTable(configuration.organisations)

    def admit(self, headers: Headers, *, allow_anonymous: bool) -> Access:
        """Decide about a request with these headers."""
        values = [value for name, value in headers if name == AUTHORIZATION_HEADER]
        caller = self._keys.identify(values, allow_anonymous=allow_anonymous)
        return caller if isinstance(caller, Unauthorized) else Granted(caller)
