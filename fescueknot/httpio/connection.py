"""The server's side of a client's connection."""

import asyncio
import logging
import types
from collections.abc import Callable

from fescueknot.httpio.client_waits import Awaited, ClientWaits, TimeLimit
from fescueknot.httpio.connection_owner import ConnectionOwner
from fescueknot.httpio.encoding import encode_response_head, joined
from fescueknot.httpio.handler import Handler
from fescueknot.httpio.kernel_buffers import has_input, unread_bytes
from fescueknot.httpio.messages import Response
from fescueknot.httpio.parsing import RequestParser
from fescueknot.httpio.pipeline import (
    AnswerFuture,
    PipelinedRequest,
    RequestPipeline,
)
from fescueknot.httpio.request_reader import RequestReader
from fescueknot.httpio.unanswered import Unanswered

_LOG = logging.getLogger('fescueknot.httpio')
# After the last response, a client that does not close the connection within
# this time is disconnected.
_LINGER_S = 1.0
# Bytes that are read and discarded from a client that keeps sending after its
# last response. Then reading stops.
_LINGER_BYTES = 1_048_576
# A request without further bytes of its body for this long is refused.
_STALLED_BODY_TIMEOUT_S = 15.0
_REQUEST_PART_BY_IN_BODY = types.MappingProxyType(
    {False: Awaited.REQUEST_HEAD, True: Awaited.REQUEST_BODY}
)
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_REQUEST_TIMEOUT_STATUS = 408


class ServerConnection(asyncio.Protocol):
    """Reads requests and writes the responses in the order of the requests.

    What it holds of them counts towards the ``buffers`` of its owner. Requests
    that find no room are refused before a handler sees them.
    """

    def __init__(self, *, handler: Handler, owner: ConnectionOwner) -> None:
        self._handler = handler
        self._owner = owner
        limits = handler.limits()
        self._parser = RequestParser(
            max_header_bytes=limits.header_bytes,
            max_body_bytes=limits.body_bytes,
        )
        self._reader = RequestReader(parser=self._parser, buffers=owner.buffers)
        self._pipeline = RequestPipeline(
            handler=handler,
            peer='',
            on_end=self._request_ended,
            unanswered=owner.unanswered,
        )
        self._transport: asyncio.Transport | None = None
        self._waits = ClientWaits(
            limits=self._time_limits(), on_read=self._restart_timer
        )
        self._discards_input = False
        self._discarded_bytes = 0

    @property
    def has_unread(self) -> bool:
        """Return whether the client has not yet taken all of a response."""
        return unread_bytes(self._transport) > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and wait for its first request."""
        self._transport = transport
        peer = transport.get_extra_info('peername')[0]
        self._pipeline = RequestPipeline(
            handler=self._handler,
            peer=peer,
            on_end=self._request_ended,
            unanswered=self._owner.unanswered,
        )
        self._owner.connection_opened(self)
        self._restart_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests in progress."""
        self._owner.connection_closed(self)
        self._waits.stop()
        self._pipeline.cancel_all(Unanswered.CLIENT_LEFT)
        self._reader.release()

    def eof_received(self) -> bool:
        """Treat a client that half-closes the connection as disconnected."""
        self._pipeline.cancel_all(Unanswered.CLIENT_LEFT)
        self._discards_input = True
        self._reader.discard()
        self._restart_timer()
        return False

    def data_received(self, received: bytes) -> None:
        """Parse requests, or discard bytes after the last response."""
        if self._discards_input:
            self._discarded_bytes += len(received)
            self._update_reading()
            return
        if not self._parser.has_begun:
            # They may have changed since the last request.
            self._parser.apply_limits(self._handler.limits())
        refusal = self._reader.read(received, self._pipeline)
        if refusal is not None:
            self._discards_input = True
            self._pipeline.add_final_response(refusal)
        elif self._parser.expects_continue:
            self._parser.expects_continue = False
            self._transport.write(_CONTINUE)
        self._process_pipeline()

    def resume_writing(self) -> None:
        """Return to the usual time limits after the client has read."""
        self._restart_timer()
        self._reader.count_held(self._pipeline, self._transport)

    def close_when_idle(self) -> bool:
        """Close the connection if no request is in progress or has arrived.

        Returns whether it is idle, but for input that is still to be read.
        """
        is_between_requests = not self._pipeline and not self._parser.has_begun
        if self._discards_input or not is_between_requests:
            return False
        if has_input(self._transport):
            return True
        notice = self._handler.closing_notice
        if notice is None:
            self._close_gracefully()
        else:
            self._pipeline.add_final_response(notice)
            self._process_pipeline()
        return False

    def _process_pipeline(self) -> None:
        """Send the responses that are due and start the next handlers."""
        if self._transport.is_closing():
            return
        while pending := self._pipeline.pop_answered():
            if not self._send(pending):
                return
        if self._reader.can_go_on(self._pipeline):
            self.data_received(b'')
            return
        for answer in self._pipeline.start():
            self._owner.request_started(answer)
        self._restart_timer()
        self._update_reading()
        self._reader.count_held(self._pipeline, self._transport)

    def _request_ended(self, answer: AnswerFuture) -> None:
        self._owner.request_ended(answer)
        self._process_pipeline()

    def _send(self, pending: PipelinedRequest) -> bool:
        """Send a response; return whether the connection stays open."""
        response = pending.response()
        if response is None:
            self._owner.unanswered.add(Unanswered.NO_ANSWER)
            self._pipeline.cancel_all(Unanswered.NO_ANSWER)
            self._transport.abort()
            return False
        may_close = response.closing or self._owner.draining
        closing = may_close and not self._pipeline.any_started
        closing = closing or not pending.keep_alive
        head = encode_response_head(response, closing=closing)
        is_bodyless = pending.request.method == 'HEAD'
        for piece in joined(head, b'' if is_bodyless else response.body):
            self._transport.write(piece)
        if closing:
            self._close_gracefully()
        return not closing

    def _close_gracefully(self) -> None:
        """Half-close, then wait for the client to read and to close.

        Closing at once with unread bytes would reset the connection, and the
        client might lose the response.
        """
        if not self._discards_input and has_input(self._transport):
            self._owner.unanswered.add(Unanswered.NOT_READ)
        self._discards_input = True
        self._pipeline.cancel_all(Unanswered.BEHIND_CLOSE)
        self._reader.discard()
        self._reader.count_held(self._pipeline, self._transport)
        if self._transport.is_closing():
            return
        try:
            self._transport.write_eof()
        except OSError as error:
            _LOG.debug('httpio: cannot half-close the connection: %r', error)
            self._transport.abort()
            return
        self._restart_timer()

    def _restart_timer(self) -> None:
        """Bound the wait for the client: for what it has to send or to read."""
        awaited = Awaited.NEXT_REQUEST
        is_reading = not self._discards_input and not self._pipeline.is_full
        if self._parser.has_begun and is_reading:
            awaited = _REQUEST_PART_BY_IN_BODY[self._parser.in_body]
        elif self._transport.get_write_buffer_size():
            awaited = Awaited.RESPONSE_READ
        elif self._pipeline:
            awaited = Awaited.NOTHING
        elif self._discards_input:
            awaited = Awaited.CLOSE
        self._waits.begin(awaited, self._transport)

    def _time_limits(self) -> dict[Awaited, TimeLimit]:
        def abort() -> None:  # noqa: WPS430
            self._transport.abort()

        return {
            Awaited.REQUEST_HEAD: TimeLimit(
                limit_s=lambda: self._handler.limits().header_timeout_s,
                action=self._refuse_late_request,
            ),
            Awaited.REQUEST_BODY: TimeLimit(
                limit_s=lambda: _STALLED_BODY_TIMEOUT_S,
                action=self._refuse_late_request,
            ),
            Awaited.CLOSE: TimeLimit(
                limit_s=lambda: _LINGER_S, action=abort, after_delivery=True
            ),
            Awaited.NEXT_REQUEST: TimeLimit(
                limit_s=lambda: self._handler.limits().idle_timeout_s,
                action=self.close_when_idle,
                after_delivery=True,
            ),
        }

    def _refuse_late_request(self) -> None:
        """Refuse a request that is not complete, unless more has arrived."""
        if has_input(self._transport):
            self._waits.defer(self._refuse_late_request)
            return
        self._discards_input = True
        self._pipeline.add_final_response(
            Response(status=_REQUEST_TIMEOUT_STATUS)
        )
        self._process_pipeline()

    def _update_reading(self) -> None:
        """Pause or resume reading, by pending requests and discarded bytes."""
        must_pause = (
            self._reader.must_pause or self._discarded_bytes > _LINGER_BYTES
        )
        switch: Callable[[], None] = self._transport.resume_reading
        if must_pause:
            switch = self._transport.pause_reading
        if must_pause == self._transport.is_reading():
            switch()
