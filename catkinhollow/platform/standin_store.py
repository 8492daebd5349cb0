"""Provide a stand-in for the platform's object store.

Tests and the soak test use it.
"""

from typing import Any
from urllib.parse import parse_qs, unquote

import trio
from attrs import evolve, frozen

from catkinhollow.calls.exchange import Request, Response, json_response, plain_response
from catkinhollow.calls.http_server import (
    Receive,
    Scope,
    Send,
    read_request,
    send_response,
)
from catkinhollow.codec import decode_json, to_plain
from catkinhollow.platform.headers import STORE_ERA_HEADER
from catkinhollow.platform.objects import STORE_KINDS

MAX_BODY_BYTES = 1_000_000
PATH_PREFIX = "/objects/"


@frozen(kw_only=True)
class StoreCopy:
    """Represent all that the store held at one time."""

    revision: int
    objects: dict[tuple[str, str], dict[str, Any]]
    history: list[tuple[str, dict[str, Any]]]


class StandInStore:
    """Serve objects, conditional writes and watches as an ASGI application.

    It may come back from a copy that was taken earlier, which begins a new
    era. In era 0 it sends no era.
    """

    def __init__(self) -> None:
        self.down = False
        self._era = 0
        self._revision = 1
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._history: list[tuple[str, dict[str, Any]]] = []
        self._changed = trio.Event()

    def write(self, kind: str, name: str, value: Any) -> None:
        """Write the spec of an object as an operator does.

        The kind is one of the project's.
        """
        self._put(STORE_KINDS[kind], name, {"spec": to_plain(value)})

    def remove(self, kind: str, name: str) -> None:
        """Remove an object as an operator does."""
        self._delete(STORE_KINDS[kind], name)

    @property
    def era(self) -> int:
        """Return how often the store has come back from a copy."""
        return self._era

    def take_copy(self) -> StoreCopy:
        """Return a copy of all objects and of the history."""
        return StoreCopy(
            revision=self._revision,
            objects=dict(self._objects),
            history=list(self._history),
        )

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy and forget what was written since."""
        self._era += 1
        self._revision = copy.revision
        self._objects = dict(copy.objects)
        self._history = list(copy.history)
        # Watches of the era before end with the answer of this one.
        self._signal_change()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        read = await read_request(scope, receive, MAX_BODY_BYTES)
        response = await self._handle(read.ok) if read.is_ok() else read.error
        if self._era:
            era = str(self._era).encode()
            response = evolve(
                response, headers=[*response.headers, (STORE_ERA_HEADER, era)]
            )
        await send_response(send, response)

    async def _handle(self, request: Request) -> Response:
        if self.down:
            return plain_response(503, "the store is down")
        path = request.path.removeprefix(PATH_PREFIX).split("/")
        kind, name = path[0], unquote(path[1]) if len(path) > 1 else ""
        query = {
            key: values[0] for key, values in parse_qs(request.query.decode()).items()
        }
        if request.method == "GET":
            return await self._read(kind, name, query)
        body = decode_json(request.body, dict).ok if request.body else {}
        name = name or body["metadata"]["name"]
        return self._write(request.method, kind, name, body, query, path[2:])

    async def _read(self, kind: str, name: str, query: dict[str, str]) -> Response:
        if name:
            found = self._objects.get((kind, name))
            return json_response(200, found) if found else plain_response(404, "none")
        if "watch" in query:
            return await self._watch(
                kind, int(query["watch"]), int(query["wait_ms"]) / 1000.0
            )
        items = [
            item for (item_kind, _), item in self._objects.items() if item_kind == kind
        ]
        return json_response(
            200, {"items": items, "has_more": False, "at_rev": self._revision}
        )

    async def _watch(self, kind: str, after: int, wait_s: float) -> Response:
        era = self._era
        with trio.move_on_after(wait_s):
            while self._waits(era, kind, after):
                await self._changed.wait()
        if self.down:
            return plain_response(503, "the store is down")
        if era != self._era or after > self._revision:
            return plain_response(410, "no such revision")
        events = self._find_events(kind, after)
        return json_response(200, {"events": events, "at_rev": self._revision})

    def _waits(self, era: int, kind: str, after: int) -> bool:
        if self.down or era != self._era or after > self._revision:
            return False
        return not self._find_events(kind, after)

    def _find_events(self, kind: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for event_kind, event in self._history
            if event_kind == kind and event["object"]["metadata"]["revision"] > after
        ]

    def _write(
        self,
        method: str,
        kind: str,
        name: str,
        body: dict[str, Any],
        query: dict[str, str],
        subresource: list[str],
    ) -> Response:
        existing = self._objects.get((kind, name))
        expected = body.get("metadata", {}).get("revision") or query.get("revision")
        if method != "POST" and existing is None:
            return plain_response(404, "none")
        if method == "POST" and existing is not None:
            return json_response(409, existing)
        if existing and expected and int(expected) != existing["metadata"]["revision"]:
            return json_response(409, existing)
        if method == "DELETE":
            return json_response(200, self._delete(kind, name))
        part = "status" if subresource == ["status"] else "spec"
        return json_response(200, self._put(kind, name, {part: body.get(part)}))

    def _put(self, kind: str, name: str, parts: dict[str, Any]) -> dict[str, Any]:
        existing = self._objects.get((kind, name))
        self._revision += 1
        created = existing["metadata"]["created_rev"] if existing else self._revision
        stored = {
            **(existing or {}),
            **parts,
            "metadata": {
                "name": name,
                "revision": self._revision,
                "created_rev": created,
            },
        }
        self._objects[kind, name] = stored
        self._record_event(kind, {"object": stored, "deleted": False})
        return stored

    def _delete(self, kind: str, name: str) -> dict[str, Any]:
        self._revision += 1
        stored = self._objects.pop((kind, name))
        metadata = {**stored["metadata"], "revision": self._revision}
        deleted = {**stored, "metadata": metadata}
        self._record_event(kind, {"object": deleted, "deleted": True})
        return deleted

    def _record_event(self, kind: str, event: dict[str, Any]) -> None:
        self._history.append((kind, event))
        self._signal_change()

    def _signal_change(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
