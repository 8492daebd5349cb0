"""Decide whether a request may be admitted, by its key.

Load: every request of a deployment with organisations, at its ingress daemon
and again at its gate.
"""

from typing import TypeAlias

from attrs import frozen

from catkinhollow.calls.exchange import Headers
from catkinhollow.generated.relay import Call, Organisation, RelayConfiguration
from catkinhollow.relay.organisations.freshness import Freshness, may_run
from catkinhollow.relay.organisations.keys import (
    ANONYMOUS,
    AUTHORIZATION_HEADER,
    UNKNOWN_KEY,
    Caller,
    KeyHolder,
    KeyTable,
    Unauthorized,
)


@frozen
class Granted:
    """Report that a request may be admitted."""

    caller: Caller


@frozen
class Stale:
    """Request that a request is refused, as its key may be revoked."""

    reason: str = "stale knowledge"


Refusal: TypeAlias = Unauthorized | Stale
Access: TypeAlias = Granted | Refusal

GRANTED = Granted(ANONYMOUS)
STALE = Stale()


class AccessPolicy:
    """Decide about the requests of organisations by the version in force.

    Without a bound for revocations (`freshness` is None), keys are checked
    against the version in force, however old it is.
    """

    def __init__(self, freshness: Freshness | None = None) -> None:
        self._freshness = freshness
        self._organisations: list[Organisation] = []
        self._keys = KeyTable()

    @property
    def has_organisations(self) -> bool:
        """Return whether the version in force holds organisations."""
        return self._keys.has_organisations

    @property
    def revision(self) -> int:
        """Return the revision that keys are checked against, 0 if unknown."""
        return self._freshness.enforced_revision if self._freshness else 0

    def configure(self, configuration: RelayConfiguration) -> None:
        """Apply a configuration version to all later requests."""
        # Most versions change no key; the digests of 10,000 take some 20 ms.
        if configuration.organisations != self._organisations:
            self._organisations = configuration.organisations
            self._keys = KeyTable(self._organisations)

    def admit(self, headers: Headers, now_s: float, *, allow_anonymous: bool) -> Access:
        """Decide about a request with these headers."""
        if not self.has_organisations:
            return GRANTED
        values = [value for name, value in headers if name == AUTHORIZATION_HEADER]
        caller = self._keys.identify(values, allow_anonymous=allow_anonymous)
        if isinstance(caller, Unauthorized):
            return caller
        if isinstance(caller, KeyHolder) and self._is_stale(now_s):
            return STALE
        return Granted(caller)

    def find_refusal(self, key_digest: bytes, now_s: float) -> Refusal | None:
        """Return why a request that was admitted must not be sent any more."""
        if self.has_organisations and not self._keys.knows(key_digest):
            return UNKNOWN_KEY
        return STALE if self._is_stale(now_s) else None

    def find_run_refusal(self, call: Call, now_s: float) -> Refusal | None:
        """Return why a gate must not start the run of a call."""
        if self._freshness is None or call.key_digest is None:
            return None
        is_known = not self.has_organisations or self._keys.knows(call.key_digest)
        if may_run(
            self._freshness,
            now_s,
            checked_revision=call.configuration_revision,
            key_is_known=is_known,
        ):
            return None
        return STALE if self._is_stale(now_s) else UNKNOWN_KEY

    def _is_stale(self, now_s: float) -> bool:
        return self._freshness is not None and not self._freshness.admits(now_s)
