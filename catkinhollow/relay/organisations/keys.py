"""Find the organisation that a request belongs to by its key.

A request carries its key as `Authorization: Token KEY`. Keys are looked up by
their SHA-256 digests, so that the time of a look-up tells nothing about how
much of a wrong key was right. No error names a key.

Load: one look-up for each request at its ingress daemon and one at its gate;
tens of thousands of keys, all of which a version may replace.
"""

from collections.abc import Iterable
from hashlib import sha256
from typing import TypeAlias

from attrs import frozen

from catkinhollow.generated.relay import Organisation

AUTHORIZATION_HEADER = b"authorization"
TOKEN_SCHEME = b"token"


@frozen(kw_only=True)
class KeyHolder:
    """Represent the organisation that a request belongs to."""

    organisation: str
    priority: int | None
    """Replaces the priority of the route unless it is None."""
    key_digest: bytes


@frozen
class Anonymous:
    """Report that a request is served without an organisation."""


@frozen
class Unauthorized:
    """Request that a request is refused, as it has no valid key."""

    reason: str


Caller: TypeAlias = KeyHolder | Anonymous

ANONYMOUS = Anonymous()
MISSING_KEY = Unauthorized("missing key")
UNKNOWN_KEY = Unauthorized("unknown key")


class KeyTable:
    """Look up the keys of one configuration version."""

    def __init__(self, organisations: Iterable[Organisation] = ()) -> None:
        self._holders: dict[bytes, KeyHolder] = {}
        self._has_organisations = False
        for organisation in organisations:
            self._has_organisations = True
            for key in organisation.keys:
                digest = sha256(key.encode()).digest()
                self._holders[digest] = KeyHolder(
                    organisation=organisation.name,
                    priority=organisation.priority,
                    key_digest=digest,
                )

    @property
    def has_organisations(self) -> bool:
        """Return whether requests have to carry a key."""
        return self._has_organisations

    def knows(self, key_digest: bytes) -> bool:
        """Return whether a key with this digest is valid."""
        return key_digest in self._holders

    def identify(
        self, authorization: list[bytes], *, allow_anonymous: bool
    ) -> Caller | Unauthorized:
        """Return the caller of a request with these Authorization headers."""
        if not self._has_organisations:
            return ANONYMOUS
        if not authorization:
            return ANONYMOUS if allow_anonymous else MISSING_KEY
        # Two headers may name two organisations.
        if len(authorization) > 1:
            return UNKNOWN_KEY
        scheme, _, key = authorization[0].strip().partition(b" ")
        if scheme.lower() != TOKEN_SCHEME:
            return UNKNOWN_KEY
        return self._holders.get(sha256(key.strip()).digest(), UNKNOWN_KEY)


def find_organisation_error(organisations: Iterable[Organisation]) -> str:
    """Return why organisations must not be applied, "" if they are valid."""
    names: set[str] = set()
    keys: set[str] = set()
    for organisation in organisations:
        name = organisation.name
        if not name or name != name.strip() or not name.isprintable():
            return f"{name!r} can't be the value of a header"
        if name in names:
            return f"{name!r} is listed twice"
        names.add(name)
        for key in organisation.keys:
            if not key or " " in key or not key.isprintable():
                return f"a key of {name!r} is empty or has spaces"
            if key in keys:
                return f"a key of {name!r} is listed twice"
            keys.add(key)
    return ""
