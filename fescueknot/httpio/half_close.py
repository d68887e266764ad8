"""Tells clients that have half-closed their connection from those that left."""

import asyncio
import logging
from collections.abc import Callable

from fescueknot.httpio.kernel_buffers import is_reset
from fescueknot.httpio.timer import Timer

_LOG = logging.getLogger('fescueknot.httpio')
# What all answers begin with, whatever the request.
_PROBE = b'HTTP/1.1 '
_LOOK_INTERVAL_S = 0.05
# The looks at which a byte is sent: after 0.05, 0.1, 0.2, 0.4 s and so on. The
# first comes after most answers of a node itself.
_PROBING_LOOKS = frozenset((1, 2, 4, 8, 14, 20, 28, 38, 50))


class HalfCloseProbe:
    """Watches a client whose input has ended while it is owed an answer.

    Sends the beginning of that answer byte by byte. A client that has closed
    its connection answers with a reset, and then ``on_left`` is called.
    """

    def __init__(self, *, on_left: Callable[[], None]) -> None:
        self._on_left = on_left
        self._timer = Timer()
        self._looks = 0
        self._sent_bytes = 0

    def begin(self, transport: asyncio.Transport) -> None:
        """Begin to watch; the transport stands before an answer."""
        self._look_later(transport)

    def stop(self) -> None:
        """Send and look no more."""
        self._timer.stop()

    def rest_of(self, head: bytes) -> bytes:
        """Return what is still to be sent of an answer's head.

        The next byte that is sent begins the answer behind it.
        """
        rest = head[self._sent_bytes :]
        self._sent_bytes = 0
        return rest

    def _look_later(self, transport: asyncio.Transport) -> None:
        self._timer.set(_LOOK_INTERVAL_S, lambda: self._look(transport))

    def _look(self, transport: asyncio.Transport) -> None:
        if transport.is_closing():
            return
        self._looks += 1
        # What waits here to be sent is a probe too.
        if self._looks in _PROBING_LOOKS and not is_reset(transport):
            self._send_byte(transport)
        if is_reset(transport):
            self._on_left()
        else:
            self._look_later(transport)

    def _send_byte(self, transport: asyncio.Transport) -> None:
        byte = _PROBE[self._sent_bytes : self._sent_bytes + 1]
        if byte and not transport.get_write_buffer_size():
            self._sent_bytes += 1
            transport.write(byte)


def end_output(transport: asyncio.Transport) -> bool:
    """Half-close an open connection; return whether that was possible."""
    if transport.is_closing():
        return False
    try:
        transport.write_eof()
    except OSError as error:
        _LOG.debug('httpio: cannot half-close the connection: %r', error)
        transport.abort()
    return not transport.is_closing()
