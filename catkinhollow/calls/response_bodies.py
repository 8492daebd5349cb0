"""Limit the memory for the bodies of responses that are still arriving."""

from collections.abc import Iterator
from contextlib import contextmanager

from attrs import define, field
from trio import CancelScope


@define(eq=False)
class ResponseBody:
    """Collect the parts of one body."""

    data: bytearray = field(factory=bytearray)
    parts: int = 0
    dropped: bool = False
    """Whether the body was given up because all take too much memory."""
    scope: CancelScope = field(factory=CancelScope)

    def drop(self) -> None:
        """Free the memory and end the read of the body."""
        self.data = bytearray()
        self.dropped = True
        self.scope.cancel()


class ResponseBodies:
    """Track the bodies that arrive at the same time.

    The largest one is dropped if all together exceed the limit, so that
    responses of usual sizes pass beside those without end.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._open: set[ResponseBody] = set()
        self._size_bytes = 0

    @property
    def size_bytes(self) -> int:
        """Return the size of all bodies that are arriving."""
        return self._size_bytes

    @contextmanager
    def collect(self) -> Iterator[ResponseBody]:
        """Track a body while it is read.

        Dropping the body ends the block.
        """
        body = ResponseBody()
        self._open.add(body)
        try:
            with body.scope:
                yield body
        finally:
            self._open.remove(body)
            self._size_bytes -= len(body.data)

    def append(self, body: ResponseBody, part: bytes) -> None:
        """Add a part to a body, which may be dropped for it."""
        body.data += part
        body.parts += 1
        self._size_bytes += len(part)
        while self._size_bytes > self._max_bytes:
            largest = max(self._open, key=lambda one: len(one.data))
            self._size_bytes -= len(largest.data)
            largest.drop()
