"""A loopback server that sends given bytes, for tests of connections."""

import asyncio

from fescueknot.identity import Address


class RawServer:
    """Answers each request head with the next item of ``responses``.

    ``None`` closes the connection, ``RESET`` resets it. After the last item,
    the server closes the connection if ``closes``, else it reads without
    answering.
    """

    RESET = b'reset'

    def __init__(self, *responses, closes=False):
        self._closes = closes
        self._responses = list(responses)
        self.heads = []
        self.connections_accepted = 0
        self.closed = asyncio.Event()
        self.address = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = Address(host='127.0.0.1', port=port)
        return self

    async def _serve(self, reader, writer):
        self.connections_accepted += 1
        is_open = True
        try:
            while is_open:
                is_open = await self._answer_request(reader, writer)
        except asyncio.IncompleteReadError:
            self.closed.set()
        self.closed.set()
        writer.close()

    async def _answer_request(self, reader, writer):
        """Answer a request; return whether the connection stays open."""
        self.heads.append(await reader.readuntil(b'\r\n\r\n'))
        if not self._responses:
            await reader.read()
            return False
        response = self._responses.pop(0)
        if response == self.RESET:
            writer.transport.abort()
        elif response is not None:
            writer.write(response)
        if self._closes and not self._responses:
            return False
        return response not in {None, self.RESET}
