"""Set up connections to a store so that dead ones are noticed."""

import socket

# Keepalive covers a connection on which a watch waits: it ends within 3 s
# after the kernel of its peer has become silent.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# The user timeout covers bytes that are not acknowledged, such as a request
# into a dead connection, for which the kernel sends no keepalive probes.
USER_TIMEOUT_MS = 3000
# A connection that has been idle for longer may have fallen silent, and the
# next call on it would end with a time-out.
IDLE_EXPIRY_S = 0.5

# Platforms lack some of the TCP options.
_TCP_OPTIONS = {
    "TCP_KEEPIDLE": KEEPALIVE_IDLE_S,
    "TCP_KEEPINTVL": KEEPALIVE_INTERVAL_S,
    "TCP_KEEPCNT": KEEPALIVE_PROBES,
    "TCP_USER_TIMEOUT": USER_TIMEOUT_MS,
}
SOCKET_OPTIONS = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    *(
        (socket.IPPROTO_TCP, getattr(socket, name), value)
        for name, value in _TCP_OPTIONS.items()
        if hasattr(socket, name)
    ),
]
