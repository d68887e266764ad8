"""The life of a request, read from the lines of nodes with other clocks."""

import json

import pytest

from fescueknot.telemetry.request_history import RequestHistory, RequestOutcome
from fescueknot.telemetry.request_log import DroppedLines, RequestLog


def _line(node, event, request_id, time_s=1.5, **details):
    fields = {'time_s': time_s, 'node': node, 'event': event, 'id': request_id}
    return json.dumps({**fields, **details})


def _story(*lines, request_id='r'):
    return RequestHistory(
        request_id=request_id, lines=_read(*lines, request_id=request_id)
    )


def _read(*lines, request_id='r'):
    reader = RequestLog(request_id=request_id)
    reader.read(lines)
    return reader.lines


def _events(story):
    return [
        (step.depth, step.decision.node, step.decision.event)
        for step in story.steps()
    ]


# A root request at node a, run beside b, whose call is refused beside c; the
# clock of c is an hour ahead, that of b an hour behind.
_FAILED = (
    _line('a', 'call.ended', 'r', 10.3, depth=0, status=500),
    _line('a', 'call.reply', 'r', 10.2, instance='i-b', ending='answered',
          status=500),
    _line('b', 'gate.sent', 'r', -3589.8, instance='i-b', ending='answered',
          status=500),
    _line('b', 'call.ended', 'r.1', -3589.9, depth=1, status=503),
    _line('b', 'call.reply', 'r.1', -3589.91, instance='i-c',
          ending='refused', status=0),
    _line('c', 'gate.refused', 'r.1', 3610.0, instance='i-c',
          reason='the target is full', detail='waited too long'),
    _line('a', 'call.ended', 'other', 10.3, depth=0, status=200),
)  # fmt: skip


class TestReading:
    """Reading."""

    @pytest.mark.parametrize(
        'line',
        [
            '',
            'started',
            '{"time_s": 1',
            '["time_s"]',
            _line('a', 'call.ended', 'r').replace('"id"', '"name"'),
        ],
    )
    def test_other_lines_are_passed_over(self, line):
        assert not _read(line)

    def test_what_a_collector_puts_before_a_line_is_cut_off(self):
        stamped = '12.5 node-a ' + _line('a', 'call.shed', 'r', status=503)
        (decision,) = _read(stamped)
        assert (decision.node, decision.details) == ('a', {'status': 503})


def _drop(node, time_s, **lines):
    counts = {name.replace('_', '.'): count for name, count in lines.items()}
    fields = {'time_s': time_s, 'node': node, 'event': 'log.dropped'}
    return json.dumps({**fields, 'lines': counts})


class TestManyLines:
    """Logs of many nodes, of which a request has a few lines."""

    def test_lines_of_others_are_not_kept(self):
        lines = RequestLog(request_id='r.1')
        lines.read(_FAILED)
        assert {line.request_id for line in lines.lines} == {'r.1'}

    def test_lines_of_others_are_not_decoded(self, monkeypatch):
        decoded = []
        monkeypatch.setattr(
            'fescueknot.telemetry.request_log.decoded',
            lambda text: decoded.append(text) or {},
        )
        RequestLog(request_id='other').read(_FAILED)
        assert len(decoded) == 1

    def test_an_id_in_another_field_is_no_line_of_it(self):
        lines = RequestLog(request_id='i-b')
        lines.read(_FAILED)
        assert not lines.lines


class TestGaps:
    """Lines that nodes dropped at the time of a request."""

    def test_they_are_counted_by_event(self):
        lines = RequestLog(request_id='r')
        lines.read(
            (
                _line('a', 'call.ended', 'r', 10.3, status=504),
                _drop('b', 10.5, gate_sent=7, call_ended=1),
                _drop('c', 9.5, gate_sent=2),
                _drop('c', 60.0, gate_sent=100),
            )
        )
        gaps = lines.dropped_lines()
        assert gaps == (
            DroppedLines(event='call.ended', lines=1, nodes=1),
            DroppedLines(event='gate.sent', lines=9, nodes=2),
        )

    def test_a_request_without_lines_has_all_drops_as_gaps(self):
        lines = RequestLog(request_id='none')
        lines.read((_drop('c', 60.0, gate_sent=100),))
        assert lines.dropped_lines() == (
            DroppedLines(event='gate.sent', lines=100, nodes=1),
        )

    @pytest.mark.parametrize('counts', ['{}', '[1]', '{"x": "y"}', '3'])
    def test_a_damaged_line_about_drops_is_passed_over(self, counts):
        lines = RequestLog(request_id='r')
        lines.read(
            [
                f'{{"time_s":1,"node":"a","event":"log.dropped","lines":{counts}}}'
            ]
        )
        assert not lines.dropped_lines()


class TestOrder:
    """Causes before what they led to."""

    @pytest.mark.parametrize('turned', [False, True])
    def test_it_hangs_on_no_clock_and_no_order_of_logs(self, turned):
        lines = tuple(reversed(_FAILED)) if turned else _FAILED
        assert _events(_story(*lines)) == [
            (1, 'c', 'gate.refused'),
            (1, 'b', 'call.reply'),
            (1, 'b', 'call.ended'),
            (0, 'b', 'gate.sent'),
            (0, 'a', 'call.reply'),
            (0, 'a', 'call.ended'),
        ]

    def test_calls_are_told_when_the_line_of_their_gate_was_dropped(self):
        lines = (line for line in _FAILED if 'gate.sent' not in line)
        assert (1, 'b', 'call.ended') in _events(_story(*lines))

    def test_an_unknown_id_has_no_steps(self):
        story = _story(*_FAILED, request_id='none')
        assert (story.steps(), story.deciding_line()) == ((), None)


class TestDecidingLine:
    """The line that decided how the request ended."""

    def test_of_a_failure_it_is_on_the_deepest_call_that_failed(self):
        deciding = _story(*_FAILED).deciding_line()
        assert deciding.request_id == 'r.1'
        assert deciding.event in {'gate.refused', 'call.reply'}

    def test_of_a_success_it_is_the_end(self):
        deciding = _story(*_FAILED, request_id='other').deciding_line()
        assert deciding.details['status'] == 200

    def test_of_a_refusal_before_any_work_it_is_the_refusal(self):
        shed = _line('a', 'call.shed', 'r', status=503)
        assert _story(shed).deciding_line().event == 'call.shed'

    def test_of_a_lost_answer_it_is_the_gate_that_lost_it(self):
        lines = (
            _line('a', 'call.ended', 'r', depth=0, status=502),
            _line('b', 'gate.sent', 'r', instance='i', ending='unknown',
                  status=0, detail='connection lost'),
        )  # fmt: skip
        assert (
            _story(*lines).deciding_line().details['detail']
            == 'connection lost'
        )

    def test_a_refusal_elsewhere_is_no_cause_of_an_unknown_outcome(self):
        lines = (
            _line('a', 'call.ended', 'r', depth=0, status=502),
            _line('a', 'call.reply', 'r', instance='i', ending='unknown',
                  status=0),
            _line('c', 'gate.refused', 'r', instance='j', detail='full'),
        )  # fmt: skip
        assert _story(*lines).deciding_line().instance == 'i'

    def test_a_refusal_before_a_silent_target_is_no_cause(self):
        lines = (
            _line('a', 'call.ended', 'r', depth=0, status=504,
                  outcome='may have run'),
            _line('a', 'call.reply', 'r', instance='i', ending='refused',
                  status=0),
            _line('b', 'gate.refused', 'r', instance='i', reason='stops'),
        )  # fmt: skip
        assert _story(*lines).deciding_line().event == 'call.ended'


_ENDED_SILENT = _line('a', 'call.ended', 'r', status=504, asked=1, arrivals=0,
                      outcome='may have run')  # fmt: skip
_LEFT = _line('a', 'call.abandoned', 'r', status=0, outcome='may have run')


def _gate(ending, status, detail=''):
    return _line('b', 'gate.sent', 'r', instance='i', ending=ending,
                 status=status, detail=detail)  # fmt: skip


class TestVerdict:
    """Whether a request went through."""

    @pytest.mark.parametrize(
        ('lines', 'verdict'),
        [
            (
                (
                    _line('a', 'call.ended', 'r', status=200,
                          outcome='answered'),
                    _gate('answered', 200),
                ),
                RequestOutcome.ANSWERED,
            ),
            (
                (
                    _line('a', 'call.ended', 'r', status=500,
                          outcome='answered'),
                ),
                RequestOutcome.FAILED,
            ),
            (
                (_line('a', 'call.shed', 'r', status=503),),
                RequestOutcome.NOT_RUN,
            ),
            (
                (
                    _line('a', 'call.ended', 'r', status=503,
                          outcome='not run'),
                ),
                RequestOutcome.NOT_RUN,
            ),
            ((_ENDED_SILENT, _gate('answered', 200)), RequestOutcome.ANSWER_LOST),
            ((_LEFT, _gate('answered', 200)), RequestOutcome.ANSWER_LOST),
            ((_ENDED_SILENT, _gate('answered', 500)), RequestOutcome.UNKNOWN),
            ((_ENDED_SILENT, _gate('unknown', 0)), RequestOutcome.UNKNOWN),
            ((_ENDED_SILENT,), RequestOutcome.UNKNOWN),
            ((_gate('answered', 200),), RequestOutcome.ANSWER_LOST),
            ((_gate('unknown', 0),), RequestOutcome.UNKNOWN),
            (
                (_ENDED_SILENT, _line('b', 'gate.refused', 'r', instance='i')),
                RequestOutcome.NOT_RUN,
            ),
            ((_ENDED_SILENT, _gate('turned away', 503)), RequestOutcome.NOT_RUN),
            (
                (
                    _line('a', 'call.ended', 'r', status=504, asked=2,
                          outcome='may have run'),
                    _line('b', 'gate.refused', 'r', instance='i'),
                ),
                RequestOutcome.UNKNOWN,
            ),
            (
                (_line('a', 'call.ended', 'r', status=504, asked=1),),
                RequestOutcome.UNKNOWN,
            ),
        ],
    )  # fmt: skip
    def test_it_follows_from_the_lines(self, lines, verdict):
        assert _story(*lines).outcome() is verdict

    def test_a_line_without_an_outcome_is_no_promise(self):
        line = _line('a', 'call.ended', 'r', status=503)
        assert _story(line).outcome() is RequestOutcome.UNKNOWN

    def test_the_target_to_ask_is_the_last_that_was_sent_it(self):
        lines = (_ENDED_SILENT, _gate('unknown', 0))
        assert _story(*lines).last_sent_to() == 'i'

    def test_without_a_gates_line_nobody_is_named(self):
        assert not _story(_ENDED_SILENT).last_sent_to()
