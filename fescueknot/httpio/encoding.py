"""Bytes of requests and responses, and the headers of one connection."""

import http

from fescueknot.httpio.messages import Headers, Request, Response

# RFC 9110, 7.6.1: these concern one connection and are not passed on.
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
# Answered here, before the body is read.
_NOT_PASSED = HOP_BY_HOP_HEADERS | {'expect'}
_BODYLESS_METHODS = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))
_BODYLESS_STATUSES = frozenset((204, 304))


def end_to_end(headers: Headers) -> Headers:
    """Return the headers that may be passed on to the next hop."""
    named = _named_by_connection(headers)
    return tuple(
        (name, value)
        for name, value in headers
        if name not in _NOT_PASSED and name not in named
    )


def encode_request(request: Request) -> bytes:
    """Return the bytes of a request with a length."""
    lines = [f'{request.method} {request.target} HTTP/1.1']
    lines.extend(f'{name}: {value}' for name, value in request.headers)
    if request.body or request.method not in _BODYLESS_METHODS:
        lines.append(f'content-length: {len(request.body)}')
    return _joined(lines, request.body)


def encode_response(
    response: Response, *, closing: bool, to_head: bool = False
) -> bytes:
    """Return the bytes of a response with a length.

    The body of a response ``to_head`` is left out.
    """
    reason = response.reason or _usual_reason(response.status)
    lines = [f'HTTP/1.1 {response.status} {reason}']
    lines.extend(f'{name}: {value}' for name, value in response.headers)
    if response.status not in _BODYLESS_STATUSES:
        lines.append(f'content-length: {len(response.body)}')
    if closing:
        lines.append('connection: close')
    return _joined(lines, b'' if to_head else response.body)


def _joined(lines: list[str], body: bytes) -> bytes:
    lines.extend(('', ''))
    return '\r\n'.join(lines).encode('latin-1') + body


def _named_by_connection(headers: Headers) -> frozenset[str]:
    return frozenset(
        word.strip().lower()
        for name, value in headers
        if name == 'connection'
        for word in value.split(',')
    )


def _usual_reason(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'
