"""Requests before one that is refused, on the same connection."""

import asyncio

import pytest

from fescueknot.httpio.connection import ServerConnection
from fescueknot.httpio.handler import Handler
from fescueknot.httpio.messages import Limits, Response
from tests.httpio.fake_transport import FakeTransport, NoOpOwner
from tests.relay.simulated_loop import run_simulated

_WORK_S = 4
_HEADER_TIMEOUT_S = 1
_LONG_S = 20
_GOOD = b'GET /good HTTP/1.1\r\nHost: x\r\n\r\n'
_FAILING = b'GET /failing HTTP/1.1\r\nHost: x\r\n\r\n'
_PIPELINE_LENGTH = 16


class _Handler(Handler):
    async def answer(self, request, peer):
        if request.target == '/failing':
            raise ZeroDivisionError
        await asyncio.sleep(_WORK_S)
        return Response(status=200, body=b'whole')

    def limits(self):
        return Limits(
            header_bytes=300, body_bytes=10, header_timeout_s=_HEADER_TIMEOUT_S
        )

    def may_overlap(self, request):
        return True


def _written(*pieces, after_s=0, rest=b''):
    """Return what is written after pieces, and a rest some time later."""

    async def scenario():
        transport = FakeTransport()
        connection = ServerConnection(handler=_Handler(), owner=NoOpOwner())
        connection.connection_made(transport)
        for piece in pieces:
            connection.data_received(piece)
        await asyncio.sleep(after_s)
        if rest:
            connection.data_received(rest)
        await asyncio.sleep(_LONG_S)
        return bytes(transport.written)

    return run_simulated(scenario)


class TestRefusals:
    """A refusal that closes the connection."""

    @pytest.mark.parametrize(
        ('refused', 'status'),
        [
            (b'nonsense\r\n\r\n', b'400'),
            (b'GET /' + b'a' * 400 + b' HTTP/1.1\r\n\r\n', b'431'),
            (b'POST / HTTP/1.1\r\nContent-Length: 99\r\n\r\n', b'413'),
            (b'GET / HTTP/1.1\r\nHo', b'408'),
            (b'POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nx', b'408'),
        ],
        ids=['malformed', 'head', 'body', 'late head', 'late body'],
    )
    def test_requests_before_it_are_answered(self, refused, status):
        # Guards against the linger of a connection that has refused input:
        # it aborted requests that were at work longer than a second.
        written = _written(_GOOD, refused)
        assert written.count(b'whole') == 1
        assert b'HTTP/1.1 ' + status in written.partition(b'whole')[2]

    def test_a_head_behind_a_full_pipeline_has_its_time(self):
        # Guards against a 408 for a request that nobody has read meanwhile.
        cut = len(_GOOD) // 2
        written = _written(
            _GOOD * _PIPELINE_LENGTH + _GOOD[:cut],
            after_s=2 * _HEADER_TIMEOUT_S,
            rest=_GOOD[cut:],
        )
        assert written.count(b'whole') == _PIPELINE_LENGTH + 1
        assert b' 408 ' not in written

    def test_a_failed_handler_does_not_cut_the_requests_behind_it(self):
        # Guards against the close after a 500: it cancelled requests behind it
        # that had been passed on.
        written = _written(_FAILING + _GOOD)
        assert written.count(b'HTTP/1.1 500') == 1
        assert written.count(b'whole') == 1
