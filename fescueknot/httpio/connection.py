"""The server's side of a client's connection."""

import asyncio
import types

from fescueknot.httpio.client_input import ClientInput
from fescueknot.httpio.client_waits import Awaited, ClientWaits, TimeLimit
from fescueknot.httpio.connection_owner import ConnectionOwner
from fescueknot.httpio.encoding import encode_response_head, joined
from fescueknot.httpio.half_close import HalfCloseProbe, end_output
from fescueknot.httpio.handler import Handler
from fescueknot.httpio.kernel_buffers import has_input, unread_bytes
from fescueknot.httpio.messages import Response
from fescueknot.httpio.parsing import RequestParser
from fescueknot.httpio.pipeline import (
    AnswerFuture,
    PipelinedRequest,
    RequestPipeline,
)
from fescueknot.httpio.receiving import ReceivingProtocol
from fescueknot.httpio.request_reader import RequestReader
from fescueknot.httpio.unanswered import Unanswered

# After the last response, a client that does not close the connection within
# this time is disconnected.
_LINGER_S = 1.0
# A request without further bytes of its body for this long is refused.
_STALLED_BODY_TIMEOUT_S = 15.0
_REQUEST_PART_BY_IN_BODY = types.MappingProxyType(
    {False: Awaited.REQUEST_HEAD, True: Awaited.REQUEST_BODY}
)
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_REQUEST_TIMEOUT_STATUS = 408
# Of a client that has reset its connection before it was taken over.
_NO_PEER = ('',)


class ServerConnection(ReceivingProtocol):  # noqa: WPS214
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
        self._reader = RequestReader(
            parser=self._parser,
            buffers=owner.buffers,
            turns=owner.turns,
            on_turn=self._parse_on,
        )
        self._pipeline = RequestPipeline(
            handler=handler,
            peer='',
            on_end=self._request_ended,
            unanswered=owner.unanswered,
        )
        self._transport: asyncio.Transport | None = None
        self._waits = ClientWaits(
            limits=self._time_limits(), on_read=self.resume_writing
        )
        self._probe = HalfCloseProbe(on_left=lambda: self._transport.abort())
        self._input = ClientInput()

    @property
    def has_unread(self) -> bool:
        """Return whether the client has not yet taken all of a response."""
        return unread_bytes(self._transport) > 0

    @property
    def is_receiving(self) -> bool:
        """Return whether a request has been received in part."""
        has_begun = self._parser.has_begun or self._reader.is_deferred
        return has_begun and self._input.is_taken

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and wait for its first request."""
        self._transport = transport
        peer = transport.get_extra_info('peername') or _NO_PEER
        self._pipeline = RequestPipeline(
            handler=self._handler,
            peer=peer[0],
            on_end=self._request_ended,
            unanswered=self._owner.unanswered,
        )
        self._owner.connection_opened(self)
        self._restart_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests in progress."""
        self._owner.connection_closed(self)
        self._waits.stop()
        self._probe.stop()
        self._pipeline.cancel_all(Unanswered.CLIENT_LEFT)
        self._reader.release()

    def eof_received(self) -> bool:
        """Go on for a client that may wait for answers, else close."""
        if self._pipeline and self._handler.may_half_close:
            self._input.is_ended = True
            self._reader.end_input()
            self._probe.begin(self._transport)
            self._restart_timer()
            return True
        self._pipeline.cancel_all(Unanswered.CLIENT_LEFT)
        self._input.is_discarded = True
        self._reader.discard()
        self._restart_timer()
        return False

    def data_received(self, received: bytes) -> None:
        """Parse requests, or discard bytes after the last response."""
        if self._input.is_discarded:
            self._input.discard(received)
            self._input.update_reading(
                self._transport, must_pause=self._reader.must_pause
            )
            return
        if not self._parser.has_begun:
            # They may have changed since the last request.
            self._parser.apply_limits(self._handler.limits())
        refusal = self._reader.read(received, self._pipeline)
        if refusal is not None:
            self._owner.refused.add_status(refusal.status)
            self._input.is_discarded = True
            self._pipeline.add_final_response(refusal)
        self._process_pipeline()

    def resume_writing(self) -> None:
        """Return to the usual time limits after the client has read."""
        self._restart_timer()
        self._reader.count_held(self._pipeline, self._transport)

    def close_when_idle(self) -> bool:
        """Close the connection if no request is in progress or has arrived.

        Returns whether it is idle, but for input that is still to be read.
        """
        if self._input.is_discarded or self._pipeline or self.is_receiving:
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

    def close_for_room(self) -> bool:
        """Close the connection at once if no request is in progress.

        Returns whether it is closed. A request that has not been received as a
        whole does not run.
        """
        if self._pipeline or self.has_unread:
            return False
        self._transport.abort()
        return True

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
        is_at_end = self._input.is_ended and not self._pipeline
        if is_at_end and not self._input.is_discarded:
            self._close_gracefully()
            return
        for answer in self._pipeline.start():
            self._owner.request_started(answer)
            self._owner.connection_used(self)
        if self._input.is_taken and self._reader.lets_go_on(self._pipeline):
            self._transport.write(_CONTINUE)
        self._restart_timer()
        self._input.update_reading(
            self._transport, must_pause=self._reader.must_pause
        )
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
        closing = self._closes_after(pending, response)
        head = self._probe.rest_of(
            encode_response_head(response, closing=closing)
        )
        is_bodyless = pending.request.method == 'HEAD'
        for piece in joined(head, b'' if is_bodyless else response.body):
            self._transport.write(piece)
        if closing:
            self._close_gracefully()
        return not closing

    def _closes_after(
        self, pending: PipelinedRequest, response: Response
    ) -> bool:
        if not pending.keep_alive:
            return True
        if self._input.is_ended and not self._pipeline:
            return not self._reader.can_go_on(self._pipeline)
        may_close = response.closing or self._owner.draining
        return may_close and not self._pipeline.any_started

    def _close_gracefully(self) -> None:
        """Half-close, then wait for the client to read and to close.

        Closing at once with unread bytes would reset the connection, and the
        client might lose the response.
        """
        if self._input.is_taken and has_input(self._transport):
            self._owner.unanswered.add(Unanswered.NOT_READ)
        self._probe.stop()
        self._input.is_discarded = True
        self._pipeline.cancel_all(Unanswered.BEHIND_CLOSE)
        self._reader.discard()
        self._reader.count_held(self._pipeline, self._transport)
        if end_output(self._transport):
            self._restart_timer()

    def _restart_timer(self) -> None:
        """Bound the wait for the client: for what it has to send or to read."""
        awaited = Awaited.NEXT_REQUEST
        if self._input.is_taken and self._reader.expects_rest(self._pipeline):
            awaited = _REQUEST_PART_BY_IN_BODY[self._parser.in_body]
        elif self._transport.get_write_buffer_size():
            awaited = Awaited.RESPONSE_READ
        elif self._pipeline:
            awaited = Awaited.NOTHING
        elif self._input.is_discarded:
            awaited = Awaited.CLOSE
        self._waits.begin(awaited, self._transport, self._parser.messages_begun)

    def _time_limits(self) -> dict[Awaited, TimeLimit]:
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
                limit_s=lambda: _LINGER_S,
                action=lambda: self._transport.abort(),
                after_delivery=True,
            ),
            Awaited.NEXT_REQUEST: TimeLimit(
                limit_s=lambda: self._handler.limits().idle_timeout_s,
                action=self.close_when_idle,
                after_delivery=True,
            ),
        }

    def _parse_on(self) -> None:
        """Parse what waited for its turn, unless it was dropped since."""
        if self._reader.can_go_on(self._pipeline):
            self.data_received(b'')

    def _refuse_late_request(self) -> None:
        """Refuse a request that is not complete, unless more has arrived."""
        if self._reader.is_deferred or has_input(self._transport):
            self._waits.defer(self._refuse_late_request)
            return
        self._owner.refused.add_status(_REQUEST_TIMEOUT_STATUS)
        self._input.is_discarded = True
        self._pipeline.add_final_response(
            Response(status=_REQUEST_TIMEOUT_STATUS)
        )
        self._process_pipeline()
