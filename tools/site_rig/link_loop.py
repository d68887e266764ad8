"""An event loop whose connections to other hosts pass over links."""

import asyncio
import pathlib
import socket

from tools.site_rig.link_delay import DelayedDatagrams, DelayedProtocol
from tools.site_rig.link_pages import POKE_PORT, LinkPage, read_page
from tools.site_rig.node_links import NodeLinks

# Choose the port of a connection when its other end is known.
_IP_BIND_ADDRESS_NO_PORT = 24
_POKE_BYTES = 64


class LinkLoop(asyncio.SelectorEventLoop):
    """Delays, drops and ends what passes to and from other hosts.

    The page of the host is read again whenever a datagram comes to its port.
    """

    def __init__(self, *, path: pathlib.Path) -> None:
        super().__init__()
        self._path = path
        self._links = NodeLinks(page=read_page(path))
        self._pokes = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._pokes.setblocking(False)
        self._pokes.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._pokes.bind((self._page.ip, POKE_PORT))
        self.add_reader(self._pokes.fileno(), self._turn)

    def close(self) -> None:
        """Close the loop and its port."""
        if not self.is_closed():
            self.remove_reader(self._pokes.fileno())
        self._pokes.close()
        super().close()

    async def create_connection(
        self, protocol_factory, host=None, port=None, **options
    ):
        """Connect; to another host from the own address, over a link."""
        if host is None or not self._page.is_elsewhere(host):
            return await super().create_connection(
                protocol_factory, host, port, **options
            )
        inner = protocol_factory()
        delay_s = self._page.delays_s[host]
        sock = await self._connect(host, port, delay_s)
        delayed = DelayedProtocol(inner=inner, delay_s=delay_s)
        await super().create_connection(lambda: delayed, sock=sock, **options)
        return delayed.transport, inner

    async def create_server(self, protocol_factory, *places, **options):
        """Listen; what comes from other hosts passes over links."""
        server = await super().create_server(
            protocol_factory, *places, **options
        )
        for listening in server.sockets:
            self._links.guard(listening)
        return server

    async def create_datagram_endpoint(
        self, protocol_factory, *places, **options
    ):
        """Open a port; datagrams of other hosts pass over links."""
        inner = protocol_factory()
        delayed = DelayedDatagrams(inner=inner, delays_s=self._page.delays_s)
        transport, _ = await super().create_datagram_endpoint(
            lambda: delayed, *places, **options
        )
        self._links.guard(transport.get_extra_info('socket'))
        return transport, inner

    def _make_socket_transport(self, sock, *parts, **options):
        """Hold each connection, also those that were accepted."""
        self._links.connect(sock)
        return super()._make_socket_transport(sock, *parts, **options)

    async def _connect(
        self, host: str, port: int, delay_s: float
    ) -> socket.socket:
        sock = socket.socket()
        try:
            await self._reach(sock, host, port)
            await asyncio.sleep(2 * delay_s)
        except BaseException:
            sock.close()
            raise
        return sock

    async def _reach(self, sock: socket.socket, host: str, port: int) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_IP, _IP_BIND_ADDRESS_NO_PORT, 1)
        sock.bind((self._page.ip, 0))
        self._links.connect(sock)
        if host in self._page.refused_by:
            raise ConnectionRefusedError(f'the link to {host} refuses')
        await self.sock_connect(sock, (host, port))

    @property
    def _page(self) -> LinkPage:
        return self._links.page

    def _turn(self) -> None:
        self._pokes.recv(_POKE_BYTES)
        self._links.turn(read_page(self._path))


class LinkLoopPolicy(asyncio.DefaultEventLoopPolicy):
    """Makes event loops with the links of one page."""

    def __init__(self, *, path: pathlib.Path) -> None:
        super().__init__()
        self._path = path

    def new_event_loop(self) -> LinkLoop:
        """Return a new loop."""
        return LinkLoop(path=self._path)


def install(path: str) -> None:
    """Let the loops of this process have the links of a page."""
    policy = LinkLoopPolicy(path=pathlib.Path(path))
    asyncio.set_event_loop_policy(policy)
