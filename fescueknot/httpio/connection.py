"""One connection of a client."""

import abc
import asyncio
import logging
import types
from collections.abc import Callable

from fescueknot.httpio import parsing
from fescueknot.httpio.encoding import encode_response
from fescueknot.httpio.handler import Handler
from fescueknot.httpio.messages import Limits, Response
from fescueknot.httpio.pipeline import Answer, Turn, Turns
from fescueknot.httpio.timer import Timer

_LOG = logging.getLogger('fescueknot.httpio')
# Requests of one connection that are read ahead of their turn.
_MOST_WAITING_REQUESTS = 16
# A client that has not closed by then is cut off.
_LINGER_S = 1.0
# Nor is more than this read from a client that sends on after its last answer.
_LINGER_BYTES = 1_048_576
# A client that takes no bytes of its answer for this long is cut off.
_STALLED_WRITE_S = 15.0
# A client that sends nothing of its body for this long is cut off.
_STALLED_BODY_S = 15.0
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_TIMED_OUT = 408
_REFUSALS = (
    parsing.HeadersTooLargeError,
    parsing.BodyTooLargeError,
    parsing.MalformedError,
)

_STATUS_BY_ERROR = types.MappingProxyType(
    {
        parsing.HeadersTooLargeError: 431,
        parsing.BodyTooLargeError: 413,
        parsing.MalformedError: 400,
    }
)


class Owner(abc.ABC):
    """The server that a connection belongs to."""

    leaving = False

    @abc.abstractmethod
    def opened(self, connection: 'ServerConnection') -> None:
        """Take note of a new connection."""

    @abc.abstractmethod
    def closed(self, connection: 'ServerConnection') -> None:
        """Take note of the end of a connection."""

    @abc.abstractmethod
    def started(self, answer: Answer) -> None:
        """Take note of a request that is worked on."""

    @abc.abstractmethod
    def ended(self, answer: Answer) -> None:
        """Take note of the end of a request, with its error if it failed."""


class ServerConnection(asyncio.Protocol):
    """Reads requests and writes answers in the same order."""

    def __init__(self, *, handler: Handler, owner: Owner) -> None:
        self._handler = handler
        self._owner = owner
        limits: Limits = handler.limits()
        self._header_timeout_s = limits.header_timeout_s
        self._parser = parsing.RequestParser(
            header_bytes=limits.header_bytes, body_bytes=limits.body_bytes
        )
        self._turns = Turns(handler=handler, peer='', ended=self._ended)
        self._transport: asyncio.Transport | None = None
        self._timer = Timer()
        self._head_has_begun = False
        self._last = False
        self._dropped_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to wait for a request."""
        self._transport = transport
        peer = transport.get_extra_info('peername')[0]
        self._turns = Turns(handler=self._handler, peer=peer, ended=self._ended)
        self._owner.opened(self)
        self._await_request()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests that nobody waits for any more."""
        self._owner.closed(self)
        self._timer.stop()
        self._turns.abandon()

    def eof_received(self) -> bool:
        """Treat a client that closes its side as gone."""
        self._turns.abandon()
        return False

    def data_received(self, received: bytes) -> None:
        """Read requests."""
        if self._last:
            self._dropped_bytes += len(received)
            self._hold_back()
            return
        refused_with = self._read(received)
        if refused_with:
            self._last = True
            self._turns.add_last(Response(status=refused_with))
        elif self._parser.wants_continue:
            self._parser.wants_continue = False
            self._transport.write(_CONTINUE)
        self._go_on()

    def pause_writing(self) -> None:
        """Start to wait for a client that reads slowly."""
        self._timer.set(_STALLED_WRITE_S, self._transport.abort)

    def resume_writing(self) -> None:
        """Go on after a client has read."""
        self._await_request()

    def close_when_idle(self) -> None:
        """End the connection after the requests that have been read."""
        if not self._turns and not self._parser.begun and not self._last:
            self._finish()

    def _read(self, received: bytes) -> int:
        """Take requests; return the status of a refusal, 0 for none."""
        refused_with = 0
        try:
            whole = self._parser.feed(received)
        except _REFUSALS as error:
            whole = self._parser.taken()
            refused_with = _STATUS_BY_ERROR[type(error)]
        for request, keep_alive in whole:
            self._turns.add(request, keep_alive=keep_alive)
        return refused_with

    def _go_on(self) -> None:
        """Send what is due, start what may start, wait for more."""
        if self._transport.is_closing():
            return
        while turn := self._turns.take_done():
            if not self._send(turn):
                return
        for answer in self._turns.start():
            self._owner.started(answer)
        self._await_request()
        self._hold_back()

    def _ended(self, answer: Answer) -> None:
        self._owner.ended(answer)
        self._go_on()

    def _send(self, turn: Turn) -> bool:
        """Send one answer; return whether the connection goes on."""
        response = turn.response()
        if response is None:
            self._transport.abort()
            return False
        leaving = self._owner.leaving and not self._turns.any_started
        closing = not turn.keep_alive or response.closing or leaving
        encoded = encode_response(
            response, closing=closing, to_head=turn.request.method == 'HEAD'
        )
        self._transport.write(encoded)
        if closing:
            self._finish()
        return not closing

    def _finish(self) -> None:
        """Send what is left, then wait a moment for the client to close.

        Closing at once with bytes unread would reset the connection and
        could take the answer from the client.
        """
        self._last = True
        self._turns.abandon()
        if self._transport.is_closing():
            return
        try:
            self._transport.write_eof()
        except OSError as error:
            _LOG.debug('httpio: client gone before the end: %r', error)
            self._transport.abort()
            return
        self._timer.set(_LINGER_S, self._transport.abort)

    def _await_request(self) -> None:
        """Bound the wait for the rest of a request, or for the next one.

        The time for a head runs from its first byte, however it trickles in.
        """
        in_head = self._parser.begun and not self._parser.in_body
        if in_head and self._head_has_begun:
            return
        self._head_has_begun = in_head
        self._timer.stop()
        if self._last:
            return
        if in_head:
            self._timer.set(self._header_timeout_s, self._head_is_late)
        elif self._parser.in_body:
            self._timer.set(_STALLED_BODY_S, self._transport.abort)
        elif not self._turns:
            idle_s = self._handler.limits().idle_timeout_s
            self._timer.set(idle_s, self._finish)

    def _head_is_late(self) -> None:
        self._last = True
        self._turns.add_last(Response(status=_TIMED_OUT))
        self._go_on()

    def _hold_back(self) -> None:
        """Read no more from a client that sends more than is wanted."""
        full = (
            len(self._turns) >= _MOST_WAITING_REQUESTS
            or self._dropped_bytes > _LINGER_BYTES
        )
        change: Callable[[], None] = self._transport.resume_reading
        if full:
            change = self._transport.pause_reading
        if full == self._transport.is_reading():
            change()
