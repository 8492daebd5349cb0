"""Tests of the store client while open connections are silent."""

import trio

from catkinhollow.configuration.http_store import HttpStoreClient
from catkinhollow.generated.settings import Address, StoreSettings
from catkinhollow.testbed.loopback_proxy import LoopbackProxy
from catkinhollow.testbed.loopback_server import serve_on_loopback
from catkinhollow.testbed.processes import free_ports
from catkinhollow.testbed.store import StoreApp
from catkinhollow.testbed.store_state import StoreState


async def test_write_after_the_silence_uses_a_new_connection(nursery):
    """Guards against a time-out for each idle connection that is silent."""
    server_port, proxy_port = free_ports(2)
    await nursery.start(serve_on_loopback, StoreApp(StoreState()), server_port)
    proxy = LoopbackProxy(server_port)
    await nursery.start(proxy.serve, proxy_port)
    address = Address(host="127.0.0.1", port=proxy_port)
    client = HttpStoreClient(StoreSettings(address=address))
    assert (await client.list_objects("config")).is_ok()
    proxy.cut_open()
    await trio.sleep(1.0)
    started_s = trio.current_time()
    written = await client.put("config", "fleet", {}, if_revision=0)
    assert written.is_ok(), written.error
    assert trio.current_time() - started_s <= 1.0
