"""A listening socket whose end loses no connection."""

import asyncio
import logging
import socket
from asyncio.trsock import TransportSocket
from collections.abc import Callable, Iterator

from fescueknot.httpio.connection_limits import ConnectionLimits

_LOG = logging.getLogger('fescueknot.httpio')
_BACKLOG = 1024
# asyncio accepts as many in one turn of the event loop, and without a free
# descriptor fails and tries again as many times.
_ACCEPTED_PER_TURN = 32


class Listener:
    """Accepts connections at one address until it is ended.

    ``new_connection`` returns the protocol of a connection, ``report_error`` is
    called when one that was accepted can't be served.
    """

    def __init__(
        self,
        *,
        new_connection: Callable[[], asyncio.BaseProtocol],
        report_error: Callable[[BaseException], None],
        limits: ConnectionLimits,
    ) -> None:
        self._limits = limits
        self._new_connection = new_connection
        self._report_error = report_error
        self._server: asyncio.Server | None = None
        self._is_ended = False
        self._adopting: set[asyncio.Future] = set()

    @property
    def sockets(self) -> tuple[TransportSocket, ...]:
        """Return the listening sockets; none before the start or at the end."""
        return () if self._server is None else self._server.sockets

    @property
    def is_adopting(self) -> bool:
        """Return whether accepted connections are still to be registered."""
        return bool(self._adopting)

    async def start(self, host: str, port: int) -> None:
        """Start to accept connections."""
        self._server = await asyncio.get_running_loop().create_server(
            self._new_connection,
            host,
            port,
            backlog=_ACCEPTED_PER_TURN,
            start_serving=False,
        )
        for listening in self.sockets:
            self._limit_buffers(listening)
        await self._server.start_serving()
        for accepting in self.sockets:
            with accepting.dup() as duplicate:
                duplicate.listen(_BACKLOG)

    def end(self) -> None:
        """Accept no more; serve the connections that the kernel has accepted.

        The socket is closed a turn of the event loop later: asyncio registers
        what it has accepted in this turn only then, and would drop it.
        """
        if self._is_ended:
            return
        self._is_ended = True
        loop = asyncio.get_running_loop()
        for listening in self.sockets:
            loop.remove_reader(listening.fileno())
        loop.call_soon(self._close)

    def _limit_buffers(self, listening: TransportSocket) -> None:
        """Limit what the kernel holds; accepted connections inherit it."""
        sizes = {
            socket.SO_RCVBUF: self._limits.receive_bytes,
            socket.SO_SNDBUF: self._limits.send_bytes,
        }
        for option, size in sizes.items():
            if size:
                listening.setsockopt(socket.SOL_SOCKET, option, size)

    def _close(self) -> None:
        for listening in self.sockets:
            for accepted in _accepted(listening):
                self._adopt(accepted)
        if self._server is not None:
            self._server.close()

    def _adopt(self, accepted: socket.socket) -> None:
        """Serve a connection that asyncio has not accepted itself."""
        adopting = asyncio.ensure_future(
            asyncio.get_running_loop().connect_accepted_socket(
                self._new_connection, accepted
            )
        )
        self._adopting.add(adopting)
        adopting.add_done_callback(self._adopted)

    def _adopted(self, adopting: asyncio.Future) -> None:
        self._adopting.discard(adopting)
        if not adopting.cancelled() and adopting.exception() is not None:
            self._report_error(adopting.exception())


def _accepted(listening: TransportSocket) -> Iterator[socket.socket]:
    """Accept the connections that wait; at most as many as can wait.

    None if the process has no descriptor left: the socket is to be closed then
    too.
    """
    try:
        duplicate = listening.dup()
    except OSError as error:
        _LOG.warning('httpio: cannot accept the last connections: %r', error)
        return
    with duplicate:
        duplicate.setblocking(False)
        for _ in range(_BACKLOG):
            try:
                accepted, _ = duplicate.accept()
            except BlockingIOError:
                return
            except OSError as error:
                _LOG.warning('httpio: cannot accept a connection: %r', error)
                return
            yield accepted
