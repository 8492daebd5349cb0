"""TCP proxy on loopback whose open connections can go silent for good."""

import trio

CHUNK_BYTES = 65536


class SilentProxy:
    """Forward bytes; connections silenced once never forward any again.

    The kernel still acknowledges what arrives, as beside a sidecar proxy, so
    that only a timeout of the application shows the silence.
    """

    def __init__(self, server_port):
        self._server_port = server_port
        self._generation = 0
        self.connections = 0
        """Number of connections accepted."""
        self.open = 0
        """Number of connections that neither end has closed."""

    def silence(self):
        """Let the open connections forward nothing any more."""
        self._generation += 1

    async def start(self, nursery):
        """Serve in a nursery and return the port."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, self._handle, listeners)
        return listeners[0].socket.getsockname()[1]

    async def _handle(self, client):
        self.connections += 1
        self.open += 1
        generation = self._generation
        server = await trio.open_tcp_stream("127.0.0.1", self._server_port)
        async with client, server, trio.open_nursery() as nursery:
            for source, sink in ((client, server), (server, client)):
                nursery.start_soon(self._forward, source, sink, generation, nursery)
        self.open -= 1

    async def _forward(self, source, sink, generation, nursery):
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                if generation == self._generation:
                    await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        nursery.cancel_scope.cancel()
