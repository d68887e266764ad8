"""Shutdown of a waitress server whose threads may still wake its loop."""

import threading

from waitress import wasyncore
from waitress.server import BaseWSGIServer

_STOP_TIMEOUT_S = 2


class ServerStop:
    """Closes the sockets of a server, the trigger of its loop last.

    Any thread of the server may pull the trigger until all threads have
    ended. If the trigger were closed earlier, pulling it would fail or write
    a byte to a file that has reused its descriptor.
    """

    def __init__(self, *, server: BaseWSGIServer, sockets: dict) -> None:
        self._server = server
        self._sockets = sockets

    def run(self, thread: threading.Thread | None) -> None:
        """Close all connections and end the threads; ``thread`` is the loop."""
        self._server.trigger.pull_trigger(self._close_connections)
        if thread is not None:
            thread.join(_STOP_TIMEOUT_S)
        self._server.task_dispatcher.shutdown(timeout=_STOP_TIMEOUT_S)
        self._server.trigger.close()

    def _close_connections(self) -> None:
        """Close all sockets but the trigger, so that the loop ends."""
        excluded = (self._server, self._server.trigger)
        channels = {
            descriptor: channel
            for descriptor, channel in self._sockets.items()
            if channel not in excluded
        }
        self._sockets.clear()
        wasyncore.close_all(channels)
        # The close() of the server class would also close the trigger.
        wasyncore.dispatcher.close(self._server)
