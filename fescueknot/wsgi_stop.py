"""Shutdown of a waitress server whose threads may still wake its loop."""

import threading

from waitress import wasyncore
from waitress.server import BaseWSGIServer

_STOP_TIMEOUT_S = 2
_POLL_INTERVAL_S = 0.02


class ServerStop:
    """Closes the sockets of a server, the trigger of its loop last.

    Any thread of the server may pull the trigger until all threads have
    ended. If the trigger were closed earlier, pulling it would fail or write
    a byte to a file that has reused its descriptor.

    Requests that were read are answered first, and the answers sent, for at
    most ``max_wait_s``.
    """

    def __init__(
        self, *, server: BaseWSGIServer, sockets: dict, max_wait_s: float = 0
    ) -> None:
        self._server = server
        self._sockets = sockets
        self._max_polls = int(max_wait_s / _POLL_INTERVAL_S)
        self._is_idle = threading.Event()

    def run(self, thread: threading.Thread | None) -> None:
        """Close all connections and end the threads; ``thread`` is the loop."""
        self._finish_answers()
        self._server.trigger.pull_trigger(self._close_connections)
        if thread is not None:
            thread.join(_STOP_TIMEOUT_S)
        self._server.task_dispatcher.shutdown(timeout=_STOP_TIMEOUT_S)
        self._server.trigger.close()

    def _finish_answers(self) -> None:
        for _ in range(self._max_polls):
            self._server.trigger.pull_trigger(self._check_idle)
            if self._is_idle.wait(_POLL_INTERVAL_S):
                return

    def _check_idle(self) -> None:
        """Note whether no connection has a request or a part of an answer."""
        busy = [
            channel
            for channel in self._channels().values()
            if channel.requests or channel.total_outbufs_len
        ]
        if not busy:
            self._is_idle.set()

    def _channels(self) -> dict:
        """Return the connections by descriptor."""
        excluded = (self._server, self._server.trigger)
        return {
            descriptor: channel
            for descriptor, channel in self._sockets.items()
            if channel not in excluded
        }

    def _close_connections(self) -> None:
        """Close all sockets but the trigger, so that the loop ends."""
        channels = self._channels()
        self._sockets.clear()
        wasyncore.close_all(channels)
        # The close() of the server class would also close the trigger.
        wasyncore.dispatcher.close(self._server)
