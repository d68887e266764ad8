"""History of a request, from log lines of nodes whose clocks differ."""

import json

import pytest

from fescueknot.telemetry.request_history import RequestHistory, RequestOutcome
from fescueknot.telemetry.request_log import DroppedLines, RequestLog


def _line(node, event, request_id, time_s=1.5, **details):
    fields = {'time_s': time_s, 'node': node, 'event': event, 'id': request_id}
    return json.dumps({**fields, **details})


def _history(*lines, request_id='r'):
    return RequestHistory(
        request_id=request_id, lines=_read(*lines, request_id=request_id)
    )


def _read(*lines, request_id='r'):
    reader = RequestLog(request_id=request_id)
    reader.read(lines)
    return reader.lines


def _events(history):
    return [
        (step.depth, step.decision.node, step.decision.event)
        for step in history.steps()
    ]


# A root request enters at node a and runs at the target beside node b; its
# downstream call is refused by the gate of node c. The clock of b is one hour
# behind the clock of a, the clock of c one hour ahead.
_LINES = (
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
    """Reading of single lines."""

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
    def test_unrelated_lines_are_ignored(self, line):
        assert not _read(line)

    def test_the_prefix_of_a_log_collector_is_ignored(self):
        stamped = '12.5 node-a ' + _line('a', 'call.shed', 'r', status=503)
        (log_line,) = _read(stamped)
        assert (log_line.node, log_line.details) == ('a', {'status': 503})


def _drop_report(node, time_s, **lines):
    counts = {name.replace('_', '.'): count for name, count in lines.items()}
    fields = {'time_s': time_s, 'node': node, 'event': 'log.dropped'}
    return json.dumps({**fields, 'lines': counts})


class TestManyLines:
    """Logs in which few lines belong to the request."""

    def test_lines_of_other_requests_are_not_kept(self):
        log = RequestLog(request_id='r.1')
        log.read(_LINES)
        assert {line.request_id for line in log.lines} == {'r.1'}

    def test_lines_of_other_requests_are_not_decoded(self, monkeypatch):
        decoded = []
        monkeypatch.setattr(
            'fescueknot.telemetry.request_log.decode_line',
            lambda text: decoded.append(text) or {},
        )
        RequestLog(request_id='other').read(_LINES)
        assert len(decoded) == 1

    def test_an_id_in_another_field_does_not_match(self):
        log = RequestLog(request_id='i-b')
        log.read(_LINES)
        assert not log.lines


class TestDroppedLines:
    """Lines that nodes dropped at the time of a request."""

    def test_dropped_lines_are_counted_by_event(self):
        log = RequestLog(request_id='r')
        log.read(
            (
                _line('a', 'call.ended', 'r', 10.3, status=504),
                _drop_report('b', 10.5, gate_sent=7, call_ended=1),
                _drop_report('c', 9.5, gate_sent=2),
                _drop_report('c', 60.0, gate_sent=100),
            )
        )
        dropped = log.dropped_lines()
        assert dropped == (
            DroppedLines(event='call.ended', lines=1, nodes=1),
            DroppedLines(event='gate.sent', lines=9, nodes=2),
        )

    def test_without_lines_of_the_request_all_drops_are_counted(self):
        log = RequestLog(request_id='none')
        log.read((_drop_report('c', 60.0, gate_sent=100),))
        assert log.dropped_lines() == (
            DroppedLines(event='gate.sent', lines=100, nodes=1),
        )

    @pytest.mark.parametrize('counts', ['{}', '[1]', '{"x": "y"}', '3'])
    def test_an_invalid_drop_report_is_ignored(self, counts):
        log = RequestLog(request_id='r')
        log.read(
            [
                f'{{"time_s":1,"node":"a","event":"log.dropped","lines":{counts}}}'
            ]
        )
        assert not log.dropped_lines()


class TestOrder:
    """Lines are in causal order."""

    @pytest.mark.parametrize('reverse', [False, True])
    def test_order_depends_on_neither_clocks_nor_order_of_logs(self, reverse):
        lines = tuple(reversed(_LINES)) if reverse else _LINES
        assert _events(_history(*lines)) == [
            (1, 'c', 'gate.refused'),
            (1, 'b', 'call.reply'),
            (1, 'b', 'call.ended'),
            (0, 'b', 'gate.sent'),
            (0, 'a', 'call.reply'),
            (0, 'a', 'call.ended'),
        ]

    def test_calls_are_included_if_their_gate_line_was_dropped(self):
        lines = (line for line in _LINES if 'gate.sent' not in line)
        assert (1, 'b', 'call.ended') in _events(_history(*lines))

    def test_an_unknown_id_has_no_steps(self):
        history = _history(*_LINES, request_id='none')
        assert (history.steps(), history.deciding_line()) == ((), None)


class TestDecidingLine:
    """The line that decided how the request ended."""

    def test_for_a_failure_it_belongs_to_the_deepest_failed_call(self):
        deciding = _history(*_LINES).deciding_line()
        assert deciding.request_id == 'r.1'
        assert deciding.event in {'gate.refused', 'call.reply'}

    def test_for_a_success_it_is_the_end_line(self):
        deciding = _history(*_LINES, request_id='other').deciding_line()
        assert deciding.details['status'] == 200

    def test_for_a_request_shed_on_arrival_it_is_the_refusal(self):
        shed = _line('a', 'call.shed', 'r', status=503)
        assert _history(shed).deciding_line().event == 'call.shed'

    def test_for_a_lost_answer_it_is_the_line_of_the_gate(self):
        lines = (
            _line('a', 'call.ended', 'r', depth=0, status=502),
            _line('b', 'gate.sent', 'r', instance='i', ending='unknown',
                  status=0, detail='connection lost'),
        )  # fmt: skip
        assert (
            _history(*lines).deciding_line().details['detail']
            == 'connection lost'
        )

    def test_a_refusal_elsewhere_does_not_decide_an_unknown_outcome(self):
        lines = (
            _line('a', 'call.ended', 'r', depth=0, status=502),
            _line('a', 'call.reply', 'r', instance='i', ending='unknown',
                  status=0),
            _line('c', 'gate.refused', 'r', instance='j', detail='full'),
        )  # fmt: skip
        assert _history(*lines).deciding_line().instance == 'i'

    def test_a_refusal_does_not_decide_if_a_later_target_did_not_answer(self):
        lines = (
            _line('a', 'call.ended', 'r', depth=0, status=504,
                  outcome='may have run'),
            _line('a', 'call.reply', 'r', instance='i', ending='refused',
                  status=0),
            _line('b', 'gate.refused', 'r', instance='i', reason='stops'),
        )  # fmt: skip
        assert _history(*lines).deciding_line().event == 'call.ended'


_NO_REPLY = _line('a', 'call.ended', 'r', status=504, asked=1, arrivals=0,
                  outcome='may have run')  # fmt: skip
_ABANDONED = _line('a', 'call.abandoned', 'r', status=0, outcome='may have run')


def _gate_line(ending, status, detail=''):
    return _line('b', 'gate.sent', 'r', instance='i', ending=ending,
                 status=status, detail=detail)  # fmt: skip


class TestVerdict:
    """Whether a request ran and was answered."""

    @pytest.mark.parametrize(
        ('lines', 'outcome'),
        [
            (
                (
                    _line('a', 'call.ended', 'r', status=200,
                          outcome='answered'),
                    _gate_line('answered', 200),
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
            (
                (_NO_REPLY, _gate_line('answered', 200)),
                RequestOutcome.ANSWER_LOST,
            ),
            (
                (_ABANDONED, _gate_line('answered', 200)),
                RequestOutcome.ANSWER_LOST,
            ),
            ((_NO_REPLY, _gate_line('answered', 500)), RequestOutcome.UNKNOWN),
            ((_NO_REPLY, _gate_line('unknown', 0)), RequestOutcome.UNKNOWN),
            ((_NO_REPLY,), RequestOutcome.UNKNOWN),
            ((_gate_line('answered', 200),), RequestOutcome.ANSWER_LOST),
            ((_gate_line('unknown', 0),), RequestOutcome.UNKNOWN),
            (
                (_NO_REPLY, _line('b', 'gate.refused', 'r', instance='i')),
                RequestOutcome.NOT_RUN,
            ),
            (
                (_NO_REPLY, _gate_line('turned away', 503)),
                RequestOutcome.NOT_RUN,
            ),
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
    def test_outcome_follows_from_the_lines(self, lines, outcome):
        assert _history(*lines).outcome() is outcome

    def test_a_refusal_line_without_outcome_leaves_it_unknown(self):
        line = _line('a', 'call.ended', 'r', status=503)
        assert _history(line).outcome() is RequestOutcome.UNKNOWN

    def test_last_sent_to_is_the_target_of_the_last_gate_line(self):
        lines = (_NO_REPLY, _gate_line('unknown', 0))
        assert _history(*lines).last_sent_to() == 'i'

    def test_last_sent_to_is_empty_without_a_gate_line(self):
        assert not _history(_NO_REPLY).last_sent_to()
