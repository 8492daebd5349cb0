"""Access the platform's object store over HTTP."""

from typing import Any, Generic, TypeVar
from urllib.parse import quote

import trio
from attrs import frozen
from expression import Error, Ok, Result
from httpcore import (
    NetworkError,
    ProtocolError,
    Response,
    TimeoutException,
)
from msgspec import Raw

from catkinhollow.codec import decode_json, encode_json, replace_deep_values
from catkinhollow.errors import StoreError, StoreErrorKind
from catkinhollow.generated.store import ObjectList, StoredObject
from catkinhollow.logs import get_logger
from catkinhollow.platform.generated import (
    EventPage,
    ObjectEvent,
    ObjectPage,
    PlatformObject,
)
from catkinhollow.platform.headers import STORE_ERA_HEADER
from catkinhollow.platform.objects import STATUS_KINDS, STORE_KINDS, encode_status
from catkinhollow.platform.store_connections import (
    PoolFactory,
    StoreConnections,
    make_pool,
)
from catkinhollow.relay.documents.probe_plan import ProbeOutcome
from catkinhollow.relay.documents.store_revision import (
    MAX_ERA,
    era_of,
    join_revision,
    own_number,
)

# The store answers within milliseconds, a slow store within some hundred
# milliseconds.
CALL_TIMEOUT_S = 3.0
CONNECT_TIMEOUT_S = 1.0
GONE = 410

_ERROR_KINDS = {
    404: StoreErrorKind.NOT_FOUND,
    409: StoreErrorKind.CONFLICT,
    429: StoreErrorKind.UNAVAILABLE,
    503: StoreErrorKind.UNAVAILABLE,
}

logger = get_logger(__name__)

T = TypeVar("T")


@frozen
class _Answer(Generic[T]):
    """Represent the decoded answer to a call and the era of the store."""

    value: T
    era: int


class PlatformStore:
    """Read, write and watch the platform's objects by this project's kinds.

    Revisions hold the era of the store, which each answer tells. An answer of
    an older era than one already seen counts as none.
    """

    def __init__(self, address: str, make: PoolFactory = make_pool) -> None:
        self._base_url = f"http://{address}/objects"
        self._make_pool = make
        self._connections = StoreConnections(make)
        # Shares the fate of the waiting watches, however long it is idle.
        self._probe_connections = StoreConnections(
            make, repeats_reads=False, idle_expiry_s=None
        )
        # Newest era that an answer or a caller has shown.
        self._era = 0

    async def aclose(self) -> None:
        """Close the connections."""
        await self._connections.aclose()
        await self._probe_connections.aclose()

    async def renew_connections(self) -> int:
        """Use new connections from now on; return the number of moved calls.

        Reads that wait on the earlier connections are repeated, writes end
        with an unknown outcome.
        """
        await self._probe_connections.renew()
        return await self._connections.renew()

    async def probe(self, kind: str, *, fresh: bool) -> ProbeOutcome:
        """List a kind cheaply on the kept connection or on a new one."""
        path = f"/{STORE_KINDS[kind]}?serializable=1"
        if not fresh:
            return await self._probe(self._probe_connections, path)
        connections = StoreConnections(self._make_pool)
        try:
            return await self._probe(connections, path)
        finally:
            with trio.CancelScope(shield=True):
                await connections.aclose()

    async def _probe(self, connections: StoreConnections, path: str) -> ProbeOutcome:
        try:
            response = await connections.request(
                "GET", self._base_url + path, extensions={"timeout": _timeouts()}
            )
        except (NetworkError, ProtocolError, TimeoutException):
            return ProbeOutcome.FAILED
        usable = response.status == 200 and self._find_era(response) is not None
        return ProbeOutcome.ANSWERED if usable else ProbeOutcome.REFUSED

    async def get(self, kind: str, name: str) -> Result[StoredObject, StoreError]:
        """Return one object."""
        path = f"/{STORE_KINDS[kind]}/{quote(name, safe='')}"
        read = await self._call("GET", path, None, PlatformObject)
        return read.map(lambda answer: _to_stored_object(kind, answer))

    async def list_objects(self, kind: str) -> Result[ObjectList, StoreError]:
        """Return all objects of a kind."""
        return await self._list(kind, "")

    async def list_cached(self, kind: str) -> Result[ObjectList, StoreError]:
        """Return the objects of a kind as they were some seconds ago."""
        return await self._list(kind, "serializable=1")

    async def _list(self, kind: str, options: str) -> Result[ObjectList, StoreError]:
        objects: list[StoredObject] = []
        # Objects of the first page may change while the others are read, so
        # that only the revision of the first page holds for all.
        revision: int | None = None
        query = options
        while True:
            path = f"/{STORE_KINDS[kind]}?{query}" if query else f"/{STORE_KINDS[kind]}"
            read = await self._call("GET", path, None, ObjectPage)
            if read.is_error():
                return Error(read.error)
            page, era = read.ok.value, read.ok.era
            if revision is None:
                revision = join_revision(era, page.at_rev)
            elif era != era_of(revision):
                return Error(_unavailable("the era changed between two pages"))
            items = _decode_items(kind, page.items, PlatformObject)
            objects.extend(_to_stored_object(kind, _Answer(it, era)) for it in items)
            if not page.has_more or not items:
                break
            after = f"after={quote(items[-1].metadata.name, safe='')}"
            query = f"{options}&{after}" if options else after
        return Ok(ObjectList(revision=revision, objects=objects, complete=True))

    async def watch(
        self, kind: str, *, after: int, wait_s: float
    ) -> Result[ObjectList, StoreError]:
        """Return the objects changed after a revision; wait for the first."""
        self._era = max(self._era, era_of(after))
        if era_of(after) < self._era:
            return await self.list_objects(kind)
        query = f"watch={own_number(after)}&wait_ms={int(wait_s * 1000)}"
        path = f"/{STORE_KINDS[kind]}?{query}"
        read = await self._call("GET", path, None, EventPage, wait_s)
        if read.is_error():
            if read.error.kind is StoreErrorKind.REFUSED:
                # The store refuses a watch with status 410 if it no longer has
                # the changes after the revision.
                return await self.list_objects(kind)
            return Error(read.error)
        page, era = read.ok.value, read.ok.era
        if era != era_of(after):
            # The number has been assigned again, so that changes are missing.
            return await self.list_objects(kind)
        objects = [
            _to_stored_object(
                kind,
                _Answer(event.object, era),
                page.at_rev if event.deleted else None,
            )
            for event in _decode_items(kind, page.events, ObjectEvent)
        ]
        return Ok(ObjectList(revision=join_revision(era, page.at_rev), objects=objects))

    async def put(
        self, kind: str, name: str, value: Any, *, if_revision: int
    ) -> Result[StoredObject, StoreError]:
        """Write an object if it still has the given revision, 0 if new."""
        if self._is_of_older_era(if_revision):
            return Error(_older_condition())
        path = f"/{STORE_KINDS[kind]}"
        metadata: dict[str, Any] = {"name": name}
        if if_revision:
            metadata["revision"] = own_number(if_revision)
        body: dict[str, Any] = {"metadata": metadata}
        if kind in STATUS_KINDS:
            body["status"] = encode_status(value)
            path = f"{path}/{quote(name, safe='')}/status"
        else:
            body["spec"] = value
            if if_revision:
                path = f"{path}/{quote(name, safe='')}"
        method = "PUT" if if_revision else "POST"
        written = await self._call(method, path, body, PlatformObject)
        return written.map(lambda answer: _to_stored_object(kind, answer))

    async def delete(
        self, kind: str, name: str, *, if_revision: int
    ) -> Result[StoredObject, StoreError]:
        """Delete an object if it still has the given revision."""
        if self._is_of_older_era(if_revision):
            return Error(_older_condition())
        condition = f"revision={own_number(if_revision)}"
        path = f"/{STORE_KINDS[kind]}/{quote(name, safe='')}?{condition}"
        deleted = await self._call("DELETE", path, None, PlatformObject)
        return deleted.map(lambda answer: _to_stored_object(kind, answer))

    async def _call(
        self,
        method: str,
        path: str,
        body: Any,
        result_class: type[T],
        wait_s: float = 0.0,
    ) -> Result[_Answer[T], StoreError]:
        try:
            response = await self._connections.request(
                method,
                self._base_url + path,
                headers=[(b"content-type", b"application/json")] if body else None,
                content=encode_json(body) if body else None,
                extensions={"timeout": _timeouts(wait_s)},
            )
        except (NetworkError, ProtocolError, TimeoutException) as error:
            reason = f"{type(error).__name__}: {error}"
            return Error(_unavailable(reason))
        era = self._find_era(response)
        if era is None:
            return Error(_unavailable("answer of an older era"))
        return _decode(response, result_class).map(lambda value: _Answer(value, era))

    def _find_era(self, response: Response) -> int | None:
        """Return the era of an answer, None if a newer era is known."""
        era = _read_era(response)
        if era < self._era:
            return None
        self._era = era
        return era

    def _is_of_older_era(self, revision: int) -> bool:
        """Return whether a condition names a revision that exists no more.

        The store may have assigned its number to another object since.
        """
        if not revision:
            return False
        self._era = max(self._era, era_of(revision))
        return era_of(revision) < self._era


def _read_era(response: Response) -> int:
    for name, value in response.headers:
        if name.lower() == STORE_ERA_HEADER:
            text = value.strip()
            if text.isdigit() and len(text) <= len(str(MAX_ERA)):
                return min(int(text), MAX_ERA)
            logger.warning("store era not read", value=repr(value))
    return 0


def _unavailable(reason: str) -> StoreError:
    return StoreError(kind=StoreErrorKind.UNAVAILABLE, reason=reason)


def _older_condition() -> StoreError:
    reason = "the revision is of an older era"
    return StoreError(kind=StoreErrorKind.CONFLICT, reason=reason)


def _timeouts(wait_s: float = 0.0) -> dict[str, float]:
    return {
        "connect": CONNECT_TIMEOUT_S,
        "pool": CALL_TIMEOUT_S,
        "read": wait_s + CALL_TIMEOUT_S,
        "write": CALL_TIMEOUT_S,
    }


def _decode(response: Response, result_class: type[T]) -> Result[T, StoreError]:
    if response.status not in (200, 201):
        error_kind = _ERROR_KINDS.get(response.status, StoreErrorKind.REFUSED)
        if response.status >= 500:
            error_kind = StoreErrorKind.UNAVAILABLE
        return Error(StoreError(kind=error_kind, reason=f"status {response.status}"))
    decoded = decode_json(response.content, result_class)
    if decoded.is_error():
        shallow = replace_deep_values(response.content)
        decoded = decode_json(shallow, result_class)
    if decoded.is_error():
        return Error(_unavailable(f"malformed response: {decoded.error.reason}"))
    return Ok(decoded.ok)


def _decode_items(kind: str, items: list[Raw], item_class: type[T]) -> list[T]:
    """Return the objects that can be read; log the others."""
    objects = []
    for item in items:
        decoded = decode_json(bytes(item), item_class)
        if decoded.is_ok():
            objects.append(decoded.ok)
        else:
            reason = decoded.error.reason
            logger.warning("object not read", kind=kind, reason=reason)
    return objects


def _to_stored_object(
    kind: str, answer: _Answer[PlatformObject], deleted_number: int | None = None
) -> StoredObject:
    item = answer.value
    number = item.metadata.revision
    if deleted_number is not None:
        number = max(number, deleted_number)
    return StoredObject(
        kind=kind,
        name=item.metadata.name,
        revision=join_revision(answer.era, number),
        value=item,
        deleted=deleted_number is not None,
    )
