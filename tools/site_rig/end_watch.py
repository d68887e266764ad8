"""Notes when a connection ends that nobody reads for a while."""

import asyncio
import socket
import time

_POLL_S = 0.01
# States of the kernel in which the other side has sent its end: 7 is closed,
# 8 waits for this side to close.
_ENDED = frozenset((7, 8))


class EndWatch:
    """Pauses reading; the kernel tells when the end has come meanwhile.

    ``seen_s`` is 0 as long as none was seen.
    """

    def __init__(self) -> None:
        self.seen_s = float(0)
        self._until_s = float(0)
        self._is_paused = False

    def pause(self, transport: asyncio.Transport, pause_s: float) -> None:
        """Read nothing for a while, or for longer than was said before."""
        self._until_s = time.monotonic() + pause_s
        if not self._is_paused and not transport.is_closing():
            self._is_paused = True
            transport.pause_reading()
            self._look(transport)

    def _look(self, transport: asyncio.Transport) -> None:
        now_s = time.monotonic()
        if not self.seen_s and _is_ended(transport):
            self.seen_s = now_s
        if now_s >= self._until_s or transport.is_closing():
            self._is_paused = False
            transport.resume_reading()
            return
        loop = asyncio.get_running_loop()
        loop.call_later(_POLL_S, self._look, transport)


def _is_ended(transport: asyncio.Transport) -> bool:
    own_socket = transport.get_extra_info('socket')
    if own_socket.fileno() < 0:
        return True
    state = own_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    return state[0] in _ENDED
