"""Detection of dead connections to a peer that is alive.

A connection that does not answer in time is dark. If another connection to
the same peer has answered since, the peer is alive and the network path of the
dark connection is broken. Connections of the pool that have not answered since
may be broken too: they are suspected, and are to be probed before they carry a
request.
"""

import enum

import msgspec


class ConnectionState(enum.StrEnum):
    """Whether an open connection may carry requests.

    A suspected connection must be probed first, a dark one is not used.
    """

    TRUSTED = 'trusted'
    SUSPECTED = 'suspected'
    DARK = 'dark'


class _Connection(msgspec.Struct, frozen=True, kw_only=True):
    """An open connection; ``answered_s`` is when it last answered."""

    opened_s: float
    answered_s: float
    state: ConnectionState = ConnectionState.TRUSTED


class ConnectionSuspicion:
    """The states of the connections of one pool to one peer.

    A connection that was idle for more than ``idle_trust_s`` is suspected.
    """

    def __init__(self, *, idle_trust_s: float = 30) -> None:
        self._idle_trust_s = idle_trust_s
        self._connections: dict[int, _Connection] = {}

    def opened(self, connection: int, now_s: float) -> None:
        """Record a new connection; opening it counts as an answer."""
        self._connections[connection] = _Connection(
            opened_s=now_s, answered_s=now_s
        )

    def closed(self, connection: int) -> None:
        """Remove a connection."""
        self._connections.pop(connection, None)

    def answered(self, connection: int, now_s: float) -> None:
        """Trust a connection that answered a request or a probe."""
        record = self._connections.get(connection)
        if record is not None:
            self._connections[connection] = msgspec.structs.replace(
                record, answered_s=now_s, state=ConnectionState.TRUSTED
            )

    def went_dark(self, connection: int, sent_s: float) -> tuple[int, ...]:
        """Mark a connection that did not answer what was sent at ``sent_s``.

        Returns the other connections of the pool that have not answered since
        ``sent_s``; they are suspected now.
        """
        suspected = []
        for connection_id, record in self._connections.items():
            if connection_id == connection:
                self._mark(connection_id, ConnectionState.DARK)
            elif record.answered_s < sent_s:
                self._mark(connection_id, ConnectionState.SUSPECTED)
                suspected.append(connection_id)
        return tuple(suspected)

    def peer_lives(self, sent_s: float) -> bool:
        """Return whether any connection has answered after ``sent_s``."""
        return any(
            record.answered_s > sent_s for record in self._connections.values()
        )

    def state(self, connection: int, now_s: float) -> ConnectionState:
        """Return the state of a connection; an unknown connection is dark."""
        record = self._connections.get(connection)
        if record is None:
            return ConnectionState.DARK
        idle_s = now_s - record.answered_s
        trusted = record.state is ConnectionState.TRUSTED
        if trusted and idle_s > self._idle_trust_s:
            return ConnectionState.SUSPECTED
        return record.state

    def _mark(self, connection: int, state: ConnectionState) -> None:
        self._connections[connection] = msgspec.structs.replace(
            self._connections[connection], state=state
        )
