"""A target's side of a connection; independent of the code of the nodes."""

import abc
import asyncio
from http import HTTPStatus

import httptools
import msgspec


class Arrival(msgspec.Struct, kw_only=True):
    """A request as a target has read it."""

    method: str = ''
    path: str = ''
    headers: dict[str, str] = {}
    body: bytes = b''


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """An answer of a target."""

    status: int
    headers: dict[str, str]
    body: bytes = b''

    def encode(self) -> bytes:
        """Return the bytes of the answer."""
        lines = [f'HTTP/1.1 {self.status} {HTTPStatus(self.status).phrase}']
        fields = {**self.headers, 'content-length': str(len(self.body))}
        lines.extend(f'{name}: {field}' for name, field in fields.items())
        return '\r\n'.join((*lines, '', '')).encode() + self.body


class App(abc.ABC):
    """What answers the requests of a target."""

    @abc.abstractmethod
    async def answer(self, arrival: Arrival) -> Reply:
        """Return the answer; cancelled when the connection ends."""


class TargetConnection(asyncio.Protocol):
    """Answers one request after the other."""

    def __init__(self, *, app: App) -> None:
        self._app = app
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._arrivals: asyncio.Queue[Arrival] = asyncio.Queue()
        self._arrival = Arrival()
        self._work: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Begin to serve."""
        self._transport = transport
        self._work = asyncio.ensure_future(self._serve())

    def data_received(self, chunk: bytes) -> None:
        """Read requests."""
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserError:
            self._transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Drop the requests."""
        self._work.cancel()

    def on_message_begin(self) -> None:
        """Start to read a request."""
        self._arrival = Arrival(headers={})

    def on_url(self, url: bytes) -> None:
        """Note the path."""
        self._arrival.path += url.decode()

    def on_header(self, name: bytes, content: bytes) -> None:
        """Note a header."""
        self._arrival.headers[name.decode().lower()] = content.decode()

    def on_body(self, chunk: bytes) -> None:
        """Note a part of the body."""
        self._arrival.body += chunk

    def on_message_complete(self) -> None:
        """Have the request answered."""
        self._arrival.method = self._parser.get_method().decode()
        self._arrivals.put_nowait(self._arrival)

    async def _serve(self) -> None:
        while True:
            arrival = await self._arrivals.get()
            reply = await self._app.answer(arrival)
            self._transport.write(reply.encode())
            if reply.headers.get('connection') == 'close':
                self._transport.close()
                return
