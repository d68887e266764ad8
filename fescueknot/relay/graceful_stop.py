"""A planned stop: callers go elsewhere, answers in flight go out."""

import asyncio

from fescueknot.httpio.server import Server
from fescueknot.relay.caller_handler import CallerHandler
from fescueknot.relay.gatekeeper import Gatekeeper

# Callers are told to go elsewhere within this time of a stop.
_CALLERS_LEAVE_S = 2.8
_QUIET_S = 0.4
# What is left of the grace when the last answers must be out.
_RESERVE_S = 0.9
_LAST_ANSWERS_S = 0.4
_LOOK_S = 0.05


class GracefulStop:
    """Ends the work of one node within a grace."""

    def __init__(
        self,
        *,
        callers: Server,
        nodes: Server,
        caller_handler: CallerHandler,
        gatekeeper: Gatekeeper,
    ) -> None:
        self._callers = callers
        self._nodes = nodes
        self._caller_handler = caller_handler
        self._gatekeeper = gatekeeper

    async def run(self, grace_s: float) -> None:
        """Return when nothing is in progress, or the grace is nearly over."""
        loop = asyncio.get_running_loop()
        last_s = loop.time() + grace_s - _RESERVE_S
        self._gatekeeper.stopping = True
        self._callers.leave()
        self._nodes.leave()
        await asyncio.sleep(_CALLERS_LEAVE_S)
        self._caller_handler.refuses_root_requests = True
        await self._until_quiet(last_s)
        self._callers.stop_listening()
        self._nodes.stop_listening()
        ends_s = loop.time() + _LAST_ANSWERS_S
        while self.busy() and loop.time() < ends_s:
            await asyncio.sleep(_LOOK_S)

    def busy(self) -> int:
        """Return how many requests are in progress."""
        return self._callers.busy + self._nodes.busy

    async def _until_quiet(self, last_s: float) -> None:
        loop = asyncio.get_running_loop()
        quiet_since_s = loop.time()
        while loop.time() < last_s:
            if self.busy():
                quiet_since_s = loop.time()
            if loop.time() - quiet_since_s >= _QUIET_S:
                return
            await asyncio.sleep(_LOOK_S)
