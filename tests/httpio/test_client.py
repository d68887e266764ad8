"""Client connections: reuse, answers of others, lost answers."""

import asyncio
import importlib.util
import pathlib

import pytest

from fescueknot.httpio.client import Client, ClientSettings
from fescueknot.httpio.errors import AnswerLostError, NotSentError
from fescueknot.httpio.messages import Request

_SPEC = importlib.util.spec_from_file_location(
    'wires', pathlib.Path(__file__).with_name('wires.py')
)
_WIRES = importlib.util.module_from_spec(_SPEC)
_SPEC.loader.exec_module(_WIRES)
RawServer = _WIRES.RawServer

_REQUEST = Request(method='GET', target='/', headers=(('host', 'x'),))


def _answer(body=b'ok', *headers):
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n' % len(body)
    return head + b''.join(line + b'\r\n' for line in headers) + b'\r\n' + body


def _run(scenario):
    return asyncio.run(asyncio.wait_for(scenario(), 30))


class TestReuse:
    """Reuse."""

    def test_a_clean_connection_is_used_again(self):
        async def scenario():
            server = await RawServer(_answer(), _answer()).start()
            client = Client(address=server.address)
            await client.exchange(_REQUEST)
            await client.exchange(_REQUEST)
            return server.connections

        assert _run(scenario) == 1

    @pytest.mark.parametrize(
        'first',
        [
            _answer(b'ok', b'Connection: close'),
            _answer(b'ok') + _answer(b'stray'),
            _answer(b'ok') + b'stray bytes',
        ],
        ids=['close', 'second answer', 'stray bytes'],
    )
    def test_a_connection_with_something_left_is_not(self, first):
        async def scenario():
            server = await RawServer(first, _answer(b'mine')).start()
            client = Client(address=server.address)
            await client.exchange(_REQUEST)
            await asyncio.sleep(0)
            response = await client.exchange(_REQUEST)
            return response.body, server.connections

        assert _run(scenario) == (b'mine', 2)

    def test_a_connection_idle_for_longer_than_asked_is_not(self):
        async def scenario():
            server = await RawServer(_answer(), _answer()).start()
            client = Client(address=server.address)
            await client.exchange(_REQUEST)
            await client.exchange(_REQUEST, max_idle_s=0)
            return server.connections

        assert _run(scenario) == 2

    def test_the_servers_idle_time_counts(self):
        async def scenario():
            first = _answer(b'ok', b'Keep-Alive: timeout=0')
            server = await RawServer(first, _answer()).start()
            client = Client(address=server.address)
            await client.exchange(_REQUEST)
            await client.exchange(_REQUEST)
            return server.connections

        assert _run(scenario) == 2


class TestAnswers:
    """Answers."""

    def test_the_answer_of_an_earlier_request_is_passed_over(self):
        async def scenario():
            late = _answer(b'late', b'Id: 1')
            mine = _answer(b'mine', b'Id: 2')
            server = await RawServer(late + mine).start()
            client = Client(address=server.address)
            response = await client.exchange(
                _REQUEST, lambda found: found.header('id') == '2'
            )
            return response.body

        assert _run(scenario) == b'mine'

    @pytest.mark.parametrize(
        'answer',
        [None, RawServer.RESET, b'\x00\x01\x02\r\n\r\n'],
        ids=['closed', 'reset', 'garbage'],
    )
    def test_a_lost_answer_is_told(self, answer):
        async def scenario():
            server = await RawServer(answer).start()
            await Client(address=server.address).exchange(_REQUEST)

        with pytest.raises(AnswerLostError):
            _run(scenario)

    def test_nothing_is_sent_where_nobody_listens(self):
        async def scenario():
            server = await RawServer().start()
            server._server.close()
            await server._server.wait_closed()
            client = Client(
                address=server.address,
                settings=ClientSettings(connect_timeout_s=5),
            )
            await client.exchange(_REQUEST)

        with pytest.raises(NotSentError):
            _run(scenario)

    def test_a_cancelled_exchange_closes_its_connection(self):
        async def scenario():
            server = await RawServer().start()
            client = Client(address=server.address)
            exchange = asyncio.ensure_future(client.exchange(_REQUEST))
            while not server.heads:
                await asyncio.sleep(0.001)
            exchange.cancel()
            await server.closed.wait()

        _run(scenario)

    def test_a_lost_answer_ends_the_idle_connections_too(self):
        async def scenario():
            server = await RawServer(_answer(), _answer()).start()
            client = Client(address=server.address)
            await asyncio.gather(
                client.exchange(_REQUEST), client.exchange(_REQUEST)
            )
            server._answers.append(None)
            with pytest.raises(AnswerLostError):
                await client.exchange(_REQUEST)
            return len(client._idle)

        assert not _run(scenario)
