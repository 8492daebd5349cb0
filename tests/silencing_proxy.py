"""Forward connections to a server until they fall silent for good."""

import trio


class SilencingProxy:
    """Forward bytes until the open connections are silenced for good."""

    def __init__(self, server_port):
        self.server_port = server_port
        self.era = 0
        self.holds_new = False

    def silence(self):
        self.era += 1

    async def serve(self, port, task_status=trio.TASK_STATUS_IGNORED):
        listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
        task_status.started()
        await trio.serve_listeners(self.handle, listeners)

    async def handle(self, client):
        era = self.era
        if self.holds_new:
            await trio.sleep_forever()
        server = await trio.open_tcp_stream("127.0.0.1", self.server_port)
        async with client, server, trio.open_nursery() as nursery:
            nursery.start_soon(self.forward, client, server, era)
            await self.forward(server, client, era)
            nursery.cancel_scope.cancel()

    async def forward(self, source, sink, era):
        try:
            while data := await source.receive_some(65536):
                if era != self.era:
                    # No kernel tells the other side of the end either.
                    await trio.sleep_forever()
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
