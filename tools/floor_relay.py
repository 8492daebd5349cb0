"""Relay calls between two processes without any decisions.

Shows the least processor time of a call through two daemons: each side only
reads, parses and writes. Run it once as the ingress and once as the gate.
"""

import sys
from argparse import ArgumentParser
from itertools import count
from typing import Any

import httptools
import msgspec
import pynng
import trio

READ_BYTES = 65536
QUEUE_FRAMES = 256
HEAD_END = b"\r\n\r\n"


class _Message:
    """Collect one message from the callbacks of httptools."""

    def __init__(self) -> None:
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b""
        self.url = b""
        self.complete = False

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name.lower(), value))

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.complete = True


def _write_head(first_line: bytes, headers: Any, body: bytes) -> bytes:
    lines = [first_line]
    lines += [b"%s: %s" % (name, value) for name, value in headers]
    lines += [b"content-length: %d" % len(body), b"", body]
    return b"\r\n".join(lines)


async def _receive(socket: Any) -> Any:
    while True:
        try:
            return msgspec.msgpack.decode(socket.recv(block=False))
        except pynng.TryAgain:
            await trio.lowlevel.wait_readable(socket.recv_fd)


class _Ingress:
    """Pass the requests of callers on and return the answers."""

    def __init__(self, pull: Any, push: Any) -> None:
        self._pull, self._push = pull, push
        self._numbers = count()
        self._waiting: dict[int, tuple[trio.Event, list[Any]]] = {}

    async def run(self, port: int) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_answers)
            await trio.serve_tcp(self._serve, port, host="127.0.0.1")

    async def _read_answers(self) -> None:
        while True:
            answer = await _receive(self._pull)
            event, answers = self._waiting.pop(answer[0])
            answers.append(answer)
            event.set()

    async def _serve(self, stream: trio.SocketStream) -> None:
        while data := await stream.receive_some(READ_BYTES):
            message = _Message()
            parser = httptools.HttpRequestParser(message)
            parser.feed_data(data)
            while not message.complete:
                parser.feed_data(await stream.receive_some(READ_BYTES))
            number = next(self._numbers)
            event, answers = trio.Event(), []
            self._waiting[number] = (event, answers)
            call = [number, parser.get_method(), message.url, message.headers]
            self._push.send(msgspec.msgpack.encode([*call, message.body]), block=False)
            await event.wait()
            _, status, headers, body = answers[0]
            await stream.send_all(_write_head(b"HTTP/1.1 %d " % status, headers, body))


class _Gate:
    """Run calls at the target."""

    def __init__(self, pull: Any, push: Any, target: int) -> None:
        self._pull, self._push, self._target = pull, push, target
        self._idle: list[trio.SocketStream] = []

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                nursery.start_soon(self._run_call, await _receive(self._pull))

    async def _run_call(self, call: Any) -> None:
        number, method, url, headers, body = call
        if self._idle:
            stream = self._idle.pop()
        else:
            stream = await trio.open_tcp_stream("127.0.0.1", self._target)
        first_line = b"%s %s HTTP/1.1" % (method, url)
        await stream.send_all(_write_head(first_line, headers, body))
        message = _Message()
        parser = httptools.HttpResponseParser(message)
        while not message.complete:
            parser.feed_data(await stream.receive_some(READ_BYTES))
        self._idle.append(stream)
        kept = [item for item in message.headers if item[0] != b"content-length"]
        answer = [number, parser.get_status_code(), kept, message.body]
        self._push.send(msgspec.msgpack.encode(answer), block=False)


def main() -> int:
    """Run one side until it is killed."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("side", choices=["ingress", "gate"])
    parser.add_argument("--listen", type=int, required=True)
    parser.add_argument("--peer", type=int, required=True)
    parser.add_argument("--http", type=int, required=True)
    arguments = parser.parse_args()
    pull = pynng.Pull0(
        listen=f"tcp://127.0.0.1:{arguments.listen}", recv_buffer_size=QUEUE_FRAMES
    )
    push = pynng.Push0(
        dial=f"tcp://127.0.0.1:{arguments.peer}",
        block_on_dial=False,
        send_buffer_size=QUEUE_FRAMES,
        reconnect_time_min=50,
        reconnect_time_max=50,
    )
    if arguments.side == "ingress":
        trio.run(_Ingress(pull, push).run, arguments.http)
    else:
        trio.run(_Gate(pull, push, arguments.http).run)
    return 0


if __name__ == "__main__":
    sys.exit(main())
