"""A caller's connection: requests in order, and how each of them ended."""

import asyncio
import time
from collections import deque

import httptools

from fescueknot.platform.headers import PLATFORM_HEADERS
from tools.site_rig.records import Outcome

_SIGNATURE = PLATFORM_HEADERS.signature.encode()


class Exchange:
    """One request and its answer, as the caller sees them."""

    def __init__(self) -> None:
        self.began_s = float(0)
        self.sent_s = float(0)
        self.ended_s = float(0)
        self.outcome = Outcome.REFUSED
        self.status = 0
        self.is_signed = False
        self.is_behind = False
        self.is_kept = False
        self.is_reset = False
        self.retry_after_s = float(0)
        self._done = asyncio.get_running_loop().create_future()

    async def wait(self, limit_s: float) -> None:
        """Wait for the end; raise :class:`TimeoutError`."""
        await asyncio.wait_for(asyncio.shield(self._done), limit_s)

    def end(self, outcome: Outcome) -> None:
        """Note the end, once."""
        if self._done.done():
            return
        self.ended_s = time.monotonic()
        self.outcome = outcome
        self._done.set_result(None)


class CallerConnection(asyncio.Protocol):
    """Sends requests one behind the other and reads their answers."""

    def __init__(self) -> None:
        self.is_usable = False
        self.idle_since_s = time.monotonic()
        self._waiting: deque[Exchange] = deque()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._sent = 0
        self._is_signed = False
        self._retry_after_s = float(0)

    @property
    def waiting(self) -> int:
        """Return the number of requests without an answer."""
        return len(self._waiting)

    def order(self) -> tuple[int, float]:
        """Return a key that puts the connection used last at the end."""
        return len(self._waiting), self.idle_since_s

    def send(self, exchange: Exchange, head: bytes, body: bytes) -> None:
        """Send a request."""
        exchange.is_behind = bool(self._waiting)
        exchange.is_kept = bool(self._sent)
        self._sent += 1
        self._waiting.append(exchange)
        exchange.began_s = time.monotonic()
        self._transport.write(head + body)
        exchange.sent_s = time.monotonic()

    def close(self) -> None:
        """Give up all requests."""
        self._end_all(Outcome.GAVE_UP)
        self._transport.abort()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take requests from now on."""
        self._transport = transport
        self.is_usable = True

    def data_received(self, chunk: bytes) -> None:
        """Read answers."""
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserError:
            self._transport.abort()

    def eof_received(self) -> None:
        """End the requests that wait."""
        self._end_all(Outcome.ENDED)

    def connection_lost(self, error: Exception | None) -> None:
        """End the requests that wait."""
        for exchange in self._waiting:
            exchange.is_reset = error is not None
        self._end_all(Outcome.ENDED)

    def on_message_begin(self) -> None:
        """Start to read an answer."""
        self._is_signed = False
        self._retry_after_s = float(0)

    def on_header(self, name: bytes, content: bytes) -> None:
        """Note what matters of a header."""
        name = name.lower()
        if name == _SIGNATURE:
            self._is_signed = True
        elif name == b'retry-after':
            self._retry_after_s = float(content)

    def on_message_complete(self) -> None:
        """End the request that has waited longest."""
        if not self._parser.should_keep_alive():
            self.is_usable = False
        if not self._waiting:
            return
        exchange = self._waiting.popleft()
        exchange.status = self._parser.get_status_code()
        exchange.is_signed = self._is_signed
        exchange.retry_after_s = self._retry_after_s
        self.idle_since_s = time.monotonic()
        exchange.end(Outcome.ANSWERED)

    def _end_all(self, outcome: Outcome) -> None:
        self.is_usable = False
        while self._waiting:
            self._waiting.popleft().end(outcome)
