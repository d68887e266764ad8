"""A target's side of a connection; independent of the code of the nodes."""

import abc
import asyncio

import httptools
import msgspec

from tools.site_rig.answer_ways import WAYS
from tools.site_rig.outlet import Outlet
from tools.site_rig.replies import Reply

_LONG_BYTES = 2000


class Arrival(msgspec.Struct, kw_only=True):
    """A request as a target has read it."""

    method: str = ''
    path: str = ''
    headers: dict[str, str] = {}
    body: bytes = b''


class App(abc.ABC):
    """What answers the requests of a target."""

    @abc.abstractmethod
    async def answer(self, arrival: Arrival) -> Reply:
        """Return the answer; cancelled when the connection ends."""

    @abc.abstractmethod
    def reject_early(self, arrival: Arrival) -> Reply | None:
        """Return the answer to a request whose body is not in yet."""


class TargetConnection(asyncio.Protocol):
    """Answers one request after the other."""

    def __init__(self, *, app: App) -> None:
        self._app = app
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._arrivals: asyncio.Queue[Arrival] = asyncio.Queue()
        self._arrival = Arrival()
        self._work: asyncio.Task[None] | None = None
        self._outlet: Outlet | None = None
        self._is_answered = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Begin to serve."""
        self._transport = transport
        self._outlet = Outlet(transport=transport)
        self._work = asyncio.ensure_future(self._serve())

    def data_received(self, chunk: bytes) -> None:
        """Read requests."""
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserError:
            self._transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Drop the requests."""
        self._outlet.resume()
        self._work.cancel()

    def pause_writing(self) -> None:
        """Send nothing until the other side reads."""
        self._outlet.pause()

    def resume_writing(self) -> None:
        """Go on with an answer."""
        self._outlet.resume()

    def on_message_begin(self) -> None:
        """Start to read a request."""
        self._arrival = Arrival(headers={})

    def on_url(self, url: bytes) -> None:
        """Note the path."""
        self._arrival.path += url.decode()

    def on_header(self, name: bytes, content: bytes) -> None:
        """Note a header."""
        self._arrival.headers[name.decode().lower()] = content.decode()

    def on_headers_complete(self) -> None:
        """Answer at once what is to be rejected early."""
        self._is_answered = False
        length = int(self._arrival.headers.get('content-length', '0'))
        if length >= _LONG_BYTES:
            reply = self._app.reject_early(self._arrival)
            self._is_answered = reply is not None
            if reply is not None:
                self._outlet.write(reply.encode())

    def on_body(self, chunk: bytes) -> None:
        """Note a part of the body."""
        self._arrival.body += chunk

    def on_message_complete(self) -> None:
        """Have the request answered, if that was not done early."""
        if self._is_answered:
            return
        self._arrival.method = self._parser.get_method().decode()
        self._arrivals.put_nowait(self._arrival)

    async def _serve(self) -> None:
        while True:
            arrival = await self._arrivals.get()
            reply = await self._app.answer(arrival)
            await WAYS[reply.way].send(self._outlet, reply)
            if reply.headers.get('connection') == 'close':
                self._transport.close()
                return
