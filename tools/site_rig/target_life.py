"""A target from its start to its end, or to its crash."""

import asyncio
import time

import msgspec

from tools.site_rig.heartbeats import Heartbeats
from tools.site_rig.target import SiteTarget
from tools.site_rig.target_server import TargetServer

# A target that gets no acknowledgement ends all the same.
_PATIENCE_S = 5.0
_AGAIN_S = 0.3


class Leaving(msgspec.Struct, frozen=True, kw_only=True):
    """How a target leaves: when it has drained it serves on for a time.

    One that leaves abruptly is off the list first and never drains.
    """

    drain_s: float
    serves_on_s: float
    is_abrupt: bool = False
    # One that is taken away is gone as long after the notice, done or not.
    gone_after_s: float | None = None


class TargetLife:
    """A target, its address and its heartbeats."""

    def __init__(self, *, target: SiteTarget, slots: int) -> None:
        self.target = target
        host = target.host
        self._beats = Heartbeats(target=target, slots=slots)
        self._server = TargetServer(
            app=target, ip=host.ip, port=host.target_port
        )
        self._beating: asyncio.Task[None] | None = None
        # It has begun to leave.
        self.has_left = False

    async def begin(self) -> None:
        """Serve, and send heartbeats."""
        await self._server.open()
        self._beating = asyncio.ensure_future(self._beats.run())

    async def leave(self, leaving: Leaving) -> None:
        """Say that it leaves, serve for a while and end."""
        self.has_left = True
        if leaving.gone_after_s is not None:
            await self._take_away(leaving.gone_after_s)
            return
        if self.target.is_down:
            return
        if leaving.is_abrupt:
            await self._until_acknowledged(self._beats.leave)
        else:
            self.target.is_leaving = True
            await self._until_acknowledged(self._beats.tell)
        await asyncio.sleep(leaving.drain_s + leaving.serves_on_s)
        if not leaving.is_abrupt:
            await self._beats.leave()
        self.end()

    def end(self) -> None:
        """End at once; what is at work ends with it."""
        self._stop()
        self._server.close()

    def darken(self) -> None:
        """Fall silent; the address is taken until the end."""
        self._stop()
        self._server.darken()

    def _stop(self) -> None:
        self.target.is_down = True
        self._beating.cancel()

    async def _take_away(self, after_s: float) -> None:
        self.target.is_leaving = True
        telling = asyncio.ensure_future(
            self._until_acknowledged(self._beats.tell)
        )
        await asyncio.sleep(after_s)
        telling.cancel()
        self.end()

    async def _until_acknowledged(self, tell) -> None:
        ends_s = time.monotonic() + _PATIENCE_S
        while not await tell() and time.monotonic() < ends_s:
            await asyncio.sleep(_AGAIN_S)
