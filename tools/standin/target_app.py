"""The HTTP side of a stand-in target, as a WSGI application."""

import dataclasses
import random
import time
import types
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

import msgspec

from tools.standin.audit import Audit, Run
from tools.standin.downstream import Downstream
from tools.standin.errors import (
    CancelledError,
    ExpiredError,
    ShedError,
    StandInError,
)
from tools.standin.load_view import Load, LoadView
from tools.standin.service_time import ServiceTime
from tools.standin.slots import Slots

_SLICE_S = 0.02
_MS_PER_S = 1_000
_DEFAULT_TIMEOUT_S = 30.0
_STATUSES = types.MappingProxyType(
    {
        ShedError: HTTPStatus.SERVICE_UNAVAILABLE,
        ExpiredError: HTTPStatus.GATEWAY_TIMEOUT,
        CancelledError: HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer: it names the request first and last."""

    request_id: str
    service: str
    target: str
    padding: str
    end: str


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """A change of behaviour while the target runs."""

    median_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Parts:
    """What a target is made of."""

    slots: Slots
    service_time: ServiceTime
    load_view: LoadView
    audit: Audit
    downstream: tuple[Downstream, ...]


class TargetApp:
    """Answers requests; call it as a WSGI application."""

    def __init__(
        self, *, service: str, name: str, parts: Parts, answer_bytes: int
    ) -> None:
        self._service = service
        self._name = name
        self._slots = parts.slots
        self._service_time = parts.service_time
        self._load_view = parts.load_view
        self._audit = parts.audit
        self._downstream = parts.downstream
        self._padding = 'x' * answer_bytes
        self._source = random.Random(name)  # noqa: S311
        self._started_s = time.monotonic()
        self._views = types.MappingProxyType(
            {
                '/health': self._health,
                '/load': self._load,
                '/audit': self._audit.counts,
            }
        )

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answer one request."""
        status, document = self._answer(environ)
        body = msgspec.json.encode(document)
        fields = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
        ]
        start_response(f'{status.value} {status.phrase}', fields)
        return (body,)

    def _answer(self, environ: dict[str, Any]) -> tuple[HTTPStatus, object]:
        path = environ['PATH_INFO']
        view = self._views.get(path)
        if view is not None:
            return HTTPStatus.OK, view()
        if path == '/control':
            return self._control(environ['wsgi.input'].read())
        call = Call(environ=environ)
        try:
            with self._slots.taken(left_s=call.left_s, gone=call.gone):
                return self._work(call, path)
        except StandInError as error:
            refusal = {'detail': type(error).__name__, 'outcome': 'not run'}
            return _STATUSES[type(error)], refusal

    def _work(self, call: 'Call', path: str) -> tuple[HTTPStatus, object]:
        if call.key:
            run = Run(key=call.key, target=self._name, path=path)
            self._audit.begin(run)
        age_s = time.monotonic() - self._started_s
        needed_s = self._service_time.draw_s(age_s=age_s, source=self._source)
        if not call.sleep(needed_s):
            status = HTTPStatus.GATEWAY_TIMEOUT
            return status, {'detail': 'given up while working'}
        if not self._call_below(call, path):
            status = HTTPStatus.BAD_GATEWAY
            return status, {'detail': 'a service below failed'}
        return HTTPStatus.OK, self._whole(call.request_id)

    def _call_below(self, call: 'Call', path: str) -> bool:
        return all(
            downstream.call(call.headers(), call.left_s)
            for downstream in self._downstream
            if downstream.wanted(path)
        )

    def _whole(self, request_id: str) -> Answer:
        return Answer(
            request_id=request_id,
            service=self._service,
            target=self._name,
            padding=self._padding,
            end=request_id,
        )

    def _control(self, body: bytes) -> tuple[HTTPStatus, object]:
        change = msgspec.json.decode(body, type=Change)
        self._service_time = msgspec.structs.replace(
            self._service_time, median_ms=change.median_ms
        )
        return HTTPStatus.OK, change

    def _health(self) -> dict[str, str]:
        return {'state': 'serving'}

    def _load(self) -> Load:
        load = Load(
            in_flight=self._slots.in_flight,
            waiting=self._slots.waiting,
            slots=self._slots.slots,
        )
        return self._load_view.report(load, now_s=time.monotonic())


class Call:
    """One request in progress: deadline, cancellation, identity."""

    def __init__(self, *, environ: dict[str, Any]) -> None:
        self._environ = environ
        self._gone = environ.get('waitress.client_disconnected', bool)
        self.request_id = environ.get('HTTP_X_REQUEST_ID', '')
        self.key = environ.get('HTTP_IDEMPOTENCY_KEY', '')
        timeout_ms = environ.get('HTTP_REQUEST_TIMEOUT_MS', '')
        timeout_s = _DEFAULT_TIMEOUT_S
        if timeout_ms.isdecimal():
            timeout_s = int(timeout_ms) / _MS_PER_S
        self._ends_s = time.monotonic() + timeout_s

    def left_s(self) -> float:
        """Return the seconds until the deadline."""
        expires_ms = self._environ.get('HTTP_REQUEST_EXPIRES_MS', '')
        left_s = self._ends_s - time.monotonic()
        if expires_ms.isdecimal():
            by_wall_s = int(expires_ms) / _MS_PER_S - time.time()
            return min(left_s, by_wall_s)
        return left_s

    def gone(self) -> bool:
        """Return whether the caller closed the connection."""
        return bool(self._gone())

    def headers(self) -> dict[str, str]:
        """Return the headers to pass on to services below."""
        passed = {'X-Request-Id': self.request_id}
        trace = self._environ.get('HTTP_TRACEPARENT', '')
        if trace:
            passed['traceparent'] = trace
        passed['Request-Timeout-Ms'] = str(
            max(1, int(self.left_s() * _MS_PER_S))
        )
        return passed

    def sleep(self, needed_s: float) -> bool:
        """Work for that long; return False when it was given up."""
        ends_s = time.monotonic() + needed_s
        while time.monotonic() < ends_s:
            if self.gone() or self.left_s() <= 0:
                return False
            rest_s = max(0, ends_s - time.monotonic())
            time.sleep(min(_SLICE_S, rest_s))
        return True
