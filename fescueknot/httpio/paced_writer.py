"""Writes a long message as fast as its receiver reads it."""

import asyncio
import contextlib
from collections.abc import Iterator

from fescueknot.httpio.messages import Body


class PacedWriter:
    """Holds pieces back while the transport is full."""

    def __init__(self) -> None:
        self.is_done = True
        self._may_write = asyncio.Event()
        self._may_write.set()

    def pause(self) -> None:
        """Hold back what is not written yet."""
        self._may_write.clear()

    def resume(self) -> None:
        """Write on."""
        self._may_write.set()

    @contextlib.contextmanager
    def writing(
        self, transport: asyncio.Transport, pieces: Iterator[Body | memoryview]
    ) -> Iterator[None]:
        """Write in the background, at most until the block ends."""
        task = asyncio.get_running_loop().create_task(
            self.write(transport, pieces)
        )
        try:
            yield
        finally:
            task.cancel()

    async def write(
        self, transport: asyncio.Transport, pieces: Iterator[Body | memoryview]
    ) -> None:
        """Write all pieces; ``is_done`` is false until then.

        What is left is dropped when the connection ends: asyncio logs each
        later write.
        """
        self.is_done = False
        piece = next(pieces, None)
        while piece is not None:
            await self._may_write.wait()
            if transport.is_closing():
                return
            transport.write(piece)
            piece = next(pieces, None)
        self.is_done = True
