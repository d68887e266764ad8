"""What the parsers of requests and responses have in common."""

import httptools

from fescueknot.httpio.messages import (
    HEADER_OVERHEAD_BYTES,
    Body,
    Headers,
)

CHARSET = 'latin-1'
# Parts that the beginning and end of a message count as: they take about as
# much processor time as so many headers.
_PARTS_OF_A_MESSAGE = 8
_HEADER_SEPARATOR_BYTES = 4
# Limits on the framing of a body: bytes for each byte of the body, and bytes
# regardless of its size. A chunk of one byte has five bytes of framing.
_MAX_FRAMING_PER_BODY_BYTE = 8
_MAX_FRAMING_BYTES = 16_384
# Empty lines before a message are ignored (RFC 9112, 2.2), up to this size.
_MAX_EMPTY_BYTES = 4096
# A longer body is handed on without a copy.
_MAX_COPIED_BODY_BYTES = 65_536


class HeadersTooLargeError(Exception):
    """The head of a request exceeds the limit."""


class BodyTooLargeError(Exception):
    """The body of a request exceeds the limit."""


class MalformedError(Exception):
    """The bytes are not a valid HTTP message."""


class MessageParser:
    """Collects the parts of one message at a time.

    ``httptools`` calls the methods named ``on_...``, once for each part that a
    peer sends. A body of any number of parts takes the memory of its bytes.
    """

    def __init__(self, *, max_head_bytes: int) -> None:
        self._max_head_bytes = max_head_bytes
        self._parser: httptools.HttpParser | None = None
        self._headers: list[tuple[str, str]] = []
        self._head_count = 0
        self._body = bytearray()
        self._head_bytes = 0
        self._body_parts = 0
        self._received_bytes = 0
        self._empty_bytes = 0
        self.messages_begun = 0
        # What ``httptools`` has reported, as each part takes processor time.
        self.parts_parsed = 0

    @property
    def held_bytes(self) -> int:
        """Return about how many bytes the unfinished message takes."""
        overhead_bytes = len(self._headers) * HEADER_OVERHEAD_BYTES
        reported_bytes = self._head_bytes + overhead_bytes + len(self._body)
        # ``httptools`` holds a header or trailer until it is complete.
        unreported_bytes = self._max_head_bytes + _MAX_FRAMING_BYTES
        received_bytes = min(self._received_bytes, unreported_bytes)
        return max(reported_bytes, received_bytes)

    def close(self) -> None:
        """Free all memory; nothing is parsed any more.

        ``httptools`` and this object refer to each other: what is not dropped
        here is held until the garbage collector runs, which may be late.
        """
        self._clear()
        self._parser = None

    def on_message_begin(self) -> None:
        """Reset the state for a new message."""
        self._clear()
        self._empty_bytes = 0
        self.messages_begun += 1
        self.parts_parsed += _PARTS_OF_A_MESSAGE

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header and count its bytes."""
        self._head_bytes += len(name) + len(value) + _HEADER_SEPARATOR_BYTES
        pair = (name.decode(CHARSET).lower(), value.decode(CHARSET))
        self._headers.append(pair)
        self.parts_parsed += 1

    def on_headers_complete(self) -> None:
        """Take what follows for trailers."""
        self._head_count = len(self._headers)

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self._body += body
        self._body_parts += 1
        self.parts_parsed += 1

    def _clear(self) -> None:
        self._headers = []
        self._head_count = 0
        self._body = bytearray()
        self._head_bytes = 0
        self._body_parts = 0
        self._received_bytes = 0

    def _head(self) -> Headers:
        """Return the headers without trailers.

        A trailer is no header (RFC 9110, 6.5.1): what decides about a message,
        such as its id, stands in its head.
        """
        return tuple(self._headers[: self._head_count])

    def _whole_body(self) -> Body:
        """Return the body, to be followed by :meth:`_clear`."""
        if len(self._body) > _MAX_COPIED_BODY_BYTES:
            return self._body
        return bytes(self._body)

    def _check_empty(self, received_bytes: int) -> None:
        """Limit the empty lines between two messages.

        They are part of no message: without a limit, a peer could send them
        for ever.
        """
        self._empty_bytes += received_bytes
        if self._empty_bytes > _MAX_EMPTY_BYTES:
            raise MalformedError(f'{self._empty_bytes} bytes of empty lines')

    def _check_framing(self, received_bytes: int) -> None:
        """Limit the bytes of chunk framing and trailers.

        Without a limit, a peer could send chunk extensions or trailers for
        ever, as they count neither as head nor as body.
        """
        self._received_bytes += received_bytes
        allowed_bytes = self._max_head_bytes + _MAX_FRAMING_BYTES
        allowed_bytes += len(self._body) * (1 + _MAX_FRAMING_PER_BODY_BYTE)
        if self._received_bytes > allowed_bytes:
            raise MalformedError(f'{self._received_bytes} bytes without an end')
