"""Tests of the announcements of a stand-in target."""

import trio
from asgi_pool import AsgiPool

from catkinhollow.calls.exchange import plain_response
from catkinhollow.calls.http_server import read_request, send_response
from catkinhollow.codec import decode_json
from catkinhollow.generated.messages import TargetRecord
from catkinhollow.generated.settings import Address
from catkinhollow.testbed.announcer import Announcer

RECORD = TargetRecord(
    service="orders", version="v1", address="127.0.0.1:2", slots=3, started_ms=4
)


class Daemon:
    """Collect announcements; answer, refuse, cut or hang in a fixed order."""

    def __init__(self):
        self.records = []
        self.behaviours = ["answer", "hang", "refuse", "cut", "answer"]

    async def __call__(self, scope, receive, send):
        request = (await read_request(scope, receive, 10_000)).ok
        assert (request.method, request.path) == ("POST", "/announce")
        self.records.append(decode_json(request.body, TargetRecord).ok)
        behaviour = self.behaviours.pop(0)
        if behaviour == "hang":
            await trio.sleep_forever()
        if behaviour == "cut":
            return
        status = 503 if behaviour == "refuse" else 200
        await send_response(send, plain_response(status, behaviour))


async def test_target_is_announced_again_after_failed_announcements(
    autojump_clock, nursery
):
    """Guards against a restarted daemon that never learns of its target."""
    daemon = Daemon()
    admin = Address(host="127.0.0.1", port=1)
    announcer = Announcer(admin, lambda: RECORD, AsgiPool(daemon, nursery))
    with trio.move_on_after(5.5):
        await announcer.run()
    nursery.cancel_scope.cancel()
    assert daemon.behaviours == []
    assert daemon.records == [RECORD] * 5
