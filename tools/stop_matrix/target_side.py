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
        self._status = 0
        self._is_taken = False

    def connection_lost(self, error: Exception | None) -> None:
        """Drop the requests, but for one whose answer has been taken."""
        # Without an error, all that was written has left.
        self._is_taken = error is None and bool(self._status)
        super().connection_lost(error)

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    async def _serve(self) -> None:
        while True:
            arrival = await self._arrivals.get()
            began_s = time.monotonic()
            self._status = 0
            try:
                await self._serve_one(arrival)
            except asyncio.CancelledError:
                self._note_cut(arrival, began_s)
                raise
            self._note(arrival, began_s, self._end(), self._status)

    def _note_cut(self, arrival: Arrival, began_s: float) -> None:
        """Note a run whose connection has ended."""
        if self._is_taken:
            self._note(arrival, began_s, self._end(), self._status)
        else:
            self._note(arrival, began_s, _end_of_cut(arrival), 0)

    def _end(self) -> RunEnd:
        """Return how a run with an answer has ended."""
        is_rejected = self._status == _WRONG_TARGET
        return RunEnd.REJECTED if is_rejected else RunEnd.ANSWERED

    async def _send_without_end(self) -> None:
        """Send a body until the caller closes."""
        self._transport.write(_ENDLESS_HEAD)
        while True:
            if self._transport.get_write_buffer_size() < len(_PIECE):
                self._transport.write(_PIECE)
            await asyncio.sleep(_PAUSE_S)

    async def _serve_one(self, arrival: Arrival) -> None:
        if _ENDLESS in arrival.path:
            await self._send_without_end()
        reply = await self._app.answer(arrival)
        self._transport.write(reply.encode())
        self._status = reply.status
        while self._transport.get_write_buffer_size():
            await asyncio.sleep(_LOOK_S)


def _end_of_cut(arrival: Arrival) -> RunEnd:
    """Blame the target for an answer that has no end."""
    return RunEnd.BROKE_OFF if _ENDLESS in arrival.path else RunEnd.CUT
