"""Incremental parsing of HTTP requests with the library ``httptools``."""

import functools
from collections.abc import Callable, Mapping

import httptools

from fescueknot.httpio.message_parser import (
    CHARSET,
    BodyTooLargeError,
    HeadersTooLargeError,
    MalformedError,
    MessageParser,
)
from fescueknot.httpio.messages import Limits, Request

_OLD_VERSION = '1.0'
_TUNNEL_METHOD = b'CONNECT'
# Requests are parsed in pieces, and the limits checked after each.
FEED_BYTES = 4096


class RequestParser(MessageParser):
    """Parses the bytes of a client into requests."""

    def __init__(self, *, max_header_bytes: int, max_body_bytes: int) -> None:
        super().__init__(max_head_bytes=max_header_bytes)
        self.max_body_bytes = max_body_bytes
        self.has_begun = False
        self.in_body = False
        self.expects_continue = False
        self._target = b''
        self._complete: list[tuple[Request, bool]] = []
        self._parser = httptools.HttpRequestParser(self)
        self._refusal: Callable[[], Exception] = MalformedError

    def apply_limits(self, limits: Limits) -> None:
        """Set the limits on the sizes of requests."""
        self._max_head_bytes = limits.header_bytes
        self.max_body_bytes = limits.body_bytes

    def feed(self, received: bytes) -> list[tuple[Request, bool]]:
        """Return the complete requests, each with its keep-alive flag.

        Raises one of the errors of this module; :meth:`pop_complete` then
        returns the requests that precede the error.
        """
        for start in range(0, len(received), FEED_BYTES):
            self._feed_piece(received[start : start + FEED_BYTES])
        return self.pop_complete()

    def close(self) -> None:
        """Free all memory; nothing is parsed any more."""
        super().close()
        self._complete = []
        self._target = b''

    def pop_complete(self) -> list[tuple[Request, bool]]:
        """Return the complete requests that were not returned yet."""
        complete = self._complete
        self._complete = []
        return complete

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        super().on_message_begin()
        self._target = b''
        self.has_begun = True

    def on_url(self, url: bytes) -> None:
        """Add a part of the target and check the size of the head."""
        self._head_bytes += len(url)
        self._target += url
        self._check_head(0)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header and check the size of the head."""
        super().on_header(name, value)
        self._check_head(0)

    def on_headers_complete(self) -> None:
        """Check ``Expect``, ``Content-Length`` and ``Upgrade``."""
        super().on_headers_complete()
        self.in_body = True
        # Counted for the framing of the body from here on.
        self._received_bytes = 0
        # HTTP/1.0 has no interim responses (RFC 9110, 10.1.1).
        is_old = self._parser.get_http_version() == _OLD_VERSION
        self.expects_continue = not is_old and any(
            name == 'expect' and value.lower() == '100-continue'
            for name, value in self._headers
        )
        for name, value in self._headers:
            if name == 'content-length' and int(value) > self.max_body_bytes:
                self._refuse(BodyTooLargeError, value)
        if self._parser.should_upgrade() and _has_body(dict(self._headers)):
            self._refuse(MalformedError, 'a body that ``httptools`` skips')

    def on_body(self, body: bytes) -> None:
        """Add a part of the body and check its size."""
        super().on_body(body)
        if len(self._body) > self.max_body_bytes:
            self._refuse(BodyTooLargeError, str(len(self._body)))

    def on_message_complete(self) -> None:
        """Add the complete request."""
        request = Request(
            method=self._parser.get_method().decode(CHARSET),
            target=self._target.decode(CHARSET),
            headers=self._head(),
            body=self._whole_body(),
        )
        self._complete.append((request, self._parser.should_keep_alive()))
        self._clear()
        self.has_begun = False
        self.in_body = False
        self.expects_continue = False

    def _feed_piece(self, piece: bytes) -> None:
        self.parts_parsed += 1
        complete_before = len(self._complete)
        is_between = not self.has_begun
        begun_before = self.messages_begun
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserCallbackError as error:
            raise self._refusal() from error
        except httptools.HttpParserError as error:
            raise MalformedError(str(error)) from error
        except httptools.HttpParserUpgrade as upgrade:
            self._ignore_upgrade(piece[upgrade.args[0] :])
        if self.has_begun and len(self._complete) == complete_before:
            self._check_received(len(piece))
        elif is_between and self.messages_begun == begun_before:
            self._check_empty(len(piece))

    def _ignore_upgrade(self, rest: bytes) -> None:
        """Go on behind a request that asked for another protocol.

        A server may ignore that (RFC 9110, 7.8). Behind ``CONNECT``, no
        request can follow.
        """
        is_tunnel = self._parser.get_method() == _TUNNEL_METHOD
        if is_tunnel:
            raise MalformedError('a tunnel')
        self._parser = httptools.HttpRequestParser(self)
        if rest:
            self._feed_piece(rest)

    def _check_received(self, received_bytes: int) -> None:
        """Limit what was received of the request that is in progress.

        Not counted is a piece in which another request has ended, as a part of
        it belongs to that.
        """
        if self.in_body:
            self._check_framing(received_bytes)
        else:
            # ``httptools`` reports a header only once it is complete.
            self._received_bytes += received_bytes
            self._check_head(self._received_bytes)

    def _check_head(self, received_bytes: int) -> None:
        if max(self._head_bytes, received_bytes) > self._max_head_bytes:
            self._refuse(HeadersTooLargeError, str(self._head_bytes))

    def _refuse(self, kind: type[Exception], detail: str) -> None:
        """Raise an error of a kind, through ``httptools`` too.

        An error that is kept here, or in a variable, would refer to itself by
        its traceback and hold what was received until the collector runs.
        """
        self._refusal = functools.partial(kind, detail)
        raise kind(detail)


def _has_body(headers: Mapping[str, str]) -> bool:
    if 'transfer-encoding' in headers:
        return True
    return int(headers.get('content-length', 0)) > 0
