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
        self.open_clients = 0
        """Number of connections that the client has not closed."""
        self.open_servers = 0
        """Number of connections that the server has not closed."""

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
        generation = self._generation
        server = await trio.open_tcp_stream("127.0.0.1", self._server_port)
        async with client, server, trio.open_nursery() as nursery:
            nursery.start_soon(self._forward_requests, client, server, generation)
            nursery.start_soon(self._forward_responses, server, client, generation)

    async def _forward_requests(self, client, server, generation):
        self.open_clients += 1
        await self._forward(client, server, generation)
        self.open_clients -= 1

    async def _forward_responses(self, server, client, generation):
        self.open_servers += 1
        await self._forward(server, client, generation)
        self.open_servers -= 1

    async def _forward(self, source, sink, generation):
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                if generation == self._generation:
                    await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        if generation == self._generation:
            # The other end of a silent connection does not learn of the end.
            await trio.aclose_forcefully(source)
            await trio.aclose_forcefully(sink)
