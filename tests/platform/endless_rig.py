"""A node as a real process beside a target that answers without end."""

import asyncio
import collections
import contextlib
import os
import pathlib
import re
import subprocess
import sys
import time

import msgspec

from fescueknot.httpio.client import Client
from fescueknot.httpio.client_connection import ClientSettings
from fescueknot.httpio.errors import HttpIoError
from fescueknot.httpio.messages import Request
from fescueknot.httpio.server import Server
from fescueknot.identity import Address
from fescueknot.platform.headers import PLATFORM_HEADERS as NAMES
from tools.standin.platform_store import PlatformStoreStandin

CALLERS = 30
MEMORY_MB = 300
_PORTS = {
    'callers': 8304,
    'peers': 8300,
    'ready': 8302,
    'heartbeats': 8306,
    'gossip': 7620,
}
_TARGET_PORT = 8301
_PIECE_BYTES = 262_144
_PATIENCE_S = 60
_TIME_LIMIT_MS = 10_000
_INSTANCE = 'i-1'
_OK = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = _OK + b'Transfer-Encoding: chunked\r\n\r\n'
_WHOLE = (
    _OK
    + NAMES.attempt.encode()
    + b': {attempt}\r\n'
    + NAMES.signature.encode()
    + b': s\r\nContent-Length: 2\r\n\r\nok'
)
# What is sent first, and what is sent again and again behind it.
KINDS = {
    'length': (_OK + b'Content-Length: 99999999999\r\n\r\n', b'x' * 65_536),
    'chunks': (_CHUNKED, b'4000\r\n' + b'x' * 16_384 + b'\r\n'),
    'until close': (_OK + b'\r\n', b'x' * 65_536),
    'headers': (_OK, b'X: y\r\n'),
    'trailers': (_CHUNKED + b'0\r\n', b'X: y\r\n'),
    'chunks of one byte': (_CHUNKED, b'1\r\nx\r\n'),
    'garbage': (b'', b'\x00\xff'),
    'status line': (b'HTTP/1.1 200 ', b'O'),
    'one header': (_OK + b'X: ', b'x'),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'chunk extension': (_CHUNKED + b'1;', b'x'),
    'size of a chunk': (_CHUNKED, b'0'),
    'bytes behind an answer': (_WHOLE, b'x'),
    'answers behind an answer': (_WHOLE, _WHOLE),
    'empty lines': (b'', b'\r\n'),
}


class EndlessTarget:
    """Answers everything with one kind of bytes, until it is cut off."""

    def __init__(self, kind):
        self._kind = kind
        self.sent_bytes = collections.Counter()
        self.answers = 0

    async def serve(self, reader, writer):
        """Serve one connection."""
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            head = await reader.readuntil(b'\r\n\r\n')
            await self._answer(writer, head)
        writer.transport.abort()

    async def _answer(self, writer, head):
        self.answers += 1
        number = self.answers
        attempt = re.search(rb'attempt-id: (\S+)', head)[1]
        begin, again = (
            part.replace(b'{attempt}', attempt) for part in KINDS[self._kind]
        )
        piece = again * max(1, _PIECE_BYTES // len(again))
        writer.write(begin)
        while True:
            writer.write(piece)
            await writer.drain()
            self.sent_bytes[number] += len(piece)


class NodeBesideTarget:
    """A node's process, its store and its endless target."""

    def __init__(self, *, kind, folder: pathlib.Path):
        self.target = EndlessTarget(kind)
        self.statuses = collections.Counter()
        self._folder = folder
        # An address of its own, so that ports never collide.
        high, low = divmod(os.getpid() % 65_000, 256)
        self._ip = f'127.91.{high}.{low + 1}'
        self._process = None

    @contextlib.asynccontextmanager
    async def running(self):
        """Run the node until the block ends."""
        store = PlatformStoreStandin()
        store.write('config', 'main', _CONFIGURATION)
        server = Server(handler=store, report_error=print)
        await server.listen(self._ip, 0)
        target = await asyncio.start_server(
            self.target.serve, self._ip, _TARGET_PORT
        )
        self._start(f'{self._ip}:{server.port}')
        beats = asyncio.create_task(self._send_heartbeats())
        try:
            await asyncio.wait_for(self._until_ready(), _PATIENCE_S)
            yield self
        finally:
            beats.cancel()
            self._end()
        target.close()

    async def call_at_once(self, calls_each):
        """Let all callers send their requests; count the statuses."""
        await asyncio.gather(
            *(self._call(number, calls_each) for number in range(CALLERS))
        )

    def peak_mb(self):
        """Return the peak of the memory of the process."""
        status = pathlib.Path(f'/proc/{self._process.pid}/status').read_text()
        return int(re.search(r'VmHWM:\s+(\d+)', status)[1]) / 1000

    def _start(self, store):
        settings = {
            'node': 'n1',
            'service': 'desk',
            'target': f'{self._ip}:{_TARGET_PORT}',
            'region': 'a',
            'failure_domain': 'a-1',
            'ports': {
                role: f'{self._ip}:{port}' for role, port in _PORTS.items()
            },
            'bounds': {'drain_s': 2.5, 'grace_s': 6},
            'object_store': store,
            'memory_mb': MEMORY_MB,
        }
        path = self._folder / 'node.json'
        path.write_bytes(msgspec.json.encode(settings))
        with (self._folder / 'node.log').open('wb') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-m', 'fescueknot.platform.main'],
                env={**os.environ, 'FESCUEKNOT_CONFIG': str(path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def _end(self):
        self._process.kill()
        self._process.wait()

    def _client(self, role):
        return Client(
            address=Address(host=self._ip, port=_PORTS[role]),
            settings=ClientSettings(connect_timeout_s=5),
        )

    async def _call(self, number, calls_each):
        client = self._client('callers')
        for call in range(calls_each):
            headers = (
                ('host', 'site.example'),
                (NAMES.attempt, f'{number}-{call}'),
            )
            request = Request(method='GET', target='/desk/', headers=headers)
            try:
                response = await client.exchange(request)
            except HttpIoError as error:
                self.statuses[str(error)] += 1
            else:
                self.statuses[response.status] += 1
        client.close()

    async def _until_ready(self):
        """Wait until calls get to the target."""
        question = Request(
            method='GET', target='/v1/ready', headers=(('host', 'node'),)
        )
        status = 0
        while status != 200:
            await asyncio.sleep(0.1)
            with contextlib.suppress(HttpIoError):
                status = (await self._client('ready').exchange(question)).status
        while not self.target.answers:
            await self._call(CALLERS, 1)
        self.statuses.clear()

    async def _send_heartbeats(self):
        client = self._client('heartbeats')
        born_ms = int(time.time() * 1000)
        for sequence in range(1, 1_000_000):
            body = {
                'service': 'desk',
                'address': f'{self._ip}:{_TARGET_PORT}',
                'slots': CALLERS,
                'state': 'ready',
                'seq': sequence,
                'born': born_ms,
            }
            request = Request(
                method='PUT',
                target=f'/v1/instances/{_INSTANCE}',
                headers=(('host', 'node'),),
                body=msgspec.json.encode(body),
            )
            with contextlib.suppress(HttpIoError):
                await client.exchange(request)
            await asyncio.sleep(0.5)


_CONFIGURATION = {
    'version': '1',
    'limits': {
        'maxHeaderBytes': 16_384,
        'maxBodyBytes': 1_048_576,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 10_000,
    },
    'listeners': [
        {
            'host': 'site.example',
            'routeRules': [
                {
                    'name': 'desk',
                    'routeType': 'non_idempotent',
                    'targetLatencyMs': 1000,
                    'priority': 1,
                    'match': {'pathPrefix': '/desk/'},
                    'action': {
                        'timeoutMs': _TIME_LIMIT_MS,
                        'attempts': 1,
                        'service': 'desk',
                    },
                }
            ],
        }
    ],
    'clusters': [
        {'name': 'desk', 'healthPath': '/health', 'maxConnections': CALLERS}
    ],
}
