"""Open connections of callers that read slowly."""

import socket

import trio

# The kernel of the caller receives this much before it is read; the rest of a
# response waits with the daemon.
RECEIVE_BUFFER_BYTES = 2048


async def open_slow_connection(port):
    """Return a connection to a port of this machine."""
    sock = trio.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    await sock.connect(("127.0.0.1", port))
    return trio.SocketStream(sock)


async def read_while(stream, condition):
    """Read slowly while a condition holds; return what was read."""
    data = b""
    while condition():
        data += await stream.receive_some(RECEIVE_BUFFER_BYTES)
        await trio.sleep(0.002)
    return data


async def read_to_end(stream):
    """Read until the connection ends, perhaps by a reset."""
    data = b""
    try:
        while part := await stream.receive_some(65536):
            data += part
    except trio.BrokenResourceError:
        return data
    return data
