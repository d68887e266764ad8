"""Client connections, as if behind a link of some delay."""

import asyncio
from collections.abc import Callable

from tools.site_rig.exchanges import CallerConnection, Exchange
from tools.site_rig.records import Outcome

_TICK_S = 1e-6
_CONTINUE = 100


class Delay:
    """Runs events later, in their order."""

    def __init__(self, *, delay_s: float) -> None:
        self._delay_s = delay_s
        self._last_s = float(0)

    def run(self, event: Callable[..., None], *arguments: object) -> None:
        """Run an event after the delay, at once if there is none."""
        if not self._delay_s:
            event(*arguments)
            return
        loop = asyncio.get_running_loop()
        due_s = max(self._last_s + _TICK_S, loop.time() + self._delay_s)
        self._last_s = due_s
        loop.call_at(due_s, event, *arguments)


class LinkTransport:
    """The sending half of a link."""

    def __init__(self, *, transport: asyncio.Transport, delay_s: float) -> None:
        self._transport = transport
        self._delay = Delay(delay_s=delay_s)

    def write(self, chunk: bytes) -> None:
        """Send bytes."""
        self._delay.run(self._write, chunk)

    def write_eof(self) -> None:
        """Send the end."""
        self._delay.run(self._write_eof)

    def abort(self) -> None:
        """Close."""
        self._delay.run(self._transport.abort)

    def close(self) -> None:
        """Close after all that was written."""
        self._delay.run(self._transport.close)

    def pause_reading(self) -> None:
        """Read nothing for now."""
        if self._transport.is_reading():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read on."""
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def _write(self, chunk: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.write(chunk)

    def _write_eof(self) -> None:
        if not self._transport.is_closing():
            self._transport.write_eof()


class LinkedConnection(CallerConnection):
    """A client's connection; ``bytes_per_s`` bounds what it reads."""

    def __init__(self, *, delay_s: float, bytes_per_s: float = 0) -> None:
        super().__init__()
        self._delay_s = delay_s
        self._delay = Delay(delay_s=delay_s)
        self._bytes_per_s = bytes_per_s
        self.link: LinkTransport | None = None
        self.continued = asyncio.Event()
        self.is_half_closed = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take requests from now on."""
        self.link = LinkTransport(transport=transport, delay_s=self._delay_s)
        super().connection_made(self.link)

    def data_received(self, chunk: bytes) -> None:
        """Read answers a little later."""
        if self._bytes_per_s:
            self.link.pause_reading()
            asyncio.get_running_loop().call_later(
                len(chunk) / self._bytes_per_s, self.link.resume_reading
            )
        self._delay.run(super().data_received, chunk)

    def eof_received(self) -> bool:
        """End the requests that wait; close a little later."""
        self._delay.run(self._ended)
        return bool(self._delay_s)

    def connection_lost(self, error: Exception | None) -> None:
        """End the requests that wait."""
        self._delay.run(super().connection_lost, error)

    def on_message_complete(self) -> None:
        """End a request, but not with an interim answer."""
        if self._parser.get_status_code() == _CONTINUE:
            self.continued.set()
            return
        super().on_message_complete()

    def send_more(self, exchange: Exchange, chunk: bytes) -> None:
        """Send a further part of a request."""
        self.link.write(chunk)
        exchange.sent_s = asyncio.get_running_loop().time()

    def end_sending(self) -> None:
        """Half-close."""
        self.is_half_closed = True
        self.is_usable = False
        self.link.write_eof()

    def _ended(self) -> None:
        self._end_all(Outcome.ENDED)
        self.link.close()
