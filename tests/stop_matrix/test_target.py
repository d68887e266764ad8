"""Targets of the matrix: what a path asks for, and when a run has ended."""

import asyncio
import types

import pytest

from tools.site_rig.exchanges import Answer
from tools.site_rig.records import RunEnd
from tools.site_rig.replies import Reply
from tools.site_rig.target_connection import App, Arrival
from tools.stop_matrix.target import MatrixTarget
from tools.stop_matrix.target_side import MatrixConnection

LONG_BYTES = 30_000_000
REQUEST = b'GET %b HTTP/1.1\r\nhost: x\r\n\r\n'
USUAL = b'/browse/w1/1'


class _Host:
    name = 'a'


class _Whole(App):
    def reject_early(self, arrival):
        """Take every body."""


class _LongAnswer(_Whole):
    async def answer(self, arrival):
        return Reply(status=200, headers={}, body=b'x' * LONG_BYTES)


class _ShortAnswer(_Whole):
    async def answer(self, arrival):
        return Reply(status=200, headers={}, body=b'x')


class _Caller:
    """Answers each call, and keeps its id."""

    def __init__(self):
        self.attempts = []

    async def open(self):
        """Return no connection."""

    async def ask(self, connection, ask):
        """Answer."""
        self.attempts.append(ask.attempt)
        return types.SimpleNamespace(answer=Answer(status=200))


class _Endless(_Whole):
    async def answer(self, arrival):
        await asyncio.sleep(60)


class _ClosingTransport:
    """Its caller takes a whole answer and closes at once."""

    def __init__(self, connection):
        self._connection = connection
        self._left_bytes = 0

    def write(self, answer):
        """Take all, and close in a later turn."""
        self._left_bytes = len(answer)
        asyncio.get_running_loop().call_soon(self._close)

    def get_write_buffer_size(self):
        """Return what is not taken yet."""
        return self._left_bytes

    def _close(self):
        self._left_bytes = 0
        self._connection.connection_lost(None)


def reply_to(path: str, headers: dict[str, str]) -> Reply:
    target = MatrixTarget(host=_Host(), records=None, caller=None)
    arrival = Arrival(path=path, headers=headers)
    return asyncio.run(target.answer(arrival))


async def read_answer(reader: asyncio.StreamReader) -> None:
    await reader.readuntil(b'\r\n\r\n')
    await reader.readexactly(LONG_BYTES)


def ends_of(
    app: App, *, reads: bool, path: bytes = USUAL
) -> list[list[RunEnd]]:
    """Return the noted ends before and after a client has read or left."""

    async def play():
        noted = []
        server = await asyncio.get_running_loop().create_server(
            lambda: MatrixConnection(
                app=app, note=lambda *run: noted.append(run[2])
            ),
            '127.0.0.1',
            0,
        )
        reader, writer = await asyncio.open_connection(
            *server.sockets[0].getsockname(), limit=1000
        )
        writer.write(REQUEST % path)
        await asyncio.sleep(0.2)
        before = list(noted)
        if reads:
            await read_answer(reader)
        writer.transport.abort()
        await asyncio.sleep(0.2)
        server.close()
        return [before, noted]

    return asyncio.run(play())


class TestWork:
    """What a path asks for."""

    @pytest.mark.parametrize(
        ('path', 'given_ms', 'status', 'size'),
        [
            ('/browse/w1/1', '100', 200, 100),
            ('/browse/s5000/1', '100', 200, 5000),
            # It stops at its deadline and says so.
            ('/browse/w200/1', '20', 504, 100),
        ],
    )
    def test_path_tells_the_work(self, path, given_ms, status, size):
        reply = reply_to(path, {'x-fescueknot-deadline-ms': given_ms})
        assert (reply.status, len(reply.body)) == (status, size)

    def test_request_for_another_target_does_not_run(self):
        reply = reply_to(
            '/browse/w1/1', {'x-fescueknot-expected-instance': 'other'}
        )
        assert reply.status == 421
        assert 'x-fescueknot-not-executed' in reply.headers


class TestCalls:
    """Calls of a run."""

    # Guards against the run of a repeated request that is taken for that of
    # the first: their calls are requests of their own.
    def test_ids_of_calls_differ_between_runs(self):
        caller = _Caller()
        path, headers = '/call/w1/1', {'x-fescueknot-attempt-id': 'calls.1'}
        for _ in range(2):
            target = MatrixTarget(host=_Host(), records=None, caller=caller)
            arrival = Arrival(path=path, headers=headers)
            asyncio.run(target.answer(arrival))
            asyncio.run(target.answer(arrival))
        assert len(set(caller.attempts)) == 8


class TestEndOfRun:
    """When a run has ended."""

    # Guards against blaming a caller that closes as soon as it has all.
    def test_run_is_answered_when_its_caller_closes_behind_the_answer(self):
        noted = []

        async def play():
            connection = MatrixConnection(
                app=_ShortAnswer(), note=lambda *run: noted.append(run[2])
            )
            transport = _ClosingTransport(connection)
            connection.connection_made(transport)
            connection.data_received(REQUEST % USUAL)
            await asyncio.sleep(0.1)

        asyncio.run(play())
        assert noted == [RunEnd.ANSWERED]

    # An answer that its caller has not taken is still the target's work.
    def test_run_ends_when_its_answer_is_handed_over(self):
        assert ends_of(_LongAnswer(), reads=True) == [[], [RunEnd.ANSWERED]]

    def test_run_is_cut_with_an_answer_that_nobody_reads(self):
        assert ends_of(_LongAnswer(), reads=False) == [[], [RunEnd.CUT]]

    def test_run_is_cut_when_its_caller_leaves(self):
        assert ends_of(_Endless(), reads=False) == [[], [RunEnd.CUT]]

    # The requests of others are counted beside it, not its own.
    def test_endless_answer_is_the_targets_fault(self):
        ends = ends_of(_Endless(), reads=True, path=b'/browse/endless/1')
        assert ends == [[], [RunEnd.BROKE_OFF]]
