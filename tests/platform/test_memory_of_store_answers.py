"""Tests the memory of a store's client whose store answers without end."""

import asyncio
import tracemalloc

import msgspec
import pytest

from fescueknot.identity import Address
from fescueknot.objectapi.errors import Unavailable
from fescueknot.objectapi.store_era import StoreEra
from fescueknot.platform.objects import PlatformStore

_READS = 8
_MAX_PAGES = 60
_PEAK_BYTES = 60_000_000
_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
_CHUNK = b'10000\r\n' + bytes(65_536) + b'\r\n'


async def _serve(reader, writer):
    """Send just less than is refused, so that it is all held; then wait."""
    await reader.readuntil(b'\r\n\r\n')
    writer.write(_HEAD)
    for _ in range(250):
        writer.write(_CHUNK)
        await writer.drain()
    await reader.read()
    writer.close()


class TestAnswersOfTheStore:
    """Many reads at a time, each with an answer that never ends."""

    def test_they_are_bounded_together(self):
        # Guards against a store that takes the memory of messages as well.
        async def scenario():
            server = await asyncio.start_server(_serve, '127.0.0.1', 0)
            port = server.sockets[0].getsockname()[1]
            store = PlatformStore(
                address=Address(host='127.0.0.1', port=port), era=StoreEra()
            )
            tracemalloc.start()
            reads = [store.get(f'config/{name}') for name in range(_READS)]
            found = await asyncio.gather(*reads, return_exceptions=True)
            _, peak_bytes = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            return found, peak_bytes

        found, peak_bytes = asyncio.run(asyncio.wait_for(scenario(), 60))
        assert {type(error) for error in found} == {Unavailable}
        assert peak_bytes < _PEAK_BYTES


class _EndlessListing:
    """Serves pages of a megabyte, and says each time that there are more."""

    def __init__(self):
        self.pages = 0

    async def serve(self, reader, writer):
        while True:
            try:
                await reader.readuntil(b'\r\n\r\n')
            except asyncio.IncompleteReadError:
                writer.close()
                return
            self.pages += 1
            page = {
                'items': [_stored(f'n{self.pages:06}')],
                'hasMore': self.pages < _MAX_PAGES,
                'asOf': 1,
            }
            body = msgspec.json.encode(page)
            head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
            writer.write(head.encode() + body)


def _stored(name):
    return {
        'metadata': {'name': name, 'revision': 1, 'createRevision': 1},
        'spec': 'x' * 1_000_000,
    }


class TestListings:
    """Listings in very many pages."""

    def test_one_that_never_ends_is_refused(self):
        # Guards against a store that always has another page.
        async def scenario():
            listing = _EndlessListing()
            server = await asyncio.start_server(listing.serve, '127.0.0.1', 0)
            port = server.sockets[0].getsockname()[1]
            store = PlatformStore(
                address=Address(host='127.0.0.1', port=port), era=StoreEra()
            )
            with pytest.raises(Unavailable, match='listing'):
                await store.list('config')
            return listing.pages

        pages = asyncio.run(asyncio.wait_for(scenario(), 60))
        assert pages < _MAX_PAGES
