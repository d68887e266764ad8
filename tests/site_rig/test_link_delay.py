"""Connections and datagrams that take their time, in the same order."""

import asyncio
from collections import deque
from collections.abc import Callable

import pytest

from tools.site_rig.link_delay import DelayedDatagrams, DelayedProtocol

LINE = 'tools.site_rig.link_delay.DelayLine'


class Line:
    """A delay line whose time is up when the test says so."""

    made: list['Line'] = []

    def __init__(self, *, delay_s: float) -> None:
        self.delay_s = delay_s
        self._due: deque[Callable[[], None]] = deque()
        self.made.append(self)

    def put(self, action: Callable[[], None]) -> None:
        self._due.append(action)

    def pass_on(self) -> None:
        for _ in tuple(self._due):
            self._due.popleft()()


class Inner(asyncio.Transport):
    """The socket's own transport; notes what it is asked."""

    def __init__(self) -> None:
        super().__init__()
        self.calls: list = []

    def write(self, sent: bytes) -> None:
        self.calls.append(sent)

    def write_eof(self) -> None:
        self.calls.append('eof')

    def close(self) -> None:
        self.calls.append('close')

    def abort(self) -> None:
        self.calls.append('abort')

    def pause_reading(self) -> None:
        self.calls.append('pause')

    def resume_reading(self) -> None:
        self.calls.append('resume')

    def is_closing(self) -> bool:
        return bool({'close', 'abort'} & set(self.calls))

    def get_write_buffer_size(self) -> int:
        return 0


class Protocol(asyncio.Protocol):
    """The program's protocol; notes what it hears."""

    def __init__(self) -> None:
        self.heard: list = []
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def data_received(self, chunk: bytes) -> None:
        self.heard.append(chunk)

    def eof_received(self) -> bool:
        self.heard.append('eof')
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.heard.append(error)


class Link:
    """A connection with a delay."""

    def __init__(self) -> None:
        self.inner = Inner()
        self.protocol = Protocol()
        self.delayed = DelayedProtocol(inner=self.protocol, delay_s=0.02)
        self.delayed.connection_made(self.inner)
        self.incoming = Line.made[0]
        self.outgoing = Line.made[1]

    @property
    def transport(self) -> asyncio.Transport:
        return self.protocol.transport


@pytest.fixture
def link(monkeypatch):
    monkeypatch.setattr(LINE, Line)
    monkeypatch.setattr(Line, 'made', [])
    return Link()


class TestOutput:
    """What the program sends."""

    # Guards against bytes that arrive at once, or out of order.
    def test_write(self, link):
        link.transport.write(b'a')
        link.transport.write(b'b')
        link.transport.write_eof()

        assert not link.inner.calls
        link.outgoing.pass_on()
        assert link.inner.calls == [b'a', b'b', 'eof']

    # Guards against bytes of a buffer that is used again meanwhile.
    def test_buffer(self, link):
        buffer = bytearray(b'a')
        link.transport.write(buffer)
        buffer[0] = 0

        link.outgoing.pass_on()

        assert link.inner.calls == [b'a']

    # Guards against bytes under way that seem to have arrived.
    def test_under_way(self, link):
        link.transport.write(b'abc')

        assert link.transport.get_write_buffer_size() == 3
        link.outgoing.pass_on()
        assert link.transport.get_write_buffer_size() == 0

    # Guards against an end that overtakes what was sent.
    @pytest.mark.parametrize('how', ['close', 'abort'])
    def test_end(self, link, how):
        link.transport.write(b'a')
        getattr(link.transport, how)()

        assert link.transport.is_closing()
        assert not link.inner.calls
        link.outgoing.pass_on()
        assert link.inner.calls == [b'a', how]

    # Guards against writes to a connection that has failed meanwhile.
    def test_failed_meanwhile(self, link):
        link.transport.write(b'a')
        link.inner.calls.append('abort')

        link.outgoing.pass_on()

        assert link.inner.calls == ['abort']


class TestInput:
    """What the program hears."""

    # Guards against an end that overtakes what has arrived.
    def test_order(self, link):
        error = ConnectionResetError()
        link.delayed.data_received(b'a')
        link.delayed.connection_lost(error)

        assert not link.protocol.heard
        link.incoming.pass_on()
        assert link.protocol.heard == [b'a', error]

    # Guards against a connection that stays open after the end of its input.
    def test_end_of_input(self, link):
        assert link.delayed.eof_received()
        link.incoming.pass_on()
        link.outgoing.pass_on()

        assert link.protocol.heard == ['eof']
        assert link.inner.calls == ['close']

    # Guards against bytes for a program that has closed the connection, and
    # against an end that it does not hear of.
    def test_closed_here(self, link):
        link.delayed.data_received(b'a')
        link.transport.close()
        link.incoming.pass_on()
        link.delayed.connection_lost(None)

        assert link.protocol.heard == [None]

    # Guards against bytes for a program that reads nothing, and lost ones.
    def test_pause(self, link):
        link.delayed.data_received(b'a')
        link.transport.pause_reading()
        link.incoming.pass_on()
        link.delayed.data_received(b'b')
        link.incoming.pass_on()

        assert not link.protocol.heard
        link.transport.resume_reading()
        assert link.protocol.heard == [b'a', b'b']
        assert link.inner.calls == ['pause', 'resume']

    # Guards against an end that hides what waits behind a pause.
    def test_lost_behind_a_pause(self, link):
        link.delayed.data_received(b'a')
        link.transport.pause_reading()
        link.delayed.connection_lost(None)
        link.incoming.pass_on()

        assert link.protocol.heard == [b'a', None]


class Port(asyncio.DatagramProtocol):
    """The program's port; notes what it hears."""

    def __init__(self) -> None:
        self.heard: list = []

    def datagram_received(self, sent, source) -> None:
        self.heard.append((sent, source[0]))


class TestDatagrams:
    """Datagrams."""

    # Guards against delays of others' links, and of the host itself.
    def test_lines(self, monkeypatch):
        monkeypatch.setattr(LINE, Line)
        monkeypatch.setattr(Line, 'made', [])
        inner = Port()
        heard = inner.heard
        port = DelayedDatagrams(inner=inner, delays_s={'b': 0.02, 'c': 0})
        for sender in ('a', 'b', 'c'):
            port.datagram_received(b'x', (sender, 1))

        assert heard == [(b'x', 'a')]
        far, near = Line.made
        near.pass_on()
        far.pass_on()
        assert heard == [(b'x', 'a'), (b'x', 'c'), (b'x', 'b')]
        assert (far.delay_s, near.delay_s) == (0.02, 0)
