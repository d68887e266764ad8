"""A loopback proxy that harms the connections it carries."""

import asyncio
import enum

from fescueknot.identity import Address

_CHUNK_BYTES = 65_536
_DELAY_S = 0.3
_BEGIN = b'HTTP/1.1 200 OK\r\nX: '
_PIECE = bytes(b'x' * 65_536)


class Mode(enum.Enum):
    """What happens to bytes.

    ``ONE_WAY`` drops answers only, ``ENDLESS`` puts bytes without end in place
    of an answer, until the other side closes.
    """

    CLEAR = 'clear'
    DELAY = 'delay'
    ONE_WAY = 'one way'
    SILENT = 'silent'
    REFUSE = 'refuse'
    ENDLESS = 'endless'


class Proxy:
    """Carries connections to one address."""

    def __init__(self, *, target: Address) -> None:
        self.mode = Mode.CLEAR
        self.address = target
        self._target = target
        self._server: asyncio.Server | None = None
        self._pairs: set[tuple[asyncio.StreamWriter, ...]] = set()

    async def start(self) -> Address:
        """Listen on a free port and return the address."""
        await self._listen(0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = Address(host='127.0.0.1', port=port)
        return self.address

    async def crash(self, down_s: float) -> None:
        """Reset all connections and refuse new ones for a while."""
        self._server.close()
        self.reset()
        await asyncio.sleep(down_s)
        await self._listen(self.address.port)

    def reset(self) -> None:
        """Reset all connections."""
        for pair in tuple(self._pairs):
            for writer in pair:
                writer.transport.abort()

    def close(self) -> None:
        """Stop listening and reset all connections.

        Writers that are left open raise errors when they are collected, later
        and wherever that happens.
        """
        self._server.close()
        self.reset()

    async def _listen(self, port: int) -> None:
        self._server = await asyncio.start_server(
            self._carry, '127.0.0.1', port
        )

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is Mode.REFUSE:
            writer.transport.abort()
            return
        try:
            there = await asyncio.open_connection(
                self._target.host, self._target.port
            )
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, there[1])
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._pump(reader, there[1], answers=False),
                self._pump(there[0], writer, answers=True),
            )
        except asyncio.CancelledError:
            # The soak ends; asyncio would report a cancelled handler.
            writer.transport.abort()
        finally:
            self._pairs.discard(pair)
            for end in pair:
                end.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answers: bool,
    ) -> None:
        try:
            while received := await reader.read(_CHUNK_BYTES):
                await self._pass_on(received, writer, answers=answers)
            if self.mode is Mode.CLEAR and writer.can_write_eof():
                writer.write_eof()
        except OSError:
            writer.transport.abort()

    async def _pass_on(
        self, received: bytes, writer: asyncio.StreamWriter, *, answers: bool
    ) -> None:
        if answers and self.mode is Mode.ENDLESS:
            await self._send_on_and_on(writer)
        elif await self._passes(answers):
            writer.write(received)

    async def _send_on_and_on(self, writer: asyncio.StreamWriter) -> None:
        writer.write(_BEGIN)
        while self.mode is Mode.ENDLESS:
            writer.write(_PIECE)
            await writer.drain()
        writer.transport.abort()

    async def _passes(self, answers: bool) -> bool:
        if self.mode is Mode.DELAY:
            await asyncio.sleep(_DELAY_S)
        if self.mode is Mode.SILENT:
            return False
        return not (answers and self.mode is Mode.ONE_WAY)
