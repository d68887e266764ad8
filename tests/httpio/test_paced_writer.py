"""Long messages whose connection ends on the way."""

import asyncio

from fescueknot.httpio.paced_writer import PacedWriter
from tests.httpio.fake_transport import FakeTransport
from tests.relay.simulated_loop import run_simulated

_PIECES = (b'1', b'2', b'3')


async def _write(transport, *, ends):
    """Return the writer of a message that waits after its first piece."""
    writer = PacedWriter()
    writer.pause()
    writing = asyncio.ensure_future(writer.write(transport, iter(_PIECES)))
    await asyncio.sleep(0)
    if ends:
        transport.abort()
    writer.resume()
    await writing
    return writer


class TestPacedWriter:
    """What is written once the receiver reads on, or is gone."""

    def test_all_pieces_are_written(self):
        transport = FakeTransport()
        writer = run_simulated(lambda: _write(transport, ends=False))
        assert (bytes(transport.written), writer.is_done) == (b'123', True)

    def test_nothing_is_written_after_the_end_of_the_connection(self):
        # Guards against a line on standard error for each piece of a long
        # request that its server has reset.
        transport = FakeTransport()
        writer = run_simulated(lambda: _write(transport, ends=True))
        assert (bytes(transport.written), writer.is_done) == (b'', False)
