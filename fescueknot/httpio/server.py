"""A listener and its connections."""

import asyncio
from collections.abc import Callable

from fescueknot.httpio.connection import Owner, ServerConnection
from fescueknot.httpio.handler import Handler
from fescueknot.httpio.pipeline import Answer

_BACKLOG = 1024


class Server(Owner):
    """Listens at one address.

    ``report`` is told the errors of handlers.
    """

    def __init__(
        self, *, handler: Handler, report_error: Callable[[BaseException], None]
    ) -> None:
        self._handler = handler
        self._report = report_error
        self._connections: set[ServerConnection] = set()
        self._working: set[Answer] = set()
        self._listener: asyncio.Server | None = None

    @property
    def requests_in_progress(self) -> int:
        """Return how many requests are in progress."""
        return len(self._working)

    @property
    def connections(self) -> int:
        """Return how many connections are open."""
        return len(self._connections)

    @property
    def port(self) -> int:
        """Return the port that is listened at."""
        return self._listener.sockets[0].getsockname()[1]

    async def listen(self, host: str, port: int) -> None:
        """Accept connections at an address."""
        self._listener = await asyncio.get_running_loop().create_server(
            self._connection, host, port, backlog=_BACKLOG
        )

    def drain(self) -> None:
        """Close each connection after the answer that it waits for."""
        self.leaving = True

    def stop_listening(self) -> None:
        """Accept no more connections and end the idle ones."""
        self.leaving = True
        if self._listener is not None:
            self._listener.close()
        for connection in tuple(self._connections):
            connection.close_when_idle()

    def opened(self, connection: ServerConnection) -> None:
        """Take note of a new connection."""
        self._connections.add(connection)

    def closed(self, connection: ServerConnection) -> None:
        """Take note of the end of a connection."""
        self._connections.discard(connection)

    def started(self, answer: Answer) -> None:
        """Take note of a request that is worked on."""
        self._working.add(answer)

    def ended(self, answer: Answer) -> None:
        """Take note of the end of a request, with its error if it failed."""
        self._working.discard(answer)
        if not answer.cancelled() and answer.exception() is not None:
            self._report(answer.exception())

    def _connection(self) -> ServerConnection:
        return ServerConnection(handler=self._handler, owner=self)
