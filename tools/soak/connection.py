"""A caller's connection: says how each request on it ended."""

import asyncio
import collections
import socket

import msgspec

from fescueknot.httpio.encoding import encode_request_head
from fescueknot.httpio.errors import NotSentError
from fescueknot.httpio.message_parser import MalformedError
from fescueknot.httpio.messages import Request, Response
from fescueknot.httpio.response_parser import ResponseParser
from fescueknot.identity import Address
from tools.soak.lost_requests import Ending

_CONNECT_S = 0.5
# So that a slow reader holds up the sender of a larger answer.
_RECEIVE_BUFFER_BYTES = 32_768


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """How a request ended on its connection."""

    ending: Ending
    ended_s: float
    response: Response | None = None


class CallerConnection(asyncio.Protocol):
    """Sends requests one behind the other and awaits their answers."""

    def __init__(self) -> None:
        self._parser = ResponseParser()
        self._awaited: collections.deque[asyncio.Future[Outcome]] = (
            collections.deque()
        )
        self._transport: asyncio.Transport | None = None
        self._is_reusable = True

    @property
    def is_open(self) -> bool:
        """Return whether another request may be sent."""
        return self._is_reusable and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def data_received(self, received: bytes) -> None:
        """Hand over the answers; abort on bytes that are none."""
        try:
            responses = self._parser.feed(received)
        except MalformedError:
            self.close()
            return
        for response in responses:
            self._is_reusable = self._is_reusable and not response.closing
            self._end_next(Ending.ANSWERED, response)

    def connection_lost(self, exc: Exception | None) -> None:
        """End all requests that have no answer."""
        last = None if exc else self._parser.finish()
        if last is not None:
            self._end_next(Ending.ANSWERED, last)
        elif not self._parser.is_between_messages:
            self._end_next(Ending.BROKEN_OFF)
        while self._awaited:
            self._end_next(Ending.UNANSWERED)

    def send(self, request: Request) -> asyncio.Future[Outcome]:
        """Send a request behind those that have no answer yet."""
        loop = asyncio.get_running_loop()
        outcome: asyncio.Future[Outcome] = loop.create_future()
        self._awaited.append(outcome)
        self._transport.write(encode_request_head(request) + request.body)
        return outcome

    def read_later(self, pause_s: float) -> None:
        """Leave what comes unread for a while."""
        if self._transport.is_closing():
            return
        self._transport.pause_reading()
        loop = asyncio.get_running_loop()
        loop.call_later(pause_s, self._transport.resume_reading)

    def close(self) -> None:
        """Leave at once, also without answers."""
        self._transport.abort()

    def _end_next(
        self, ending: Ending, response: Response | None = None
    ) -> None:
        if not self._awaited:
            return
        outcome = self._awaited.popleft()
        if not outcome.done():
            now_s = asyncio.get_running_loop().time()
            outcome.set_result(
                Outcome(ending=ending, ended_s=now_s, response=response)
            )


async def connect(address: Address) -> CallerConnection:
    """Open a connection; raise :class:`NotSentError`."""
    loop = asyncio.get_running_loop()
    own_socket = socket.socket()
    own_socket.setblocking(False)
    own_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
    )
    try:
        async with asyncio.timeout(_CONNECT_S):
            await loop.sock_connect(own_socket, (address.host, address.port))
            _, connection = await loop.create_connection(
                CallerConnection, sock=own_socket
            )
    except OSError as error:
        own_socket.close()
        raise NotSentError(repr(error)) from error
    return connection
