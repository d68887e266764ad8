"""The open connections of a node's process to others, and what befalls them."""

import ctypes
import random
import socket
import struct
import weakref
from asyncio.trsock import TransportSocket

from tools.site_rig.link_pages import LinkPage, Strike
from tools.site_rig.packet_filter import SILENCE, filter_of

_BYTES_PER_MBIT = 125_000
_NO_RATE = -1
_SO_MAX_PACING_RATE = 47
_LIBC = ctypes.CDLL(None, use_errno=True)
# An address of no family: the socket resets its connection.
_NOBODY = struct.pack('HH12x', socket.AF_UNSPEC, 0)


class NodeLinks:
    """Holds the sockets of a process to what the page of its host says."""

    def __init__(self, *, page: LinkPage) -> None:
        self.page = page
        self._filter = filter_of(page)
        self._struck = max((each.number for each in page.strikes), default=0)
        self._listening: list[TransportSocket] = []
        self._connected: weakref.WeakSet[socket.socket] = weakref.WeakSet()
        self._paced: weakref.WeakSet[socket.socket] = weakref.WeakSet()
        self._silenced: weakref.WeakSet[socket.socket] = weakref.WeakSet()
        self._strikes = {'reset': reset, 'silence': self._silence}

    def guard(self, sock: TransportSocket) -> None:
        """Filter a socket that hears many hosts."""
        self._listening = [
            other for other in self._listening if other.fileno() >= 0
        ]
        self._listening.append(sock)
        self._filter.put_on(sock)

    def connect(self, sock: socket.socket) -> None:
        """Filter a connection, slow it down, and let strikes end it."""
        self._connected.add(sock)
        self._hold(sock)

    def turn(self, page: LinkPage) -> None:
        """Hold all sockets to another page."""
        self.page = page
        self._filter = filter_of(page)
        for listening in self._listening:
            if listening.fileno() >= 0:
                self._filter.put_on(listening)
        for connected in self._open():
            self._hold(connected)
        for strike in page.strikes:
            if strike.number > self._struck:
                self._struck = strike.number
                self._strike(strike)

    def _hold(self, sock: socket.socket) -> None:
        if sock not in self._silenced:
            self._filter.put_on(sock)
        rate_mbps = self.page.rates_mbps.get(other_end(sock))
        if rate_mbps:
            self._paced.add(sock)
            set_rate(sock, int(rate_mbps * _BYTES_PER_MBIT))
        elif sock in self._paced:
            self._paced.discard(sock)
            set_rate(sock, _NO_RATE)

    def _strike(self, strike: Strike) -> None:
        meant = strike.only or (self.page.ip, *self.page.delays_s)
        for sock in self._open():
            if other_end(sock) in meant and is_struck(sock, strike):
                self._strikes[strike.how](sock)

    def _silence(self, sock: socket.socket) -> None:
        self._silenced.add(sock)
        SILENCE.put_on(sock)

    def _open(self) -> list[socket.socket]:
        return [sock for sock in self._connected if sock.fileno() >= 0]


def other_end(sock: socket.socket) -> str:
    """Return the address of the other side, '' if there is none."""
    try:
        return sock.getpeername()[0]
    except OSError:
        return ''


def is_struck(sock: socket.socket, strike: Strike) -> bool:
    """Tell whether a connection is one of those; both ends say the same."""
    try:
        ends = sorted((sock.getsockname(), sock.getpeername()))
    except OSError:
        return False
    drawn = random.Random(f'{strike.number} {ends}').random()  # noqa: S311
    return drawn < strike.share


def set_rate(sock: socket.socket, bytes_per_s: int) -> None:
    """Let the kernel send no faster."""
    sock.setsockopt(socket.SOL_SOCKET, _SO_MAX_PACING_RATE, bytes_per_s)


def reset(sock: socket.socket) -> None:
    """Reset a connection; both ends read that."""
    _LIBC.connect(sock.fileno(), _NOBODY, len(_NOBODY))
