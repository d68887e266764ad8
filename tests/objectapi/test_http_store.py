"""Tests the HTTP client of the object API against the stand-in server."""

import socket
from collections.abc import Iterator
from http.client import HTTPConnection

import msgspec
import pytest

from fescueknot.clock import ManualClock
from fescueknot.identity import Address
from fescueknot.objectapi import errors, wire
from fescueknot.objectapi.faults import FaultPlan, WatchFault
from fescueknot.objectapi.http_store import HttpStore
from fescueknot.objectapi.memory_store import MemoryStore
from fescueknot.objectapi.messages import MAX_VALUE_BYTES
from fescueknot.objectapi.meter import CallCounters, CallMeter, StoreLimits
from fescueknot.objectapi.metered_store import MeteredStore
from fescueknot.objectapi.standin import StandInServer, StandInSettings


@pytest.fixture
def server() -> Iterator[StandInServer]:
    running = StandInServer(settings=StandInSettings(threads=4))
    running.start()
    yield running
    running.stop()


@pytest.fixture
def store(server: StandInServer) -> Iterator[HttpStore]:
    client = HttpStore(address=server.address)
    yield client
    client.close()


def _control(server: StandInServer, path: str, body: bytes = b'') -> int:
    address = server.address
    connection = HTTPConnection(address.host, address.port)
    connection.request('POST', path, body=body)
    status = connection.getresponse().status
    connection.close()
    return status


def _set_faults(server: StandInServer, plan: FaultPlan) -> None:
    body = msgspec.json.encode(plan)
    assert _control(server, wire.FAULTS_PATH, body) == 200


class TestContract:
    """The client returns the same results and errors as the memory store."""

    def test_create_update_and_delete(self, store: HttpStore) -> None:
        first = store.create('p/ñandú 1', '{"a": 1}')
        second = store.update(first.key, '{"a": 2}', first.version)
        assert store.get(first.key) == second
        assert store.list('p/').objects == (second,)
        store.delete(first.key, second.version)
        assert store.list('p/').objects == ()
        events = store.watch('p/', 0, 0).events
        assert [event.version for event in events] == [1, 2, 3]
        assert events[-1].deleted

    def test_statuses_become_errors(
        self, server: StandInServer, store: HttpStore
    ) -> None:
        store.create('a', '1')
        with pytest.raises(errors.Conflict):
            store.create('a', '1')
        with pytest.raises(errors.Conflict):
            store.update('a', '1', 7)
        with pytest.raises(errors.NotFound):
            store.get('b')
        with pytest.raises(errors.TooLarge):
            store.create('b', 'x' * (MAX_VALUE_BYTES + 1))
        assert _control(server, wire.COMPACT_PATH) == 204
        with pytest.raises(errors.Compacted):
            store.watch('', 0, 0)

    def test_invalid_fault_plan_is_refused(self, server: StandInServer) -> None:
        assert _control(server, wire.FAULTS_PATH, b'{"down": 1}') == 400


class TestFaultsOverHttp:
    """Errors that the client raises if the store or the connection fails."""

    @pytest.mark.parametrize(
        ('plan', 'error'),
        [
            (FaultPlan(down=True), errors.Unavailable),
            (FaultPlan(rate_limited=True), errors.RateLimited),
            (FaultPlan(lost_answers_ratio=1), errors.OutcomeUnknown),
            (FaultPlan(lost_writes_ratio=1), errors.OutcomeUnknown),
        ],
    )
    def test_failed_write_raises_the_error_of_its_fault(
        self, server: StandInServer, store: HttpStore, plan, error
    ) -> None:
        _set_faults(server, plan)
        with pytest.raises(error):
            store.create('a', '1')
        _set_faults(server, FaultPlan())
        written = bool(store.list('a').objects)
        assert written == bool(plan.lost_answers_ratio)

    def test_closed_watch_raises_unavailable(
        self, server: StandInServer, store: HttpStore
    ) -> None:
        _set_faults(server, FaultPlan(watches=WatchFault.CLOSED))
        with pytest.raises(errors.Unavailable):
            store.watch('', 0, 30)

    def test_refused_connection_raises_unavailable(self) -> None:
        with socket.create_server(('127.0.0.1', 0)) as unused:
            port = unused.getsockname()[1]
        store = HttpStore(address=Address(host='127.0.0.1', port=port))
        with pytest.raises(errors.Unavailable):
            store.create('a', '1')

    @pytest.mark.parametrize(
        ('call', 'error'),
        [
            (lambda store: store.get('a'), errors.Unavailable),
            (lambda store: store.create('a', '1'), errors.OutcomeUnknown),
        ],
    )
    def test_call_without_response_raises_an_error(self, call, error) -> None:
        with socket.create_server(('127.0.0.1', 0)) as unresponsive:
            port = unresponsive.getsockname()[1]
            store = HttpStore(
                address=Address(host='127.0.0.1', port=port),
                answer_timeout_s=0.05,
            )
            with pytest.raises(error):
                call(store)

    def test_idle_connection_closed_by_the_server_is_not_reused(self) -> None:
        server = StandInServer(settings=StandInSettings(threads=1))
        server.start()
        store = HttpStore(address=server.address)
        store.create('a', '1')
        server.stop()
        with pytest.raises(errors.Unavailable):
            store.create('b', '1')


class TestMeteredStore:
    """Counters and rate limits of calls."""

    def test_calls_are_counted_and_refused_above_the_rates(self) -> None:
        clock = ManualClock()
        meter = CallMeter(
            clock=clock, limits=StoreLimits(reads_per_s=2, writes_per_s=1)
        )
        store = MeteredStore(inner=MemoryStore(), meter=meter)
        store.list('')
        store.watch('', 0, 0)
        store.create('a', '1')
        with pytest.raises(errors.RateLimited):
            store.watch('', 0, 0)
        with pytest.raises(errors.RateLimited):
            store.create('b', '1')
        clock.advance(seconds_s=1)
        store.create('b', '1')
        assert meter.counters() == CallCounters(
            reads=1, watches=1, writes=2, refused=2, elapsed_s=1
        )
