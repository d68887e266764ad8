"""Incremental parsing of HTTP responses with the library ``httptools``."""

import httptools

from fescueknot.httpio.message_parser import (
    CHARSET,
    MalformedError,
    MessageParser,
)
from fescueknot.httpio.messages import Response

_FIRST_FINAL_STATUS = 200
# Other statuses are neither interim nor final (RFC 9110, 15).
_STATUSES = range(100, 600)
# No request of a node asks for another protocol.
_SWITCHING_PROTOCOLS = 101
_VERSIONS = frozenset(('1.0', '1.1'))
# ``httptools`` accepts other protocols of the same syntax.
_PROTOCOL = b'HTTP/'
# They may tell the length of a body that they don't send.
_BODYLESS_STATUSES = frozenset((204, 304))
_FRAMING_HEADERS = frozenset(('content-length', 'transfer-encoding'))
# Default limits. They bound the memory that a server can make a client use for
# one response.
MAX_RESPONSE_HEAD_BYTES = 65_536
MAX_RESPONSE_BODY_BYTES = 16_777_216
_MAX_INTERIM_RESPONSES = 16
# Limits on the parts of a body, as each takes processor time: parts regardless
# of its size, and bytes for each further part.
_MAX_SMALL_PARTS = 65_536
_MIN_BYTES_PER_PART = 64


class ResponseParser(MessageParser):
    """Parses the bytes of a server into responses.

    A response that exceeds the limits of its head, body or framing is
    malformed, as is one that can't be a response of HTTP/1.x. Set
    ``to_head_request`` if the next response answers a HEAD request and thus has
    no body.
    """

    def __init__(
        self,
        *,
        max_head_bytes: int = MAX_RESPONSE_HEAD_BYTES,
        max_body_bytes: int = MAX_RESPONSE_BODY_BYTES,
    ) -> None:
        super().__init__(max_head_bytes=max_head_bytes)
        self.to_head_request = False
        self._max_body_bytes = max_body_bytes
        self._interim_count = 0
        self._reason = b''
        self._protocol = b''
        self._reads_until_close = False
        self._has_begun = False
        self._complete: list[Response] = []
        self._parser = httptools.HttpResponseParser(self)

    @property
    def is_between_messages(self) -> bool:
        """Return whether no response is partly received."""
        return not self._has_begun

    def feed(self, received: bytes) -> list[Response]:
        """Return the complete responses; raise :class:`MalformedError`."""
        was_between = not self._has_begun
        begun_before = self.messages_begun
        self._check_protocol(received)
        try:
            self._parser.feed_data(received)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            # What a method of this class has raised is its context.
            raise MalformedError(str(error.__context__ or error)) from error
        if self._has_begun:
            self._check_framing(len(received))
        elif was_between and self.messages_begun == begun_before:
            self._check_empty(len(received))
        return self.pop_complete()

    def close(self) -> None:
        """Free all memory; nothing is parsed any more."""
        super().close()
        self._complete = []
        self._reason = b''
        self._has_begun = False

    def pop_complete(self) -> list[Response]:
        """Return the complete responses that were not returned yet."""
        complete = self._complete
        self._complete = []
        return complete

    def finish(self) -> Response | None:
        """Return the response whose body ends with the connection, if any."""
        if not (self._has_begun and self._reads_until_close):
            return None
        return self._response(closing=True)

    def on_message_begin(self) -> None:
        """Reset the state for a new response."""
        super().on_message_begin()
        self._protocol = self._protocol or _PROTOCOL
        self._reason = b''
        self._reads_until_close = False
        self._has_begun = True

    def on_status(self, status: bytes) -> None:
        """Add a part of the reason phrase."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header and check the size of the head."""
        super().on_header(name, value)
        if self._head_bytes > self._max_head_bytes:
            raise MalformedError(f'a head of {self._head_bytes} bytes')

    def on_body(self, body: bytes) -> None:
        """Add a part of the body and check its size."""
        super().on_body(body)
        body_bytes = len(self._body)
        self._check_body(body_bytes)
        further_parts = self._body_parts - _MAX_SMALL_PARTS
        if further_parts * _MIN_BYTES_PER_PART > body_bytes:
            raise MalformedError(f'a body in {self._body_parts} parts')

    def on_headers_complete(self) -> None:
        """Find out where the body ends; refuse one that is too long."""
        super().on_headers_complete()
        headers = dict(self._headers)
        framing_headers = headers.keys() & _FRAMING_HEADERS
        self._reads_until_close = not framing_headers
        status = self._parser.get_status_code()
        version = self._parser.get_http_version()
        _check_status(version, status, has_framing=bool(framing_headers))
        if status < _FIRST_FINAL_STATUS:
            return
        if self.to_head_request:
            self._complete.append(self._response(closing=True))
        elif status not in _BODYLESS_STATUSES:
            self._check_body(int(headers.get('content-length', 0)))

    def on_message_complete(self) -> None:
        """Add the complete response, unless it is an interim response."""
        self._has_begun = False
        self._protocol = b''
        if self._parser.get_status_code() < _FIRST_FINAL_STATUS:
            self._count_interim()
            return
        self._interim_count = 0
        closing = not self._parser.should_keep_alive()
        self._complete.append(self._response(closing=closing))

    def _check_protocol(self, received: bytes) -> None:
        """Check how a response begins that begins with these bytes.

        Not checked is one that begins behind another in the same bytes.
        """
        if len(self._protocol) == len(_PROTOCOL):
            return
        self._protocol = (self._protocol + received).lstrip(b'\r\n')[
            : len(_PROTOCOL)
        ]
        if not _PROTOCOL.startswith(self._protocol):
            raise MalformedError('another protocol')

    def _check_body(self, body_bytes: int) -> None:
        if body_bytes > self._max_body_bytes:
            raise MalformedError(f'a body of {body_bytes} bytes')

    def _count_interim(self) -> None:
        self._interim_count += 1
        if self._interim_count > _MAX_INTERIM_RESPONSES:
            raise MalformedError(f'{self._interim_count} interim responses')

    def _response(self, *, closing: bool) -> Response:
        response = Response(
            status=self._parser.get_status_code(),
            reason=self._reason.decode(CHARSET),
            headers=self._head(),
            body=self._whole_body(),
            closing=closing,
        )
        self._clear()
        return response


def _check_status(version: str, status: int, *, has_framing: bool) -> None:
    """Check the version and status of a head.

    An interim response has no length and no coding (RFC 9110, 8.6; RFC 9112,
    6.1). With one, it is meant as the final one, and no other would follow.
    """
    if version not in _VERSIONS:
        raise MalformedError(f'version {version}')
    is_interim = status < _FIRST_FINAL_STATUS
    is_valid = status in _STATUSES and status != _SWITCHING_PROTOCOLS
    if not is_valid or (is_interim and has_framing):
        raise MalformedError(f'status {status:03d}')
