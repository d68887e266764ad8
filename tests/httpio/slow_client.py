"""A connection whose other side has not read what was sent to it."""

import contextlib
import socket

from fescueknot.httpio.kernel_buffers import undelivered_bytes
from tests.httpio.fake_transport import FakeTransport

_RECEIVE_BUFFER_BYTES = 4096
_PIECE_BYTES = 65_536
# More than the kernel takes.
_SENT_BYTES = 64_000_000


class KernelTransport(FakeTransport):
    """Has handed over everything; its socket has bytes for the client."""

    def __init__(self, sock):
        super().__init__()
        self._sock = sock

    def get_extra_info(self, name, default=None):
        if name == 'socket':
            return self._sock
        return super().get_extra_info(name, default)


class SlowClient:
    """A client on loopback; ``transport`` is that of the other side."""

    def __init__(self, resources):
        listener = resources.enter_context(socket.socket())
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        self._sock = resources.enter_context(socket.socket())
        self._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        self._sock.connect(listener.getsockname())
        served, _ = listener.accept()
        self.served = resources.enter_context(served)
        self.served.setblocking(False)
        self.transport = KernelTransport(self.served)

    def fill(self):
        """Send until the kernel takes no more."""
        with contextlib.suppress(BlockingIOError):
            self.served.sendall(bytes(_SENT_BYTES))

    def read_all(self):
        """Read until nothing is left to deliver."""
        while undelivered_bytes(self.transport):
            self._sock.recv(_PIECE_BYTES)
