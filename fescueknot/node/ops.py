"""The ops port: state, metrics, traces, announcements, drain."""

from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import parse_qs

import msgspec

from fescueknot.calls import CallPolicy, Outcome
from fescueknot.decoding import DECODE_ERRORS
from fescueknot.node import problems
from fescueknot.node.connections import CallerGone
from fescueknot.node.messages import Header, HttpAnswer, HttpRequest
from fescueknot.node.ops_views import NodeStatus, TargetView
from fescueknot.node.target_state import TargetAnnouncement
from fescueknot.telemetry.metrics import CONTENT_TYPE
from fescueknot.telemetry.recorder import Telemetry

_JSON = 'application/json'
_EXPLAIN_FIELDS = ('service', 'method', 'path')


class OpsActions(msgspec.Struct, frozen=True, kw_only=True):
    """Actions of the node that the ops port offers."""

    status: Callable[[], NodeStatus]
    targets: Callable[[], tuple[TargetView, ...]]
    explain: Callable[[str, str, str], CallPolicy]
    announce: Callable[[TargetAnnouncement], None]
    drain: Callable[[], None]


class OpsHandler:
    """Answers requests at the ops port."""

    def __init__(self, *, actions: OpsActions, telemetry: Telemetry) -> None:
        self._actions = actions
        self._telemetry = telemetry
        self._routes = {
            ('GET', '/status'): self._status,
            ('GET', '/targets'): self._targets,
            ('GET', '/explain'): self._explain,
            ('GET', '/metrics'): self._metrics,
            ('GET', '/metrics.json'): self._metrics_view,
            ('GET', '/trace'): self._trace,
            ('POST', '/announce'): self._announce,
            ('POST', '/drain'): self._drain,
        }

    def answer(
        self,
        request: HttpRequest,
        caller_gone: CallerGone,
    ) -> HttpAnswer:
        """Return the answer to an operator or to the target."""
        path = request.path.partition('?')[0]
        first_segment = path.strip('/').partition('/')[0]
        route = self._routes.get((request.method, f'/{first_segment}'))
        if route is None:
            return _problem(HTTPStatus.NOT_FOUND, f'nothing at {path}')
        return route(request)

    def _status(self, request: HttpRequest) -> HttpAnswer:
        return _json_answer(self._actions.status())

    def _targets(self, request: HttpRequest) -> HttpAnswer:
        return _json_answer({'targets': self._actions.targets()})

    def _explain(self, request: HttpRequest) -> HttpAnswer:
        query = parse_qs(request.path.partition('?')[2])
        missing = [name for name in _EXPLAIN_FIELDS if name not in query]
        if missing:
            return _problem(
                HTTPStatus.BAD_REQUEST,
                f'the query lacks {", ".join(missing)}',
            )
        service, method, path = (query[name][0] for name in _EXPLAIN_FIELDS)
        return _json_answer(self._actions.explain(service, method, path))

    def _metrics(self, request: HttpRequest) -> HttpAnswer:
        return _ok_answer(self._telemetry.metrics.text(), CONTENT_TYPE)

    def _metrics_view(self, request: HttpRequest) -> HttpAnswer:
        return _json_answer(self._telemetry.metrics.view())

    def _trace(self, request: HttpRequest) -> HttpAnswer:
        trace_id = request.path.rpartition('/')[2]
        return _json_answer(self._telemetry.spans.of_trace(trace_id))

    def _announce(self, request: HttpRequest) -> HttpAnswer:
        try:
            announcement = msgspec.json.decode(
                request.body,
                type=TargetAnnouncement,
            )
        except DECODE_ERRORS as error:
            return _problem(HTTPStatus.BAD_REQUEST, str(error))
        self._actions.announce(announcement)
        return _json_answer(announcement)

    def _drain(self, request: HttpRequest) -> HttpAnswer:
        self._actions.drain()
        return _json_answer(self._actions.status())


def _json_answer(document: object) -> HttpAnswer:
    return _ok_answer(msgspec.json.encode(document), _JSON)


def _ok_answer(body: bytes, content_type: str) -> HttpAnswer:
    fields = (Header(name='Content-Type', text=content_type),)
    return HttpAnswer(status=int(HTTPStatus.OK), headers=fields, body=body)


def _problem(status: HTTPStatus, detail: str) -> HttpAnswer:
    return problems.to_answer(
        problems.Problem(
            status=status,
            title=status.phrase,
            detail=detail,
            outcome=Outcome.NOT_RUN,
        ),
    )
