"""The object API and its control endpoints as a WSGI application."""

import http
import types
from collections.abc import Callable, Iterable
from urllib.parse import parse_qs

import msgspec

from fescueknot.objectapi import wire
from fescueknot.objectapi.errors import (
    ObjectApiError,
    OutcomeUnknown,
    RateLimited,
)
from fescueknot.objectapi.faults import FaultPlan, FaultyStore
from fescueknot.objectapi.memory_store import MemoryStore
from fescueknot.objectapi.meter import CallMeter
from fescueknot.objectapi.metered_store import MeteredStore

_BAD_REQUEST = 400
_NO_CONTENT = 204
_OK = 200
_MAX_BODY_BYTES = 4_000_000


class StandInRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The parts of a request that the endpoints use."""

    key: str
    query: str
    if_match: str
    if_none_match: str
    body: bytes

    def parameter(self, name: str, default: str) -> str:
        """Return the first value of a query parameter."""
        return parse_qs(self.query).get(name, [default])[0]


class StandInAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The response to a request.

    A ``lost`` response announces one byte more than it sends, so that the
    client does not receive it completely.
    """

    body: bytes = b''
    status: int = _OK
    retry_after_s: float = 0
    lost: bool = False


class StandInApp:
    """WSGI application that offers a faulty, rate-limited store over HTTP."""

    def __init__(
        self, *, memory: MemoryStore, faulty: FaultyStore, meter: CallMeter
    ) -> None:
        self._memory = memory
        self._faulty = faulty
        self._meter = meter
        self._store = MeteredStore(inner=faulty, meter=meter)
        self._endpoints = types.MappingProxyType(
            {
                ('GET', wire.OBJECTS_PATH): self._get_or_list,
                ('PUT', wire.OBJECTS_PATH): self._put,
                ('DELETE', wire.OBJECTS_PATH): self._delete,
                ('GET', wire.WATCH_PATH): self._watch,
                ('GET', wire.FAULTS_PATH): self._read_faults,
                ('POST', wire.FAULTS_PATH): self._set_faults,
                ('GET', wire.COUNTERS_PATH): self._read_counters,
                ('POST', wire.COUNTERS_PATH): self._reset_counters,
                ('POST', wire.COMPACT_PATH): self._compact,
            }
        )

    def __call__(
        self, environ: dict, start_response: Callable
    ) -> Iterable[bytes]:
        """Handle one request."""
        answer = self._answer(environ)
        length = len(answer.body) + int(answer.lost)
        headers = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(length)),
        ]
        if answer.retry_after_s:
            headers.append((wire.RETRY_AFTER, str(answer.retry_after_s)))
        phrase = http.HTTPStatus(answer.status).phrase
        start_response(f'{answer.status} {phrase}', headers)
        return [answer.body]

    def _answer(self, environ: dict) -> StandInAnswer:
        method = environ['REQUEST_METHOD']
        route, key = _split(environ['PATH_INFO'])
        endpoint = self._endpoints.get((method, route))
        if endpoint is None:
            return _problem(http.HTTPStatus.NOT_FOUND, 'no such endpoint')
        try:
            return endpoint(_request(environ, key))
        except ObjectApiError as error:
            return _refusal(error)
        except (ValueError, msgspec.DecodeError) as error:
            return _problem(_BAD_REQUEST, str(error))

    def _get_or_list(self, request: StandInRequest) -> StandInAnswer:
        if request.key:
            return _json(self._store.get(request.key))
        return _json(self._store.list(request.parameter('prefix', '')))

    def _put(self, request: StandInRequest) -> StandInAnswer:
        value = request.body.decode()
        if request.if_none_match == wire.ANY_VERSION:
            return _json(self._store.create(request.key, value))
        version = wire.tagged_version(request.if_match)
        return _json(self._store.update(request.key, value, version))

    def _delete(self, request: StandInRequest) -> StandInAnswer:
        version = wire.tagged_version(request.if_match)
        self._store.delete(request.key, version)
        return StandInAnswer(status=_NO_CONTENT)

    def _watch(self, request: StandInRequest) -> StandInAnswer:
        batch = self._store.watch(
            request.parameter('prefix', ''),
            int(request.parameter('since', '0')),
            float(request.parameter('timeout_s', '0')),
        )
        return _json(batch)

    def _read_faults(self, _request: StandInRequest) -> StandInAnswer:
        return _json(self._faulty.plan)

    def _set_faults(self, request: StandInRequest) -> StandInAnswer:
        plan = msgspec.json.decode(request.body, type=FaultPlan)
        self._faulty.set_plan(plan)
        return _json(plan)

    def _read_counters(self, _request: StandInRequest) -> StandInAnswer:
        return _json(self._meter.counters())

    def _reset_counters(self, _request: StandInRequest) -> StandInAnswer:
        self._meter.reset()
        return StandInAnswer(status=_NO_CONTENT)

    def _compact(self, _request: StandInRequest) -> StandInAnswer:
        self._memory.compact()
        return StandInAnswer(status=_NO_CONTENT)


def _split(path_info: str) -> tuple[str, str]:
    path = path_info.encode('latin-1').decode(errors='replace')
    prefix = f'{wire.OBJECTS_PATH}/'
    if path.startswith(prefix):
        return wire.OBJECTS_PATH, path.removeprefix(prefix)
    return path, ''


def _request(environ: dict, key: str) -> StandInRequest:
    length = min(int(environ.get('CONTENT_LENGTH') or 0), _MAX_BODY_BYTES)
    return StandInRequest(
        key=key,
        query=environ.get('QUERY_STRING', ''),
        if_match=environ.get('HTTP_IF_MATCH', ''),
        if_none_match=environ.get('HTTP_IF_NONE_MATCH', ''),
        body=environ['wsgi.input'].read(length),
    )


def _json(message: msgspec.Struct) -> StandInAnswer:
    return StandInAnswer(body=msgspec.json.encode(message))


def _refusal(error: ObjectApiError) -> StandInAnswer:
    if isinstance(error, OutcomeUnknown):
        return StandInAnswer(lost=True)
    retry_after_s = 0
    if isinstance(error, RateLimited):
        retry_after_s = error.retry_after_s
    return _problem(
        wire.STATUS_BY_ERROR[type(error)],
        str(error),
        retry_after_s=retry_after_s,
    )


def _problem(
    status: int, detail: str, *, retry_after_s: float = 0
) -> StandInAnswer:
    problem = wire.Problem(
        title=http.HTTPStatus(status).phrase, status=status, detail=detail
    )
    return StandInAnswer(
        status=status,
        body=msgspec.json.encode(problem),
        retry_after_s=retry_after_s,
    )
