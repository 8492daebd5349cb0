"""Share what the links over nng have in common."""

from typing import Any

import pynng
from attrs import define, frozen

# pynng carries no type annotations.
_nng: Any = pynng
_lib: Any = _nng._nng.lib

_THREAD_COUNTS = (
    "NNG_INIT_NUM_TASK_THREADS",
    "NNG_INIT_MAX_TASK_THREADS",
    "NNG_INIT_NUM_EXPIRE_THREADS",
    "NNG_INIT_MAX_EXPIRE_THREADS",
    "NNG_INIT_NUM_POLLER_THREADS",
    "NNG_INIT_MAX_POLLER_THREADS",
    "NNG_INIT_NUM_RESOLVER_THREADS",
)


@frozen(kw_only=True)
class LinkUp:
    """Tell that messages can be sent to a peer."""

    address: str


@frozen(kw_only=True)
class LinkDown:
    """Tell that no connection to a peer is left."""

    address: str


@define
class LinkCounters:
    """Count messages and their bytes, without those of nng and TCP."""

    messages_sent: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    bytes_received: int = 0

    def count_sent(self, size_bytes: int) -> None:
        """Count a message that nng accepted."""
        self.messages_sent += 1
        self.bytes_sent += size_bytes

    def count_received(self, size_bytes: int) -> None:
        """Count a message that arrived."""
        self.messages_received += 1
        self.bytes_received += size_bytes


def limit_nng_threads() -> None:
    """Let nng start the fewest threads; call before the first socket."""
    for name in _THREAD_COUNTS:
        _lib.nng_init_set_parameter(getattr(_lib, name), 1)
