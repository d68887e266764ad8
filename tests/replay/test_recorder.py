"""The recorder of a node, and the trace made of what it wrote."""

import io

import pytest

from fescueknot.calls import Importance, Outcome
from fescueknot.identity import Place
from fescueknot.node.recorder import (
    EntryRecord,
    HostRecord,
    RecorderError,
    StreamRecorder,
    WorkRecord,
    open_stream,
)
from fescueknot.replay.events import Header
from fescueknot.replay.joining import Joiner, records_of
from fescueknot.replay.replayer import Replayer

_PLACE = Place(region='sierra', failure_domain='sierra-a')
_HEADER = Header(name='x', recorded_by='x', deployment='x', seed=1)
_SERVICES = ('inscripcion', 'salidas')


def _host(service):
    return HostRecord(
        node=f'{service}-1',
        incarnation=1,
        service=service,
        place=_PLACE,
        slots=2,
    )


def _entry(number, service, parent=''):
    return EntryRecord(
        at_wall_s=1_800_000_000.0 + number,
        node='inscripcion-1',
        root_id='r',
        span_id=f'entry-{number}',
        parent_span_id=parent,
        service=service,
        importance=Importance.HIGH,
        deadline_ms=4000,
        idempotent=True,
        at_most_once=False,
        key='',
        caller='club',
        verdict='answered',
        outcome=Outcome.RUN,
        attempts=1,
    )


def _work(number, service, *, answered=True):
    return WorkRecord(
        at_wall_s=1_800_000_000.0 + number,
        node=f'{service}-1',
        span_id=f'work-{number}',
        entry_span_id=f'entry-{number}',
        service=service,
        own_ms=20,
        answered=answered,
    )


def _written(*records):
    stream = io.BytesIO()
    recorder = StreamRecorder(node='inscripcion-1', stream=stream)
    for record in records:
        recorder.record(record)
    recorder.stop()
    recorder.run()
    return stream.getvalue().splitlines()


class TestRecorder:
    """Bounded, and never on a disk."""

    def test_a_full_queue_drops_and_counts(self):
        stream = io.BytesIO()
        recorder = StreamRecorder(node='a', stream=stream, max_queued=2)
        for service in ('one', 'two', 'three', 'four'):
            recorder.record(_host(service))
        assert recorder.dropped == 2

    def test_stop_does_not_wait_for_a_reader(self):
        recorder = StreamRecorder(node='a', stream=io.BytesIO(), max_queued=1)
        recorder.record(_host('one'))
        recorder.stop()
        assert recorder.dropped == 1

    def test_the_last_line_tells_what_was_dropped(self):
        assert b'"count":0' in _written(_host('inscripcion'))[-1]

    def test_files_are_refused(self, tmp_path):
        file = tmp_path / 'trace'
        file.touch()
        with pytest.raises(RecorderError):
            open_stream(str(file))


class TestJoining:
    """From records to a trace that replays."""

    def test_calls_below_stand_below_their_work(self):
        lines = _written(
            *(_host(service) for service in _SERVICES),
            _entry(1, 'inscripcion'),
            _work(1, 'inscripcion'),
            _entry(2, 'salidas', parent='work-1'),
            _work(2, 'salidas', answered=False),
        )
        trace = Joiner(records=records_of(lines)).trace(_HEADER)
        arrival = trace.events[-1]
        assert arrival.work.below[0].service == 'salidas'
        request = Replayer(trace=trace).run().requests[0]
        assert (request.good, request.calls) == (False, 2)
