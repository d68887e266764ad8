"""What the kernel holds of connections, in both directions."""

import asyncio
import contextlib
import fcntl
import functools
import logging
import os
import select
import socket
import sys
import termios

_LOG = logging.getLogger('fescueknot.httpio')
_POLL_NOW_MS = 0
# Errors and the end of both directions are reported all the same.
_NO_EVENTS = 0
_COUNT = bytes(4)
_READ_BYTES = 262_144
# More than a kernel holds for one connection.
_MAX_READS = 32


def has_input(transport: asyncio.BaseTransport) -> bool:
    """Return whether bytes, or the end of input, wait to be read.

    False without a socket, as once the transport has closed.
    """
    sock = transport.get_extra_info('socket')
    return sock is not None and is_readable(sock)


def is_readable(
    sock: socket.socket | asyncio.trsock.TransportSocket,
) -> bool:
    """Return whether a socket has input or a connection to accept."""
    descriptor = sock.fileno()
    if descriptor < 0:
        return False
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(_POLL_NOW_MS))


def is_reset(transport: asyncio.BaseTransport) -> bool:
    """Return whether the other side has reset the connection.

    A transport does not notice by itself once its input has ended.
    """
    sock = transport.get_extra_info('socket')
    if sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), _NO_EVENTS)
    return bool(poll.poll(_POLL_NOW_MS))


def rest_of_input(transport: asyncio.BaseTransport) -> bytes:
    """Read what has arrived on a connection whose transport has failed.

    Empty without a socket.
    """
    sock = transport.get_extra_info('socket')
    pieces = []
    if sock is None or sock.fileno() < 0:
        return b''
    with contextlib.suppress(OSError):
        for _ in range(_MAX_READS):
            pieces.append(os.read(sock.fileno(), _READ_BYTES))
    return b''.join(pieces)


def undelivered_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how many sent bytes the other side has not acknowledged.

    They are lost if the connection is reset. 0 without a socket, or if the
    kernel does not tell.
    """
    sock = transport.get_extra_info('socket')
    if sock is None or sock.fileno() < 0:
        return 0
    try:
        count = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, _COUNT)
    except OSError as error:
        _log_unknown(error.errno)
        return 0
    return int.from_bytes(count, sys.byteorder)


def unread_bytes(transport: asyncio.Transport) -> int:
    """Return how many bytes wait here or there for the client to read."""
    return transport.get_write_buffer_size() + undelivered_bytes(transport)


@functools.cache
def _log_unknown(errno: int) -> None:
    """Log each kind of error once."""
    _LOG.debug('httpio: cannot read the size of send queues: errno %d', errno)
