"""Clients of the matrix: how requests are framed, sent late and judged."""

import asyncio
import functools

import pytest

from fescueknot.httpio.handler import Handler
from fescueknot.httpio.messages import Limits, Response
from fescueknot.httpio.server import Server
from tools.site_rig.delay_line import DelayLine
from tools.site_rig.exchanges import Exchange
from tools.site_rig.records import Outcome
from tools.stop_matrix.client import Ask
from tools.stop_matrix.links import LinkedConnection

DELAY_S = 0.05
LONG_BYTES = 400_000


class _Handler(Handler):
    async def answer(self, request, peer):
        return Response(status=200, body=b'x' * LONG_BYTES)

    def limits(self):
        return Limits()


def lasted(connection: functools.partial, ask: Ask) -> tuple[float, Exchange]:
    """Return how long a request took at a server, and how it ended."""

    async def play():
        server = Server(handler=_Handler(), report_error=print)
        await server.listen('127.0.0.1', 0)
        loop = asyncio.get_running_loop()
        _, client = await loop.create_connection(
            connection, '127.0.0.1', server.port
        )
        exchange = Exchange()
        began_s = loop.time()
        client.send(exchange, ask.head('a'), b'')
        for _, part in ask.parts:
            client.send_more(exchange, part)
        await exchange.wait(10)
        client.close()
        return loop.time() - began_s, exchange

    return asyncio.run(play())


class TestAsk:
    """The bytes of a request."""

    def test_get_has_no_body(self):
        head = Ask(path='/once/w20/1').head('a')
        assert head.startswith(b'GET /once/w20/1 ')
        assert b'content-length' not in head

    def test_parts_are_counted(self):
        head = Ask(path='/', parts=((0, b'12'), (1, b'345'))).head('a')
        assert head.startswith(b'POST ')
        assert b'content-length: 5\r\n\r\n' in head

    def test_chunks_are_announced(self):
        head = Ask(path='/', parts=((0, b'0\r\n\r\n'),), is_chunked=True)
        assert b'transfer-encoding: chunked\r\n\r\n' in head.head('a')


class TestLink:
    """A connection behind a link."""

    def test_events_keep_their_order(self):
        async def play():
            seen = []
            delay = DelayLine(delay_s=0.01)
            for number in range(50):
                delay.put(functools.partial(seen.append, number))
            await asyncio.sleep(0.1)
            return seen

        assert asyncio.run(play()) == list(range(50))

    def test_request_and_answer_take_a_way_each(self):
        link = functools.partial(LinkedConnection, delay_s=DELAY_S)
        took_s, exchange = lasted(link, Ask(path='/'))
        assert exchange.outcome is Outcome.ANSWERED
        assert took_s >= 2 * DELAY_S

    def test_end_of_the_server_comes_late_too(self):
        link = functools.partial(LinkedConnection, delay_s=DELAY_S)
        took_s, exchange = lasted(
            link, Ask(path='/', more_headers='connection: close\r\n')
        )
        assert exchange.outcome is Outcome.ANSWERED
        assert took_s >= 2 * DELAY_S

    def test_slow_reader_takes_its_time(self):
        rate = LONG_BYTES * 4
        link = functools.partial(LinkedConnection, delay_s=0, bytes_per_s=rate)
        took_s, exchange = lasted(link, Ask(path='/'))
        assert exchange.outcome is Outcome.ANSWERED
        assert took_s >= 0.1

    def test_interim_answer_ends_no_request(self):
        ask = Ask(
            path='/',
            parts=((0, b'body'),),
            more_headers='expect: 100-continue\r\n',
        )
        link = functools.partial(LinkedConnection, delay_s=0)
        _, exchange = lasted(link, ask)
        assert exchange.answer.status == 200

    # A client that ends its sending gets what its request ends with.
    @pytest.mark.parametrize('delay_s', [0, DELAY_S])
    def test_half_close_is_no_end_of_reading(self, delay_s):
        async def play():
            async def answer_behind_end(reader, writer):
                await reader.read()
                writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')
                writer.close()

            server = await asyncio.start_server(
                answer_behind_end, '127.0.0.1', 0
            )
            _, client = await asyncio.get_running_loop().create_connection(
                functools.partial(LinkedConnection, delay_s=delay_s),
                *server.sockets[0].getsockname(),
            )
            exchange = Exchange()
            client.send(exchange, Ask(path='/').head('a'), b'')
            client.end_sending()
            await exchange.wait(10)
            server.close()
            return exchange

        assert asyncio.run(play()).answer.status == 200
