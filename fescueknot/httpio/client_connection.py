"""One connection of an HTTP client."""

import asyncio
import functools
from collections.abc import Callable

import msgspec

from fescueknot.httpio.buffer_budget import BufferBudget
from fescueknot.httpio.delivery_watch import MIN_LONG_BYTES, DeliveryWatch
from fescueknot.httpio.encoding import (
    PIECE_BYTES,
    encode_request_head,
    joined,
)
from fescueknot.httpio.errors import AnswerLostError
from fescueknot.httpio.kernel_buffers import has_input, rest_of_input
from fescueknot.httpio.message_parser import MalformedError
from fescueknot.httpio.messages import Request, Response
from fescueknot.httpio.numbers import parse_count
from fescueknot.httpio.paced_writer import PacedWriter
from fescueknot.httpio.receiving import ReceivingProtocol
from fescueknot.httpio.response_parser import (
    MAX_RESPONSE_BODY_BYTES,
    MAX_RESPONSE_HEAD_BYTES,
    ResponseParser,
)
from fescueknot.running_loop import running_loop

_KEEP_ALIVE_HEADER = 'keep-alive'


class ClientSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of the connections to one kind of server.

    A connection that was idle for ``max_idle_s`` is not used again.
    ``unacknowledged_timeout_s`` is how long sent bytes and keep-alive probes
    may stay unacknowledged before the kernel closes the connection.
    ``head_bytes`` and ``body_bytes`` are the largest accepted sizes of a
    response's head and body.
    """

    connect_timeout_s: float = 0.5
    max_idle_s: float = 8
    unacknowledged_timeout_s: float = 1.5
    max_idle_connections: int = 32
    head_bytes: int = MAX_RESPONSE_HEAD_BYTES
    body_bytes: int = MAX_RESPONSE_BODY_BYTES


class ClientConnection(ReceivingProtocol):
    """One connection to a server, with at most one request in progress.

    What is received of a response counts towards ``buffers``. While there is no
    room, the response is left with its server.
    """

    def __init__(
        self, *, settings: ClientSettings, buffers: BufferBudget
    ) -> None:
        self.reusable = True
        self.idle_since_s = float(0)
        self.server_idle_timeout_s: float | None = None
        self._parser = ResponseParser(
            max_head_bytes=settings.head_bytes,
            max_body_bytes=settings.body_bytes,
        )
        self._share = buffers.share()
        self._transport: asyncio.Transport | None = None
        self._writer = PacedWriter()
        self._watch = DeliveryWatch(
            timeout_s=settings.unacknowledged_timeout_s,
            on_unresponsive=functools.partial(
                self._fail, 'the server acknowledges nothing'
            ),
        )
        self._response_future: asyncio.Future[Response] | None = None
        self._accepts: Callable[[Response], bool] | None = None

    @property
    def is_open(self) -> bool:
        """Return whether another request may be sent.

        Unread input is the server's close or bytes that answer no request.
        """
        return (
            self.reusable
            and self._transport is not None
            and not self._transport.is_closing()
            and not has_input(self._transport)
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Deliver a response that ends with the connection, else fail."""
        self.reusable = False
        self._writer.resume()
        if isinstance(exc, OSError):
            # A write may have failed after the answer had come.
            self.data_received(rest_of_input(self._transport))
        final_response = None if exc else self._parser.finish()
        if final_response is not None:
            self._deliver((final_response,))
        self._fail(f'connection lost: {exc!r}')
        self._parser.close()
        self._share.resize(0)

    def eof_received(self) -> bool:
        """Return false, so that the transport closes."""
        return False

    def pause_writing(self) -> None:
        """Hold back the rest of a request that the server reads slowly."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Send on."""
        self._writer.resume()

    def data_received(self, received: bytes) -> None:
        """Parse responses; close if no request is in progress."""
        if self._response_future is None or self._response_future.done():
            self.close()
            return
        try:
            responses = self._parser.feed(received)
        except MalformedError as error:
            self._deliver(self._parser.pop_complete())
            self._fail(f'no HTTP: {error}')
            self.close()
            # Many may be refused before the event loop ends the first one.
            self._parser.close()
            return
        self._deliver(responses)
        self._count_held()

    async def exchange(
        self, request: Request, accepts: Callable[[Response], bool]
    ) -> Response:
        """Send a request and return the first response that is accepted.

        Responses that are not accepted answer earlier requests: they are
        dropped, and the connection is not used again. Raises
        :class:`AnswerLostError`.
        """
        loop = running_loop()
        self._accepts = accepts
        self._response_future = loop.create_future()
        self._parser.to_head_request = request.method == 'HEAD'
        pieces = joined(encode_request_head(request), request.body)
        self._transport.write(next(pieces))
        if len(request.body) < MIN_LONG_BYTES:
            return await self._response()
        self._writer.is_done = len(request.body) <= PIECE_BYTES
        delivery = self._watch.delivery(
            self._transport, len(request.body), lambda: self._writer.is_done
        )
        with delivery:
            if self._writer.is_done:
                return await self._response()
            with self._writer.writing(self._transport, pieces):
                return await self._response()

    def close(self) -> None:
        """Abort the connection, without sending buffered bytes."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    async def _response(self) -> Response:
        """Wait for the response; close unless the exchange is complete."""
        try:
            return await self._response_future
        finally:
            self._end_exchange()

    def _end_exchange(self) -> None:
        if not self._is_clean():
            self.close()
        # An idle or closed connection is not to keep the response, nor the
        # request by the function that knows its answer.
        self._response_future = None
        self._accepts = None

    def _is_clean(self) -> bool:
        """Return whether the last exchange is complete in both directions."""
        if (
            self._response_future.cancelled()
            or not self._response_future.done()
        ):
            return False
        is_written = self._transport.get_write_buffer_size() == 0
        is_answered = self._response_future.exception() is None
        is_complete = is_answered and self._parser.is_between_messages
        return is_complete and is_written and self._writer.is_done

    def _count_held(self) -> None:
        """Count what is held of a response; pause while there is no room."""
        held_bytes = self._parser.held_bytes
        if not self._share.try_resize(held_bytes):
            self._share.resize(held_bytes)
            self._transport.pause_reading()
            self._share.wait_for_room(self._transport.resume_reading)

    def _deliver(
        self, responses: tuple[Response, ...] | list[Response]
    ) -> None:
        for response in responses:
            is_awaited = (
                self._response_future is not None
                and not self._response_future.done()
            )
            if is_awaited and self._accepts(response):
                self.reusable = self.reusable and not response.closing
                timeout_s = _idle_timeout_s(response)
                if timeout_s is not None:
                    self.server_idle_timeout_s = timeout_s
                self._response_future.set_result(response)
            else:
                self.reusable = False

    def _fail(self, reason: str) -> None:
        if (
            self._response_future is not None
            and not self._response_future.done()
        ):
            self._response_future.set_exception(AnswerLostError(reason))


def _idle_timeout_s(response: Response) -> float | None:
    """Return how long the server keeps an idle connection, if it says so."""
    timeout_s = None
    for part in (response.header(_KEEP_ALIVE_HEADER) or '').split(','):
        name, _, seconds = part.strip().partition('=')
        count = parse_count(seconds)
        if name == 'timeout' and count is not None:
            timeout_s = float(count)
    return timeout_s
