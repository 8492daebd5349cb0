"""Finish the open work of a daemon that is being stopped."""

from collections.abc import Sequence

import trio

from catkinhollow.logs import get_logger
from catkinhollow.relay.admission.gate_service import GateService
from catkinhollow.relay.ingress import Ingress
from catkinhollow.relay.links.nng_link import NngFrameLink
from catkinhollow.relay.request_server import RequestServer
from catkinhollow.relay.shutdown.shutdown_plan import ShutdownPlan
from catkinhollow.timer import Timer

logger = get_logger(__name__)

# Time to send the responses to the requests that the shutdown has aborted.
LAST_RESPONSES_S = 0.3
LAST_RESPONSES_POLL_S = 0.02
DRAIN_POLL_S = 0.1


class Shutdown:
    """Wait for open requests and unread responses, up to a limit."""

    def __init__(
        self,
        plan: ShutdownPlan,
        *,
        server: RequestServer,
        other_servers: Sequence[RequestServer],
        ingress: Ingress,
        gate: GateService,
        link: NngFrameLink,
        timer: Timer,
    ) -> None:
        self._plan = plan
        self._server = server
        self._servers = [server, *other_servers]
        self._ingress = ingress
        self._gate = gate
        self._link = link
        self._timer = timer
        self._clock = timer.clock

    async def run(self) -> None:
        """Return when the daemon may end, within its grace period."""
        plan = self._plan
        self._server.begin_closing()
        started_s = self._clock.monotonic()
        self._timer.call_after(plan.refuse_calls_s, self._gate.stop)
        self._timer.call_after(plan.refuse_requests_s, self._ingress.stop)
        was_idle = False
        while (elapsed_s := self._clock.monotonic() - started_s) < plan.abort_s:
            idle = not (self._gate.busy or self._link.busy or self._has_callers())
            # Only return after a second idle check, so that the links can send
            # the last answers.
            if idle and was_idle and elapsed_s > plan.min_end_s:
                # A request that is read before the tasks are cancelled would
                # be passed on and cut off.
                self._ingress.stop()
                self._gate.stop()
                await self._end_connections(plan.abort_s - elapsed_s)
                return
            was_idle = idle
            await trio.sleep(DRAIN_POLL_S)
        await self._abort_requests()

    def _has_callers(self) -> bool:
        """Return whether callers wait for a response, or read one."""
        return any(server.busy or server.delivering for server in self._servers)

    async def _end_connections(self, limit_s: float) -> None:
        """Close all connections once their callers have read everything."""
        with trio.move_on_after(limit_s):
            async with trio.open_nursery() as nursery:
                for server in self._servers:
                    nursery.start_soon(server.close_idle_connections)

    async def _abort_requests(self) -> None:
        """Tell the callers of all open requests that there is no answer."""
        count = self._ingress.abort()
        logger.warning("shutdown aborted open requests", requests=count)
        with trio.move_on_after(LAST_RESPONSES_S):
            while self._has_callers():
                await trio.sleep(LAST_RESPONSES_POLL_S)
