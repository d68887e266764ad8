"""Clients that send a body only once they are told to go on."""

import asyncio

import pytest

from fescueknot.httpio.buffer_budget import BufferBudget
from fescueknot.httpio.connection import ServerConnection
from fescueknot.httpio.handler import Handler
from fescueknot.httpio.messages import Limits, Response
from tests.httpio.fake_transport import FakeTransport, NoOpOwner
from tests.relay.simulated_loop import run_simulated

_GET = b'GET /good HTTP/1.1\r\nHost: x\r\n\r\n'
_HEAD = (
    b'POST /body HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n'
    b'Content-Length: 4\r\n\r\n'
)
_OLD_HEAD = _HEAD.replace(b'HTTP/1.1', b'HTTP/1.0')
_TOO_LONG_HEAD = _HEAD.replace(b'Length: 4', b'Length: 99')
_BODY = b'body'
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_WORK_S = 4
_LONG_WORK_S = 40
# More than a connection parses at a time.
_FULL_PIPELINE = 20
_MEMORY_BYTES = 100_000
_POLL_INTERVAL_S = 0.5
_MAX_WAIT_S = 100


class _Handler(Handler):
    def __init__(self, work_s):
        self._work_s = work_s

    async def answer(self, request, peer):
        await asyncio.sleep(self._work_s)
        return Response(status=200, body=bytes(request.body) or b'good')

    def limits(self):
        return Limits(header_bytes=300, body_bytes=10)

    def may_overlap(self, request):
        return True


class _Client:
    """Sends a body once all that was asked for has come."""

    def __init__(self, *, owner=None, work_s=_WORK_S):
        self.owner = owner or NoOpOwner()
        self.transport = FakeTransport()
        self.connection = ServerConnection(
            handler=_Handler(work_s), owner=self.owner
        )
        self.connection.connection_made(self.transport)

    async def until_written(self, text):
        """Wait for a text; return whether it came."""
        for _ in range(int(_MAX_WAIT_S / _POLL_INTERVAL_S)):
            if text in self.transport.written:
                return True
            await asyncio.sleep(_POLL_INTERVAL_S)
        return False

    async def written_after(self, sent, *, work_s=_WORK_S):
        """Return all that is written when the body follows the go-ahead."""
        self.connection.data_received(sent)
        if await self.until_written(_CONTINUE):
            self.connection.data_received(_BODY)
        await asyncio.sleep(_LONG_WORK_S + 1)
        return bytes(self.transport.written)


def _bodies(written):
    """Return what follows each head, in the order written."""
    parts = written.split(b'HTTP/1.1 ')[1:]
    return [part[:3] + part.partition(b'\r\n\r\n')[2] for part in parts]


class TestOrder:
    """The go-ahead among the answers of a connection."""

    @pytest.mark.parametrize('before', [0, 1, 2, _FULL_PIPELINE])
    def test_it_comes_behind_the_answers_of_earlier_requests(self, before):
        # Guards against a go-ahead that a client takes for the beginning of the
        # answer to an earlier request: it was written at once.
        async def scenario():
            return await _Client().written_after(_GET * before + _HEAD)

        expected = [*(b'200good' for _ in range(before)), b'100', b'200body']
        assert _bodies(run_simulated(scenario)) == expected

    def test_the_wait_for_it_is_not_the_clients(self):
        # Guards against a 408 for a body that its client was not told to send.
        async def scenario():
            client = _Client(work_s=_LONG_WORK_S)
            return await client.written_after(_GET + _HEAD)

        written = run_simulated(scenario)
        assert _bodies(written) == [b'200good', b'100', b'200body']

    def test_a_body_that_comes_unasked_needs_none(self):
        async def scenario():
            client = _Client()
            client.connection.data_received(_GET + _HEAD + _BODY)
            await asyncio.sleep(2 * _WORK_S)
            return bytes(client.transport.written)

        assert _bodies(run_simulated(scenario)) == [b'200good', b'200body']

    def test_an_old_client_is_told_nothing(self):
        # Guards against an interim answer to HTTP/1.0, which has none.
        async def scenario():
            client = _Client()
            client.connection.data_received(_OLD_HEAD)
            client.connection.data_received(_BODY)
            await asyncio.sleep(2 * _WORK_S)
            return bytes(client.transport.written)

        assert _bodies(run_simulated(scenario)) == [b'200body(end)']


class TestStop:
    """A stop while a client waits to send its body."""

    def test_its_request_is_answered(self):
        async def scenario():
            client = _Client()
            client.connection.data_received(_HEAD)
            client.owner.draining = True
            is_idle_but_for_input = client.connection.close_when_idle()
            client.connection.data_received(_BODY)
            await asyncio.sleep(2 * _WORK_S)
            return is_idle_but_for_input, bytes(client.transport.written)

        is_idle_but_for_input, written = run_simulated(scenario)
        assert not is_idle_but_for_input
        assert _bodies(written) == [b'100', b'200body(end)']
        assert b'\r\nconnection: close\r\n' in written

    def test_behind_an_answer_that_closes_there_is_none(self):
        # Guards against a go-ahead for a request that will not be read.
        async def scenario():
            client = _Client()
            client.connection.data_received(_GET + _HEAD)
            client.owner.draining = True
            await asyncio.sleep(2 * _WORK_S)
            return bytes(client.transport.written)

        assert _bodies(run_simulated(scenario)) == [b'200good(end)']


class TestRefusals:
    """What comes in the place of a go-ahead."""

    @pytest.mark.parametrize('before', [0, 1])
    def test_a_body_that_is_too_long_is_refused_in_its_turn(self, before):
        async def scenario():
            client = _Client()
            return await client.written_after(_GET * before + _TOO_LONG_HEAD)

        expected = [*(b'200good' for _ in range(before)), b'413(end)']
        assert _bodies(run_simulated(scenario)) == expected

    def test_without_memory_it_is_refused(self):
        async def scenario():
            owner = NoOpOwner()
            owner.buffers = BufferBudget(limit_bytes=_MEMORY_BYTES)
            owner.buffers.share().resize(_MEMORY_BYTES)
            return await _Client(owner=owner).written_after(_HEAD)

        written = run_simulated(scenario)
        assert _bodies(written) == [b'503(end)']
