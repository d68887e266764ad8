"""What the operating system holds of connections: bytes not yet read."""

import asyncio
import select
import socket

_POLL_NOW_MS = 0


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
