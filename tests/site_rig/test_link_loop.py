"""The event loop of nodes: which connections pass over links."""

import asyncio
import contextlib
import pathlib
import socket

import msgspec
import pytest

from tools.site_rig.link_delay import DelayedTransport
from tools.site_rig.link_loop import LinkLoop
from tools.site_rig.link_pages import POKE_PORT, LinkPage, Strike, write_page

HERE, THERE, CUT = '127.9.5.1', '127.9.5.2', '127.9.5.3'
PORT = 8300
PAGE = LinkPage(ip=HERE, delays_s={THERE: 0})


class Noted(asyncio.Protocol):
    """Notes what it hears, and is waited for."""

    def __init__(self) -> None:
        self.heard = bytearray()
        self.made = asyncio.Event()
        self.lost = asyncio.Event()
        self.error: Exception | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.made.set()

    def data_received(self, chunk: bytes) -> None:
        self.heard.extend(chunk)
        self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        self.error = error
        self.lost.set()


class Host:
    """A process at one address, with the page of its links."""

    def __init__(self, folder: pathlib.Path, **fields) -> None:
        self.path = folder / 'page'
        self.write(msgspec.structs.replace(PAGE, **fields))
        self.loop = LinkLoop(path=self.path)

    def write(self, page: LinkPage) -> None:
        write_page(self.path, page)

    def poke(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as poking:
            poking.sendto(b'turn', (HERE, POKE_PORT))

    def run(self, running):
        """Run something to its end; a test that hangs fails."""
        return self.loop.run_until_complete(asyncio.wait_for(running, 20))


@pytest.fixture
def host_with(tmp_path):
    with contextlib.ExitStack() as opened:

        def made(**fields) -> Host:
            host = Host(tmp_path, **fields)
            opened.enter_context(contextlib.closing(host.loop))
            return host

        yield made


@pytest.fixture
def host(host_with):
    return host_with()


async def connected(loop: LinkLoop, ip: str):
    """Return both ends of a connection to an address."""
    far = Noted()
    server = await loop.create_server(lambda: far, ip, PORT)
    with contextlib.closing(server):
        transport, near = await loop.create_connection(Noted, ip, PORT)
        await far.made.wait()
    return transport, near, far


class TestConnections:
    """Connections to others and to the host itself."""

    # Guards against connections whose other end cannot tell the host, and
    # those that take no time.
    def test_elsewhere(self, host):
        transport, near, far = host.run(connected(host.loop, THERE))

        assert far.transport.get_extra_info('peername')[0] == HERE
        assert isinstance(transport, DelayedTransport)
        assert near.transport is transport

    # Guards against delays on the way to the own target or store.
    def test_at_home(self, host):
        transport, near, _ = host.run(connected(host.loop, HERE))

        assert not isinstance(transport, DelayedTransport)
        assert near.transport is transport

    # Guards against bytes or ends that are lost on a link.
    def test_passed_on(self, host):
        async def sent() -> tuple[bytes, bytes]:
            transport, near, far = await connected(host.loop, THERE)
            transport.write(b'question')
            await far.lost.wait()
            await near.lost.wait()
            return bytes(far.heard), bytes(near.heard)

        assert host.run(sent()) == (b'question', b'')

    # Guards against a link that takes the delay once, or nothing, to connect.
    def test_time_to_connect(self, host_with, monkeypatch):
        host = host_with(delays_s={THERE: 0.02})
        slept_s: list[float] = []

        async def note(delay_s: float) -> None:
            slept_s.append(delay_s)

        monkeypatch.setattr('tools.site_rig.link_loop.asyncio.sleep', note)

        host.run(connected(host.loop, THERE))

        assert slept_s == [0.04]

    # Guards against sockets that stay open when nobody listens.
    def test_nobody_there(self, host):
        with pytest.raises(ConnectionRefusedError):
            host.run(host.loop.create_connection(Noted, THERE, PORT))

    # Guards against a cut that refuses and connects all the same.
    def test_refused(self, host_with):
        host = host_with(refused_by=(THERE,))

        with pytest.raises(ConnectionRefusedError, match='refuses'):
            host.run(connected(host.loop, THERE))

    # Guards against a cut that answers for those behind it.
    def test_nobody_there_behind_a_cut(self, host_with):
        host = host_with(deaf_to=(THERE,))

        async def is_answered() -> bool:
            connecting = asyncio.ensure_future(
                host.loop.create_connection(Noted, THERE, PORT)
            )
            for _ in range(20):
                await asyncio.sleep(0)
            is_done = connecting.done()
            connecting.cancel()
            return is_done

        assert not host.run(is_answered())

    # Guards against a server that takes connections through a cut.
    def test_server_behind_a_cut(self, host_with):
        host = host_with(deaf_to=(CUT,))

        async def sources() -> list[str]:
            accepted: list[Noted] = []

            def note() -> Noted:
                accepted.append(Noted())
                return accepted[-1]

            server = await host.loop.create_server(note, HERE, PORT)
            with contextlib.closing(server), contextlib.ExitStack() as opened:
                for ip in (CUT, THERE):
                    caller = opened.enter_context(socket.socket())
                    caller.setblocking(False)
                    caller.bind((ip, 0))
                    caller.connect_ex((HERE, PORT))
                while not accepted:
                    await asyncio.sleep(0)
                await accepted[0].made.wait()
                return [
                    each.transport.get_extra_info('peername')[0]
                    for each in accepted
                ]

        assert host.run(sources()) == [THERE]


class TestPokes:
    """Pages that change while the process runs."""

    # Guards against a page that is read at the start only, and connections to
    # the own target or store that no strike ends.
    @pytest.mark.parametrize('ip', [THERE, HERE])
    def test_strike(self, host, ip):
        struck = msgspec.structs.replace(
            PAGE, strikes=(Strike(number=1, how='reset', share=1),)
        )

        async def reset() -> list[str]:
            _, near, far = await connected(host.loop, ip)
            host.write(struck)
            host.poke()
            await near.lost.wait()
            await far.lost.wait()
            return [type(each.error).__name__ for each in (near, far)]

        assert host.run(reset()) == [
            'ConnectionResetError',
            'ConnectionResetError',
        ]

    # Guards against a port that another start of the node cannot open.
    def test_opened_twice(self, host):
        with contextlib.closing(LinkLoop(path=host.path)) as other:
            assert not other.is_closed()


class Port(asyncio.DatagramProtocol):
    """The port of a program; notes what it hears."""

    def __init__(self) -> None:
        self.heard = asyncio.Queue()

    def datagram_received(self, sent: bytes, source: tuple[str, int]) -> None:
        self.heard.put_nowait((sent, source[0]))


class TestDatagrams:
    """The port for datagrams."""

    # Guards against a port whose datagrams are lost, or its cut not kept.
    def test_cut(self, host_with):
        host = host_with(deaf_to=(CUT,))

        async def first_heard() -> tuple[bytes, str]:
            transport, port = await host.loop.create_datagram_endpoint(
                Port, local_addr=(HERE, PORT)
            )
            for sender in (CUT, THERE):
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sent:
                    sent.bind((sender, 0))
                    sent.sendto(b'news', (HERE, PORT))
            first = await port.heard.get()
            transport.close()
            return first

        assert host.run(first_heard()) == (b'news', THERE)
