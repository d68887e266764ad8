"""Fakes and builders for the tests of the node."""

import random
import socket
import threading

from fescueknot.clock import ManualClock
from fescueknot.identity import Address, InstanceId
from fescueknot.node.messages import Header, HttpRequest
from fescueknot.node.runtime import Runtime


def runtime(*, clock: ManualClock | None = None) -> Runtime:
    """Return a runtime with a clock that only the test advances."""
    return Runtime(
        instance=InstanceId(name='ledger-1', incarnation=1),
        service='ledger',
        clock=clock or ManualClock(now_s=100),
        rng=random.Random(1),
    )


def request(**named: str) -> HttpRequest:
    """Return a GET request with headers named like Python arguments."""
    headers = tuple(
        Header(name=name.replace('_', '-'), text=text)
        for name, text in named.items()
    )
    return HttpRequest(method='GET', path='/hours/7', headers=headers)


class ScriptedServer:
    """Answers each connection with the next bytes of a script.

    ``None`` in the script closes the connection after the request, without an
    answer.
    """

    def __init__(self, *script: bytes | None) -> None:
        self._script = script
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = Address(
            host='127.0.0.1', port=self._listener.getsockname()[1]
        )
        self.connections: list[socket.socket] = []
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Close the listener and all connections."""
        self._listener.close()
        for connection in self.connections:
            connection.close()

    def _serve(self) -> None:
        for sent in self._script:
            connection, _ = self._listener.accept()
            self.connections.append(connection)
            connection.recv(65536)
            if sent is None:
                connection.close()
            else:
                connection.sendall(sent)
