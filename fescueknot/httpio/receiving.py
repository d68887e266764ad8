"""Receives the bytes of connections into one buffer a thread."""

import abc
import asyncio
import threading

# What the event loop reads at once.
_BUFFER_BYTES = 262_144


class _ReceiveBuffer(threading.local):
    """The buffer of a thread, whose event loop empties it after each read."""

    def __init__(self) -> None:
        self.view = memoryview(bytearray(_BUFFER_BYTES))


_BUFFER = _ReceiveBuffer()


class ReceivingProtocol(asyncio.BufferedProtocol, abc.ABC):
    """Gets what arrives as bytes of its own.

    With ``asyncio.Protocol`` the event loop allocates ``_BUFFER_BYTES`` for
    each read. The C library maps and unmaps memory for that: three system
    calls and a page fault.
    """

    @abc.abstractmethod
    def data_received(self, received: bytes) -> None:
        """Take what has arrived."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into."""
        return _BUFFER.view

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on what was read into the buffer."""
        self.data_received(bytes(_BUFFER.view[:nbytes]))
