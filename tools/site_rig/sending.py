"""Sends one request in the manner of its client."""

import asyncio
import time

from tools.site_rig.delay_line import DelayLine
from tools.site_rig.exchanges import Exchange
from tools.site_rig.manners import Manner

# A client that hears of no interim answer sends its body all the same.
_EXPECTATION_S = 1.0


class Sending:
    """The sending of one request; ``send`` returns when the rest may wait."""

    def __init__(
        self, *, transport: asyncio.Transport, line: DelayLine, manner: Manner
    ) -> None:
        self._transport = transport
        self._line = line
        self._manner = manner
        self._exchange: Exchange | None = None
        self._rest = b''
        self._timer: asyncio.TimerHandle | None = None

    def send(self, exchange: Exchange, head: bytes, body: bytes) -> None:
        """Send a request, or the first part of it."""
        self._exchange = exchange
        exchange.began_s = time.monotonic()
        whole = head + body
        first = len(whole)
        if self._manner.expects and body:
            self._wait(_EXPECTATION_S)
            first = len(head)
        elif self._manner.send_pause_s:
            self._wait(self._manner.send_pause_s)
            first = len(whole) // 2
        self._rest = whole[first:]
        self._write(whole[:first])
        self._finish()

    def go_on(self) -> None:
        """Send the rest, if there is any and it still makes sense."""
        if self._timer is not None:
            self._timer.cancel()
        if self._rest and not self._exchange.is_done:
            self._write(self._rest)
            self._rest = b''
            self._finish()

    @property
    def is_complete(self) -> bool:
        """Tell whether all was sent."""
        return not self._rest

    def _wait(self, pause_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(pause_s, self.go_on)

    def _finish(self) -> None:
        if self._rest:
            return
        self._line.put(self._note_end)
        if self._manner.half_closes and self._exchange.is_kept:
            self._line.put(self._half_close)

    def _note_end(self) -> None:
        """Note when the last byte left: a late loop sends late."""
        if not self._exchange.is_done:
            self._exchange.sent_s = time.monotonic() - self._line.delay_s

    def _write(self, sent: bytes) -> None:
        def write() -> None:  # noqa: WPS430
            if not self._transport.is_closing():
                self._transport.write(sent)

        self._line.put(write)

    def _half_close(self) -> None:
        if not self._transport.is_closing():
            self._transport.write_eof()
