"""Client connections that read slowly, send in parts or end their sending."""

import asyncio
import time

from tools.site_rig.caller_connection import CallerConnection
from tools.site_rig.exchanges import Exchange


class LinkedConnection(CallerConnection):
    """A client's connection; ``bytes_per_s`` bounds what it reads."""

    def __init__(self, *, delay_s: float, bytes_per_s: float = 0) -> None:
        super().__init__(delay_s=delay_s)
        self._bytes_per_s = bytes_per_s

    def data_received(self, chunk: bytes) -> None:
        """Read answers, and nothing more for now if that is slow."""
        if self._bytes_per_s:
            self._pause_reading(len(chunk) / self._bytes_per_s)
        super().data_received(chunk)

    def send_more(self, exchange: Exchange, chunk: bytes) -> None:
        """Send a further part of a request."""

        def write() -> None:  # noqa: WPS430
            if not self._transport.is_closing():
                self._transport.write(chunk)
            # Behind the note of the part before, which is delayed too.
            exchange.sent_s = time.monotonic() - self._out.delay_s

        self._out.put(write)

    def end_sending(self) -> None:
        """Half-close."""
        self.is_usable = False
        self._out.put(self._end_sending)

    def _end_sending(self) -> None:
        if not self._transport.is_closing():
            self._transport.write_eof()

    def _pause_reading(self, pause_s: float) -> None:
        if self._transport.is_reading():
            self._transport.pause_reading()
        loop = asyncio.get_running_loop()
        loop.call_later(pause_s, self._resume_reading)

    def _resume_reading(self) -> None:
        if not self._transport.is_closing():
            self._transport.resume_reading()
