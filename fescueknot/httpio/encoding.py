"""Encoding of requests and responses, and hop-by-hop headers."""

import http

from fescueknot.httpio.messages import Headers, Request, Response

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
_BODYLESS_METHODS = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))
_BODYLESS_STATUSES = frozenset((204, 304))


def end_to_end(headers: Headers) -> Headers:
    """Return the headers that are forwarded to the next hop.

    Leaves out hop-by-hop headers and those named by ``Connection``.
    """
    connection_options = _connection_options(headers)
    return tuple(
        (name, value)
        for name, value in headers
        if name not in _NOT_FORWARDED and name not in connection_options
    )


def encode_request(request: Request) -> bytes:
    """Return the bytes of a request, with ``content-length`` if needed."""
    lines = [f'{request.method} {request.target} HTTP/1.1']
    lines.extend(f'{name}: {value}' for name, value in request.headers)
    if request.body or request.method not in _BODYLESS_METHODS:
        lines.append(f'content-length: {len(request.body)}')
    return _join(lines, request.body)


def encode_response(
    response: Response, *, closing: bool, to_head_request: bool = False
) -> bytes:
    """Return the bytes of a response, with ``content-length`` if allowed.

    The body is left out if the response answers a HEAD request.
    """
    reason = response.reason or _default_reason(response.status)
    lines = [f'HTTP/1.1 {response.status} {reason}']
    lines.extend(f'{name}: {value}' for name, value in response.headers)
    if response.status not in _BODYLESS_STATUSES:
        lines.append(f'content-length: {len(response.body)}')
    if closing:
        lines.append('connection: close')
    return _join(lines, b'' if to_head_request else response.body)


def _join(lines: list[str], body: bytes) -> bytes:
    lines.extend(('', ''))
    return '\r\n'.join(lines).encode('latin-1') + body


def _connection_options(headers: Headers) -> frozenset[str]:
    return frozenset(
        option.strip().lower()
        for name, value in headers
        if name == 'connection'
        for option in value.split(',')
    )


def _default_reason(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'
