"""Kept-alive HTTP connections of a stand-in, one set for each thread."""

import threading
from collections.abc import Mapping
from http import client as http_client

import msgspec

from tools.standin.errors import LostError, NotConnectedError


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """A request to send."""

    address: str
    method: str
    path: str
    headers: dict[str, str]
    timeout_s: float
    body: bytes = b''


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class KeptConnections:
    """Sends orders over connections that stay open."""

    def __init__(self) -> None:
        self._local = threading.local()

    def send(self, order: Order) -> Reply:
        """Return the whole answer.

        Raise :class:`NotConnectedError` when nothing was sent, and
        :class:`LostError` when no whole answer came.
        """
        connection = self._connection(order)
        try:
            return _exchange(connection, order)
        except ConnectionRefusedError as refused:
            raise NotConnectedError from refused
        except (OSError, http_client.HTTPException) as error:
            connection.close()
            raise LostError from error

    def _connection(self, order: Order) -> http_client.HTTPConnection:
        kept = self._local.__dict__.setdefault('connections', {})
        connection = kept.get(order.address)
        if connection is None:
            connection = http_client.HTTPConnection(order.address)
            kept[order.address] = connection
        connection.timeout = order.timeout_s
        if connection.sock is not None:
            connection.sock.settimeout(order.timeout_s)
        return connection


def _exchange(connection: http_client.HTTPConnection, order: Order) -> Reply:
    connection.request(
        order.method, order.path, body=order.body, headers=order.headers
    )
    response = connection.getresponse()
    return Reply(
        status=response.status, headers=response.headers, body=response.read()
    )
