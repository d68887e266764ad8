"""Limits on the connections of one server, and room for another one."""

from collections.abc import Callable, Iterator
from typing import Protocol

import msgspec

# Connections that are examined to make room for another one, so that the cost
# of accepting does not depend on their number.
_MAX_EXAMINED = 32


class ConnectionLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of a server; 0 is no limit.

    The kernel holds at most about ``receive_bytes`` and ``send_bytes`` for each
    connection, and twice as much with its own overhead. Without a limit it
    enlarges them to megabytes, which count as memory of the host.
    """

    connections: int = 0
    receive_bytes: int = 0
    send_bytes: int = 0


class Closable(Protocol):
    """A connection that may be closed to make room."""

    def close_for_room(self) -> bool:
        """Close a connection without a request; return whether it was."""


class ConnectionTable:
    """The open connections of a server, those used longest ago first.

    ``on_closed`` is called for each one that is closed to make room.
    """

    def __init__(self, *, limit: int, on_closed: Callable[[], None]) -> None:
        self._limit = limit
        self._on_closed = on_closed
        self._connections: dict[Closable, None] = {}

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def __iter__(self) -> Iterator[Closable]:
        """Return the open connections; some may end meanwhile."""
        return iter(tuple(self._connections))

    def add(self, connection: Closable) -> None:
        """Add a new connection; close another one if there are too many.

        Closes the new one if all that were examined are in use.
        """
        if self._limit and len(self._connections) >= self._limit:
            self._make_room(connection)
        self._connections[connection] = None

    def mark_used(self, connection: Closable) -> None:
        """Record that a request of a connection has begun to run."""
        self._connections.pop(connection, None)
        self._connections[connection] = None

    def discard(self, connection: Closable) -> None:
        """Remove a connection that has ended."""
        self._connections.pop(connection, None)

    def _make_room(self, new: Closable) -> None:
        examined = min(_MAX_EXAMINED, len(self._connections))
        for _ in range(examined):
            oldest = next(iter(self._connections))
            self._connections.pop(oldest)
            if oldest.close_for_room():
                self._on_closed()
                return
            self._connections[oldest] = None
        new.close_for_room()
        self._on_closed()
