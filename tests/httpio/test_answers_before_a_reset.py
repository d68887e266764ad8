"""Servers that answer a long request early and reset the connection."""

import asyncio
import socket

import pytest

from fescueknot.httpio.client import Client
from fescueknot.httpio.errors import AnswerLostError
from fescueknot.httpio.messages import Request
from fescueknot.identity import Address
from tests.relay.simulated_loop import run_simulated

_BODY_BYTES = 400_000
_REQUEST = Request(method='POST', target='/', body=bytes(_BODY_BYTES))
_ANSWER = b'HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull'
_ENDLESS = b'HTTP/1.1 200 OK\r\n\r\nfull'


def _exchanged(answer):
    """Return the response to a request that is written after the reset.

    The server answers and closes with the request unread, between the first
    piece that the client writes and the next.
    """

    async def scenario():
        listening = socket.create_server(('127.0.0.1', 0))
        host, port = listening.getsockname()
        client = Client(address=Address(host=host, port=port))
        await client.probe()
        serving, _ = listening.accept()
        exchange = asyncio.ensure_future(client.exchange(_REQUEST))
        await asyncio.sleep(0)
        serving.sendall(answer)
        serving.close()
        listening.close()
        return await exchange

    return run_simulated(scenario)


class TestEarlyAnswers:
    """What lies in the kernel when a write fails."""

    def test_a_whole_answer_counts(self):
        # Guards against an answer that is dropped unread, as the rest of its
        # request can't be written: nobody knew that it had not run.
        response = _exchanged(_ANSWER)
        assert (response.status, bytes(response.body)) == (503, b'full')

    @pytest.mark.parametrize('answer', [_ANSWER[:-1], _ENDLESS, b''])
    def test_one_that_is_cut_by_the_reset_does_not(self, answer):
        with pytest.raises(AnswerLostError):
            _exchanged(answer)
