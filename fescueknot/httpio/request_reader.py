"""Reads requests into a pipeline, as far as there is memory for them."""

import asyncio
import types
from collections.abc import Callable

from fescueknot.httpio.buffer_budget import BufferBudget
from fescueknot.httpio.message_parser import (
    BodyTooLargeError,
    HeadersTooLargeError,
    MalformedError,
)
from fescueknot.httpio.messages import Response, size_bytes
from fescueknot.httpio.parsing import FEED_BYTES, RequestParser
from fescueknot.httpio.parsing_turns import ParsingTurn, ParsingTurns
from fescueknot.httpio.pipeline import RequestPipeline

_MAX_UNPARSED_BYTES = 65_536
# For requests that no handler has seen, as there is no memory for them.
_NO_ROOM = Response(status=503, headers=(('retry-after', '0.5'),))
_STATUS_BY_ERROR = types.MappingProxyType(
    {
        HeadersTooLargeError: 431,
        BodyTooLargeError: 413,
        MalformedError: 400,
    }
)
_PARSE_ERRORS = tuple(_STATUS_BY_ERROR)


class RequestReader:
    """Parses the bytes of one connection; counts what it holds.

    Requests that find no room are refused before a handler sees them. While
    the pipeline is full, bytes are kept unparsed, up to a limit: if reading
    stopped at once, the end of the connection would not be seen. While other
    connections are parsed first, bytes are kept too, and no more are received.
    """

    def __init__(
        self,
        *,
        parser: RequestParser,
        buffers: BufferBudget,
        turns: ParsingTurns,
        on_turn: Callable[[], None],
    ) -> None:
        self._turns = turns
        self._turn = ParsingTurn(turns=turns, on_turn=on_turn)
        self._parser = parser
        self._buffers = buffers
        self._share = buffers.share()
        self._unparsed = bytearray()

    @property
    def must_pause(self) -> bool:
        """Return whether no more is to be received for now."""
        return self.is_deferred or len(self._unparsed) > _MAX_UNPARSED_BYTES

    @property
    def is_deferred(self) -> bool:
        """Return whether bytes wait for a later turn of the event loop."""
        return self._turn.is_awaited and bool(self._unparsed)

    def can_go_on(self, pipeline: RequestPipeline) -> bool:
        """Return whether there is room now for bytes that waited for it."""
        may_parse = not (self.is_deferred or pipeline.is_full)
        return bool(self._unparsed) and may_parse

    def read(
        self, received: bytes, pipeline: RequestPipeline
    ) -> Response | None:
        """Add the parsed requests to the pipeline.

        Returns the refusal of malformed or too large input, or of input for
        which there is no room, ``None`` otherwise.
        """
        self._unparsed += received
        if received and not self._turns.may_begin:
            self._turn.wait()
        refusal = None
        if not self._turn.is_awaited:
            refusal = self._parse(pipeline)
        if refusal is None and self._lacks_room_for_rest(pipeline):
            refusal = _NO_ROOM
        if refusal is not None:
            self.discard()
            self._share.resize(pipeline.held_bytes)
        return refusal

    def count_held(
        self, pipeline: RequestPipeline, transport: asyncio.Transport
    ) -> None:
        """Count what is held now, with responses that wait to be read."""
        held_bytes = pipeline.held_bytes + self._parser.held_bytes
        held_bytes += len(self._unparsed)
        unread_bytes = transport.get_write_buffer_size()
        self._share.count_unread(unread_bytes)
        self._share.resize(held_bytes + unread_bytes)

    def expects_rest(self, pipeline: RequestPipeline) -> bool:
        """Return whether it is for the client to send on a request."""
        waits_for_client = not (
            pipeline.is_full or self._parser.expects_continue
        )
        return self._parser.has_begun and waits_for_client

    def lets_go_on(self, pipeline: RequestPipeline) -> bool:
        """Return whether a client is to be told now to send a body.

        True once for each request that asks for it, behind the answers of all
        earlier ones: a client would take it for a part of these.
        """
        lets_go_on = self._parser.expects_continue and not pipeline
        if lets_go_on:
            self._parser.expects_continue = False
        return lets_go_on

    def end_input(self) -> None:
        """Drop the beginning of a request whose rest will not come."""
        if not self._unparsed:
            self._parser.close()

    def discard(self) -> None:
        """Drop what is no complete request; nothing more is to be read."""
        self._parser.close()
        self._unparsed.clear()

    def release(self) -> None:
        """Drop all that was received; the room is given back only then."""
        self.discard()
        self._share.count_unread(0)
        self._share.resize(0)

    def _parse(self, pipeline: RequestPipeline) -> Response | None:
        """Parse what is unparsed, as far as there is time and room for it."""
        unparsed = self._unparsed
        parsed_bytes = 0
        refusal = None
        while parsed_bytes < len(unparsed) and not pipeline.is_full:
            if not self._turns.may_parse:
                self._turn.wait()
                break
            piece = unparsed[parsed_bytes : parsed_bytes + FEED_BYTES]
            parsed_bytes += len(piece)
            refusal = self._add_requests(bytes(piece), pipeline)
            if refusal is not None:
                break
        self._unparsed = unparsed[parsed_bytes:]
        return refusal

    def _add_requests(
        self, received: bytes, pipeline: RequestPipeline
    ) -> Response | None:
        refusal = None
        parts_before = self._parser.parts_parsed
        try:
            complete = self._parser.feed(received)
        except _PARSE_ERRORS as error:
            complete = self._parser.pop_complete()
            refusal = Response(status=_STATUS_BY_ERROR[type(error)])
        self._turns.spend(self._parser.parts_parsed - parts_before)
        for request, keep_alive in complete:
            if not self._has_room(pipeline, size_bytes(request)):
                return _NO_ROOM
            pipeline.add(request, keep_alive=keep_alive)
        return refusal

    def _lacks_room_for_rest(self, pipeline: RequestPipeline) -> bool:
        """Return whether a request that has begun finds no room.

        Without one there is nothing to refuse: those that are complete have
        found room, though they may have made it scarce.
        """
        if not (self._parser.has_begun or self._unparsed):
            return False
        rest_bytes = self._parser.held_bytes + len(self._unparsed)
        return not self._has_room(pipeline, rest_bytes)

    def _has_room(self, pipeline: RequestPipeline, added_bytes: int) -> bool:
        held_bytes = pipeline.held_bytes + added_bytes
        is_taken = self._share.is_large or self._buffers.takes_new(held_bytes)
        return is_taken and self._share.try_resize(held_bytes)
