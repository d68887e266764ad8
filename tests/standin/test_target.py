"""Tests the stand-in target, on whose audit the demonstration relies."""

import io
import json
import pathlib
from collections.abc import Callable
from typing import Any

import pytest

from tools.standin.audit import Audit, read_runs
from tools.standin.errors import ExpiredError, ShedError
from tools.standin.load_view import Honesty, Load, LoadView
from tools.standin.service_time import ServiceTime
from tools.standin.slots import Slots
from tools.standin.target_app import Parts, TargetApp

_NO_SERVICE_TIME = ServiceTime(median_ms=0)


def _app(audit: Audit, slots: int = 1) -> TargetApp:
    parts = Parts(
        slots=Slots(slots=slots, queue_limit=1),
        service_time=_NO_SERVICE_TIME,
        load_view=LoadView(lag_s=0, honesty=Honesty.LAGGING),
        audit=audit,
        downstream=(),
    )
    return TargetApp(service='ledger', name='t1', parts=parts, answer_bytes=3)


def _request(app: TargetApp, path: str, **headers: str) -> tuple[str, Any]:
    statuses: list[str] = []

    def start_response(status: str, _fields: object) -> None:
        statuses.append(status)

    environ = {'PATH_INFO': path, 'wsgi.input': io.BytesIO(), **headers}
    body = b''.join(app(environ, start_response))
    return statuses[0], json.loads(body)


class TestTarget:
    """Responses, audit and refusals."""

    def test_response_begins_and_ends_with_the_request_id(self) -> None:
        status, answer = _request(_app(Audit()), '/x', HTTP_X_REQUEST_ID='r7')
        assert status == '200 OK'
        assert (answer['request_id'], answer['end']) == ('r7', 'r7')

    def test_audit_file_records_each_run(self, tmp_path: pathlib.Path) -> None:
        path = str(tmp_path / 'audit')
        app = _app(Audit(path=path))
        for key in ('k1', 'k2', 'k1'):
            _request(app, '/x', HTTP_IDEMPOTENCY_KEY=key)
        assert _request(app, '/audit')[1] == {'k1': 2, 'k2': 1}
        assert [run.key for run in read_runs(path)] == ['k1', 'k2', 'k1']

    @pytest.mark.parametrize(
        ('headers', 'status'),
        [
            ({'HTTP_REQUEST_EXPIRES_MS': '1000'}, '504 Gateway Timeout'),
            (
                {'waitress.client_disconnected': lambda: True},
                '503 Service Unavailable',
            ),
        ],
    )
    def test_expired_and_abandoned_requests_are_not_run(
        self, headers: dict[str, Any], status: str
    ) -> None:
        audit = Audit()
        app = _app(audit, slots=0)
        found, problem = _request(
            app, '/x', HTTP_IDEMPOTENCY_KEY='k', **headers
        )
        assert found == status
        assert problem['outcome'] == 'not run'
        assert not audit.counts()


class TestSlots:
    """Bounded queue and wait for a free slot."""

    def test_a_full_queue_sheds(self) -> None:
        slots = Slots(slots=1, queue_limit=0)
        with (
            pytest.raises(ShedError),
            slots.taken(left_s=_one_second_left, gone=bool),
        ):
            pytest.fail('no slot was free')

    def test_an_expired_wait_occupies_no_slot(self) -> None:
        slots = Slots(slots=1, queue_limit=2)
        with slots.taken(left_s=_one_second_left, gone=bool):
            self._expire(slots)
            assert (slots.in_flight, slots.waiting) == (1, 0)
        with slots.taken(left_s=_one_second_left, gone=bool):
            assert slots.in_flight == 1

    def _expire(self, slots: Slots) -> None:
        no_time_left: Callable[[], float] = float
        with (
            pytest.raises(ExpiredError),
            slots.taken(left_s=no_time_left, gone=bool),
        ):
            pytest.fail('no slot was free')


class TestLoadView:
    """Delayed load reports."""

    def test_reports_lag_behind_the_load(self) -> None:
        view = LoadView(lag_s=1, honesty=Honesty.LAGGING)
        reported = [
            view.report(
                Load(in_flight=number, waiting=0, slots=9), now_s=number / 2
            ).in_flight
            for number in range(6)
        ]
        assert reported == [0, 0, 0, 1, 2, 3]


def _one_second_left() -> float:
    return 1
