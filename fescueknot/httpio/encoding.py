"""Encoding of requests and responses, and hop-by-hop headers."""

import http
import types
from collections.abc import Iterator, Set

from fescueknot.httpio.messages import Body, Headers, Request, Response

# RFC 9110, 7.6.1: these headers concern one connection and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
# Connections answer ``Expect: 100-continue`` themselves.
_NOT_FORWARDED = HOP_BY_HOP_HEADERS | {'expect'}
# Longer messages are written in pieces of this size.
PIECE_BYTES = 131_072
_CHARSET = 'latin-1'
_BODYLESS_METHODS = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))
_BODYLESS_STATUSES = frozenset((204, 304))
_NO_NAMES: frozenset[str] = frozenset()
_REASONS = types.MappingProxyType(
    {int(status): status.phrase for status in http.HTTPStatus}
)


def end_to_end(headers: Headers, replaced: Set[str] = _NO_NAMES) -> Headers:
    """Return the headers that are forwarded to the next hop.

    Leaves out hop-by-hop headers, those named by ``Connection`` and those in
    ``replaced``.
    """
    options = _connection_options(headers)
    if options:
        replaced = options.union(replaced)
    return tuple(
        [
            pair
            for pair in headers
            if pair[0] not in _NOT_FORWARDED and pair[0] not in replaced
        ]
    )


def encode_request_head(request: Request) -> bytes:
    """Return the head of a request, with ``content-length`` if needed."""
    lines = [f'{request.method} {request.target} HTTP/1.1']
    lines.extend([f'{name}: {value}' for name, value in request.headers])
    if request.body or request.method not in _BODYLESS_METHODS:
        lines.append(f'content-length: {len(request.body)}')
    return _join(lines)


def encode_response_head(response: Response, *, closing: bool) -> bytes:
    """Return the head of a response, with ``content-length`` if allowed."""
    reason = response.reason or _REASONS.get(response.status, 'Unknown')
    lines = [f'HTTP/1.1 {response.status} {reason}']
    lines.extend([f'{name}: {value}' for name, value in response.headers])
    if response.status not in _BODYLESS_STATUSES:
        lines.append(f'content-length: {len(response.body)}')
    if closing:
        lines.append('connection: close')
    return _join(lines)


def joined(head: bytes, body: Body) -> Iterator[Body | memoryview]:
    """Yield a message in pieces to write; a long body is not copied."""
    if len(body) <= PIECE_BYTES:
        yield head + body
        return
    yield head
    view = memoryview(body)
    for start in range(0, len(body), PIECE_BYTES):
        yield view[start : start + PIECE_BYTES]


def _join(lines: list[str]) -> bytes:
    lines.extend(('', ''))
    try:
        return '\r\n'.join(lines).encode(_CHARSET)
    except UnicodeEncodeError:
        return b'\r\n'.join(map(_encoded, lines))


def _encoded(line: str) -> bytes:
    """Return the bytes that a line was read from; UTF-8 for other text."""
    try:
        return line.encode(_CHARSET)
    except UnicodeEncodeError:
        return line.encode()


def _connection_options(headers: Headers) -> frozenset[str]:
    lists = [value for name, value in headers if name == 'connection']
    if not lists:
        return _NO_NAMES
    return frozenset(
        option.strip().lower() for text in lists for option in text.split(',')
    )
