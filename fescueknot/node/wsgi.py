"""Adapts WSGI (PEP 3333) to the node's request and answer types."""

import logging
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any
from urllib.parse import quote

from fescueknot.calls import Outcome
from fescueknot.node import problems
from fescueknot.node.connections import CallerGone, never_gone
from fescueknot.node.messages import Header, HttpAnswer, HttpRequest

_HEADER_PREFIX = 'HTTP_'
_UNPREFIXED = ('CONTENT_TYPE',)
_SAFE_IN_PATH = "/:@!$&'()*+,;=~-._%"
_DISCONNECTED = 'waitress.client_disconnected'

_LOG = logging.getLogger('fescueknot.node')
_INTERNAL_ERROR = problems.Problem(
    status=HTTPStatus.INTERNAL_SERVER_ERROR,
    title='The node failed',
    detail='a fault of the node, see its log',
    outcome=Outcome.UNKNOWN,
)

Environ = dict[str, Any]
Fields = list[tuple[str, str]]
StartResponse = Callable[[str, Fields], Any]
Application = Callable[[Environ, StartResponse], tuple[bytes]]
Handler = Callable[[HttpRequest, CallerGone], HttpAnswer]


def application(handler: Handler) -> Application:
    """Return a WSGI application that answers with ``handler``."""

    def app(  # noqa: WPS430
        environ: Environ,
        start_response: StartResponse,
    ) -> tuple[bytes]:
        caller_gone = environ.get(_DISCONNECTED, never_gone)
        answer = _answer(handler, environ, caller_gone)
        start_response(status_line(answer), _header_fields(answer))
        return (answer.body,)

    return app


def _answer(
    handler: Handler,
    environ: Environ,
    caller_gone: CallerGone,
) -> HttpAnswer:
    try:
        return handler(read_request(environ), caller_gone)
    except Exception:
        _LOG.exception('node: unhandled error in a request handler')
        return problems.to_answer(_INTERNAL_ERROR)


def read_request(environ: Environ) -> HttpRequest:
    """Return the request in ``environ``; the body is read whole."""
    path = quote(
        environ.get('PATH_INFO', '/').encode('latin-1'),
        safe=_SAFE_IN_PATH,
    )
    query = environ.get('QUERY_STRING', '')
    body = environ['wsgi.input'].read()
    return HttpRequest(
        method=environ['REQUEST_METHOD'],
        path=f'{path}?{query}' if query else path,
        headers=tuple(_read_headers(environ)),
        body=body,
        sender=environ.get('REMOTE_ADDR', ''),
    )


def status_line(answer: HttpAnswer) -> str:
    """Return the status code and the reason phrase."""
    reason = answer.reason or HTTPStatus(answer.status).phrase
    return f'{answer.status} {reason}'


def _read_headers(environ: Environ) -> Iterable[Header]:
    for name, text in environ.items():
        if name.startswith(_HEADER_PREFIX):
            field = name.removeprefix(_HEADER_PREFIX)
            yield Header(name=field.replace('_', '-').title(), text=text)
        elif name in _UNPREFIXED and text:
            yield Header(name=name.replace('_', '-').title(), text=text)


def _header_fields(answer: HttpAnswer) -> Fields:
    fields = [(header.name, header.text) for header in answer.headers]
    fields.append(('Content-Length', str(len(answer.body))))
    return fields
