"""Where a target's answers go: bytes, their flow and the two ways to end."""

import asyncio
import socket
import struct

# A close that resets: linger for no time.
_RESET = struct.pack('ii', 1, 0)


class Outlet:
    """The sending side of a target's connection."""

    def __init__(self, *, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._flows = asyncio.Event()
        self._flows.set()

    @property
    def is_closed(self) -> bool:
        """Tell whether nothing more can be sent."""
        return self._transport.is_closing()

    def pause(self) -> None:
        """Note that the other side does not read."""
        self._flows.clear()

    def resume(self) -> None:
        """Note that the other side reads, or is gone."""
        self._flows.set()

    def write(self, sent: bytes) -> None:
        """Send bytes."""
        if not self._transport.is_closing():
            self._transport.write(sent)

    async def flow(self) -> None:
        """Wait until the other side has read most of what was sent."""
        await self._flows.wait()

    def close(self) -> None:
        """End the connection after what was sent."""
        self._transport.close()

    def reset(self) -> None:
        """Reset the connection."""
        own_socket = self._transport.get_extra_info('socket')
        if own_socket is not None and not self._transport.is_closing():
            own_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self._transport.abort()
