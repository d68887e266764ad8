"""A loopback network that no other run uses."""

import os
import socket

from fescueknot.errors import FescueknotError

# Second part of the addresses, so that runs side by side do not meet.
_FIRST = 64
_COUNT = 128
_PORT = 8399


class NoNetworkError(FescueknotError):
    """All networks are in use."""


def claim_network() -> tuple[str, socket.socket]:
    """Return the first parts of free addresses, and what holds them.

    They are free again when the socket is closed.
    """
    for offset in range(_COUNT):
        number = _FIRST + (os.getpid() + offset) % _COUNT
        claim = _claim(f'127.{number}.0.1')
        if claim is not None:
            return f'127.{number}.1', claim
    raise NoNetworkError('all networks are in use')


def _claim(address: str) -> socket.socket | None:
    claim = socket.socket()
    try:
        claim.bind((address, _PORT))
    except OSError:
        claim.close()
        return None
    claim.listen()
    return claim
