"""Run a stand-in as a process until SIGTERM or SIGINT."""

import signal

import trio
from attrs import frozen

from catkinhollow.calls.http_server import serve_app
from catkinhollow.clock import TrioClock
from catkinhollow.generated.settings import Address, HttpSettings
from catkinhollow.generated.testbed import TargetFaults, TargetProfile
from catkinhollow.testbed.announcer import Announcer
from catkinhollow.testbed.store import StoreApp
from catkinhollow.testbed.store_state import StoreState
from catkinhollow.testbed.target import TargetApp
from catkinhollow.testbed.target_control import TargetControl, TargetIdentity
from catkinhollow.testbed.target_model import TargetModel

# Short, as waiting watches and hung calls need not finish.
STORE_DRAIN_S = 0.5

TARGET_DRAIN_S = 20.0

# Time between the drain state and the close of idle connections, in which
# callers learn of it; twice the interval of the announcements.
TARGET_LINGER_S = 2.0


@frozen(kw_only=True)
class TargetOptions:
    """Configure a stand-in target."""

    service: str
    version: str
    address: Address
    admin: Address | None
    profile: TargetProfile
    faults: TargetFaults


async def run_store(address: Address) -> None:
    """Serve an empty store until SIGTERM or SIGINT."""
    shutdown = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_set_on_signal, shutdown)
        app = StoreApp(StoreState())
        await serve_app(
            app, address, HttpSettings(), shutdown=shutdown, drain_s=STORE_DRAIN_S
        )
        nursery.cancel_scope.cancel()


async def run_target(options: TargetOptions) -> None:
    """Serve and announce a target until SIGTERM or SIGINT."""
    clock = TrioClock()
    now_s = clock.monotonic()
    model = TargetModel(options.profile, now_s=now_s, version=options.version)
    model.set_faults(options.faults, now_s)
    identity = TargetIdentity(
        service=options.service,
        version=options.version,
        address=f"{options.address.host}:{options.address.port}",
    )
    control = TargetControl(identity, model, clock)
    shutdown = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_set_on_signal, shutdown)
        nursery.start_soon(_drain_on, shutdown, model)
        if options.admin is not None:
            nursery.start_soon(Announcer(options.admin, control.record).run)
        await serve_app(
            TargetApp(model, clock, control),
            options.address,
            HttpSettings(),
            shutdown=shutdown,
            drain_s=TARGET_DRAIN_S,
            linger_s=TARGET_LINGER_S,
        )
        nursery.cancel_scope.cancel()


async def _set_on_signal(shutdown: trio.Event) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            shutdown.set()


async def _drain_on(shutdown: trio.Event, model: TargetModel) -> None:
    await shutdown.wait()
    model.drain()
