"""Exchanges of a client that are cancelled."""

import asyncio

import pytest

from fescueknot.httpio.client import Client
from fescueknot.httpio.messages import Request
from fescueknot.identity import Address
from tests.httpio.fake_transport import FakeTransport
from tests.relay.simulated_loop import run_simulated

_REQUEST = Request(method='GET', target='/', headers=(('host', 'h'),))
_ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'
# Steps of the loop in which a client learns that it is connected.
_STEPS = range(6)


class _Socket:
    def setsockopt(self, *option):
        """Accept every option."""

    def fileno(self):
        """Have nothing to read, as a closed socket."""
        return -1


class _Transport(FakeTransport):
    def get_extra_info(self, name, default=None):
        return _Socket()


class _Network:
    """Connects once it is told to; replaces that of the running loop."""

    def __init__(self):
        self.transport = _Transport()
        self.protocol = None
        self._connected = asyncio.Event()
        asyncio.get_running_loop().create_connection = self._connect

    def connect(self):
        self._connected.set()

    async def _connect(self, make_protocol, host, port):
        await self._connected.wait()
        self.protocol = make_protocol()
        self.protocol.connection_made(self.transport)
        return self.transport, self.protocol


class TestCancelledWhileConnecting:
    """The end of a caller's time limit while a connection is opened."""

    # Guards against a request that is sent after its caller has left, and is
    # waited for without any limit: the cancellation was lost when it came in
    # the same steps of the loop as the connection.
    @pytest.mark.parametrize('steps', _STEPS)
    def test_it_is_not_lost(self, steps):
        async def scenario():
            network = _Network()
            client = Client(address=Address(host='10.0.0.1', port=1))
            exchange = asyncio.ensure_future(client.exchange(_REQUEST))
            await asyncio.sleep(0.1)
            network.connect()
            for _ in range(steps):
                await asyncio.sleep(0)
            sent_before = bytes(network.transport.written)
            exchange.cancel()
            done, _ = await asyncio.wait((exchange,), timeout=60)
            sent_after = bytes(network.transport.written) != sent_before
            return bool(done) and exchange.cancelled(), sent_after

        assert run_simulated(scenario) == (True, False)

    # Guards against an exchange that outlives the time limit of its caller.
    def test_a_time_limit_holds(self):
        async def scenario():
            network = _Network()
            client = Client(address=Address(host='10.0.0.1', port=1))
            loop = asyncio.get_running_loop()
            loop.call_at(0.3, network.connect)

            async def exchange():
                async with asyncio.timeout_at(0.3):
                    await client.exchange(_REQUEST)

            task = asyncio.ensure_future(exchange())
            await asyncio.wait((task,), timeout=60)
            return loop.time(), task.exception()

        ended_s, error = run_simulated(scenario)
        assert ended_s == pytest.approx(0.3)
        assert isinstance(error, TimeoutError)


class TestCancelledWithItsAnswer:
    """A caller that leaves in the step in which its answer has come."""

    # Guards against a connection that nobody holds and nobody closes: its
    # server counts it until it is idle for too long.
    @pytest.mark.parametrize('steps', _STEPS)
    def test_the_connection_is_kept_for_later_or_closed(self, steps):
        async def scenario():
            network = _Network()
            network.connect()
            client = Client(address=Address(host='10.0.0.1', port=1))
            exchange = asyncio.ensure_future(client.exchange(_REQUEST))
            await asyncio.sleep(0.1)
            network.protocol.data_received(_ANSWER)
            for _ in range(steps):
                await asyncio.sleep(0)
            exchange.cancel()
            await asyncio.wait((exchange,))
            client.close()
            return network.transport.is_closing()

        assert run_simulated(scenario)
