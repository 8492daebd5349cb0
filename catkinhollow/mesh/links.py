"""Define events, counters and thread limits of the links over nng."""

from typing import Any

import pynng
from attrs import define, frozen

# pynng carries no type annotations.
_nng: Any = pynng
_lib: Any = _nng._nng.lib

_THREAD_COUNT_PARAMETERS = (
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
    """Signal that messages can be sent to a peer."""

    address: str


@frozen(kw_only=True)
class LinkDown:
    """Signal that the last connection to a peer has closed."""

    address: str


@define
class LinkCounters:
    """Count dials, messages and their bytes, without nng and TCP overhead."""

    dials: int = 0

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
    """Limit nng to one thread of each kind.

    Call this before the first socket is opened.
    """
    for name in _THREAD_COUNT_PARAMETERS:
        _lib.nng_init_set_parameter(getattr(_lib, name), 1)
