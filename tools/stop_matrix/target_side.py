"""A target's connection that knows when an answer has been handed over."""

import asyncio
import time
from collections.abc import Callable

from tools.site_rig.records import RunEnd
from tools.site_rig.target_connection import App, Arrival, TargetConnection

_LOOK_S = 0.01
_PAUSE_S = 0.002
_WRONG_TARGET = 421
_ENDLESS = '/endless/'
_ENDLESS_HEAD = b'HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n'
_PIECE = b'x' * 262_144
Note = Callable[[Arrival, float, RunEnd, int], None]


class MatrixConnection(TargetConnection):
    """Notes each run once the kernel has all of its answer."""

    def __init__(self, *, app: App, note: Note) -> None:
        super().__init__(app=app)
        self._note = note

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    async def _serve(self) -> None:
        while True:
            arrival = await self._arrivals.get()
            began_s = time.monotonic()
            try:
                status = await self._serve_one(arrival)
            except asyncio.CancelledError:
                self._note(arrival, began_s, _end_of_cut(arrival), 0)
                raise
            end = RunEnd.ANSWERED
            if status == _WRONG_TARGET:
                end = RunEnd.REJECTED
            self._note(arrival, began_s, end, status)

    async def _send_without_end(self) -> None:
        """Send a body until the caller closes."""
        self._transport.write(_ENDLESS_HEAD)
        while True:
            if self._transport.get_write_buffer_size() < len(_PIECE):
                self._transport.write(_PIECE)
            await asyncio.sleep(_PAUSE_S)

    async def _serve_one(self, arrival: Arrival) -> int:
        if _ENDLESS in arrival.path:
            await self._send_without_end()
        reply = await self._app.answer(arrival)
        self._transport.write(reply.encode())
        while self._transport.get_write_buffer_size():
            await asyncio.sleep(_LOOK_S)
        return reply.status


def _end_of_cut(arrival: Arrival) -> RunEnd:
    """Blame the target for an answer that has no end."""
    return RunEnd.BROKE_OFF if _ENDLESS in arrival.path else RunEnd.CUT
