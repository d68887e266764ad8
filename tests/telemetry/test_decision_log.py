"""The decision log is bounded and never blocks."""

import json
import os

import pytest

from fescueknot.telemetry.decision_log import DecisionLog, LineBuffer


@pytest.fixture
def pipe():
    read_end, write_end = os.pipe()
    yield read_end, write_end
    os.close(read_end)
    os.close(write_end)


def _read(descriptor):
    os.set_blocking(descriptor, False)
    return os.read(descriptor, 1_000_000)


class TestLineBuffer:
    """Order, size limit and rate limit of buffered lines."""

    def test_lines_are_written_in_order(self, pipe):
        buffer = LineBuffer(descriptor=pipe[1])
        buffer.add('a', b'1\n', 0, rate_exempt=False)
        buffer.add('a', b'2\n', 0, rate_exempt=False)
        buffer.flush()
        assert _read(pipe[0]) == b'1\n2\n'

    def test_a_full_pipe_drops_lines_and_does_not_block(self, pipe):
        buffer = LineBuffer(
            descriptor=pipe[1], max_bytes=1000, bytes_per_s=10**9
        )
        for _ in range(3000):
            buffer.add('a', b'x' * 100, 0, rate_exempt=False)
            buffer.flush()
        assert buffer.pop_dropped()['a'] > 0

    def test_lines_above_the_rate_are_dropped_unless_exempt(self, pipe):
        buffer = LineBuffer(descriptor=pipe[1], bytes_per_s=10)
        for _ in range(5):
            buffer.add('often', b'12345\n', 0, rate_exempt=False)
        buffer.add('rare', b'change\n', 0, rate_exempt=True)
        buffer.flush()
        assert _read(pipe[0]) == b'12345\nchange\n'
        assert buffer.pop_dropped() == {'often': 4}

    def test_the_token_bucket_refills(self, pipe):
        buffer = LineBuffer(descriptor=pipe[1], bytes_per_s=10)
        buffer.add('often', b'1234567890', 0, rate_exempt=False)
        buffer.add('often', b'1234567890', 1, rate_exempt=False)
        assert buffer.pop_dropped() == {}


class TestDecisionLog:
    """Format of the lines of the decision log."""

    def test_a_line_is_json_with_node_and_event(self, pipe):
        log = DecisionLog(node='n1', buffer=LineBuffer(descriptor=pipe[1]))
        log.write('gate.refused', {'id': 'x', 'reason': 'full'})
        log.flush()
        found = json.loads(_read(pipe[0]))
        assert (found['node'], found['event'], found['id']) == (
            'n1',
            'gate.refused',
            'x',
        )

    def test_dropped_lines_are_reported(self, pipe):
        buffer = LineBuffer(descriptor=pipe[1], bytes_per_s=0)
        log = DecisionLog(node='n1', buffer=buffer)
        log.write('call.ended', {})
        log.flush()
        found = json.loads(_read(pipe[0]))
        assert found['lines'] == {'call.ended': 1}
