"""The log of decisions: bounded, and never in the way."""

import json
import os

import pytest

from fescueknot.telemetry.decision_log import DecisionLog, LineBuffer


@pytest.fixture
def pipe():
    reading, writing = os.pipe()
    yield reading, writing
    os.close(reading)
    os.close(writing)


def _read(descriptor):
    os.set_blocking(descriptor, False)
    return os.read(descriptor, 1_000_000)


class TestLineBuffer:
    """Line buffer."""

    def test_lines_come_out_in_order(self, pipe):
        buffer = LineBuffer(descriptor=pipe[1])
        buffer.add('a', b'1\n', 0, rate_exempt=False)
        buffer.add('a', b'2\n', 0, rate_exempt=False)
        buffer.flush()
        assert _read(pipe[0]) == b'1\n2\n'

    def test_a_pipe_that_nobody_reads_holds_nothing_up(self, pipe):
        buffer = LineBuffer(
            descriptor=pipe[1], most_bytes=1000, bytes_per_s=10**9
        )
        for _ in range(3000):
            buffer.add('a', b'x' * 100, 0, rate_exempt=False)
            buffer.flush()
        assert buffer.take_dropped()['a'] > 0

    def test_frequent_lines_are_dropped_by_rate_rare_ones_are_not(self, pipe):
        buffer = LineBuffer(descriptor=pipe[1], bytes_per_s=10)
        for _ in range(5):
            buffer.add('often', b'12345\n', 0, rate_exempt=False)
        buffer.add('rare', b'change\n', 0, rate_exempt=True)
        buffer.flush()
        assert _read(pipe[0]) == b'12345\nchange\n'
        assert buffer.take_dropped() == {'often': 4}

    def test_the_allowance_comes_back(self, pipe):
        buffer = LineBuffer(descriptor=pipe[1], bytes_per_s=10)
        buffer.add('often', b'1234567890', 0, rate_exempt=False)
        buffer.add('often', b'1234567890', 1, rate_exempt=False)
        assert buffer.take_dropped() == {}


class TestDecisionLog:
    """Decision log."""

    def test_a_line_is_json_with_event_and_node(self, pipe):
        log = DecisionLog(node='n1', buffer=LineBuffer(descriptor=pipe[1]))
        log.write('gate.refused', {'id': 'x', 'reason': 'full'})
        log.flush()
        found = json.loads(_read(pipe[0]))
        assert (found['node'], found['event'], found['id']) == (
            'n1',
            'gate.refused',
            'x',
        )

    def test_dropped_lines_are_told(self, pipe):
        buffer = LineBuffer(descriptor=pipe[1], bytes_per_s=0)
        log = DecisionLog(node='n1', buffer=buffer)
        log.write('call.ended', {})
        log.flush()
        found = json.loads(_read(pipe[0]))
        assert found['lines'] == {'call.ended': 1}
