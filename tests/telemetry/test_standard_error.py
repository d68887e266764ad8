"""Standard error as a pipe that nobody reads."""

import logging
import os

import pytest

from fescueknot.telemetry.standard_error import never_block

# More than a pipe holds.
_LINES = 2000
_LINE = 'x' * 100


@pytest.fixture(name='pipe')
def make_pipe():
    read_end, write_end = os.pipe()
    os.set_blocking(read_end, False)
    with os.fdopen(write_end, 'w', buffering=1) as stream:
        yield read_end, stream
    os.close(read_end)


class TestNeverBlock:
    """Lines of ``logging`` while nobody reads."""

    def test_lines_that_find_no_room_are_dropped(self, pipe, monkeypatch):
        # Guards against a node that stands still at a line of asyncio.
        monkeypatch.setattr(logging, 'raiseExceptions', False)
        read_end, stream = pipe
        never_block(stream)
        handler = logging.StreamHandler(stream)
        for number in range(_LINES):
            handler.emit(logging.makeLogRecord({'msg': f'{number:04}{_LINE}'}))
        received = os.read(read_end, 1_000_000).decode()
        assert received.startswith(f'0000{_LINE}\n0001')
        assert received.count('\n') < _LINES
