"""Stand-ins of the platform, upstreams and clients, and a launcher of nodes.

Used by the scripts of cases 6 to 10. Standard library only; every address is a
loopback address. Nodes are started with the command of the deploy file and with
settings as its template gives them.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import socket
import subprocess
import time
from urllib.parse import parse_qsl, unquote

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = '127.0.0.1'
_NEXT = 10000 + os.getpid() % 400 * 40
ID = 'x-fescueknot-attempt-id'
SIGNATURE = 'x-fescueknot-response-signature'


def free_ports(count):
    """Return free TCP ports of the loopback address."""
    global _NEXT
    held = []
    while len(held) < count:
        _NEXT += 1
        sock = socket.socket()
        with contextlib.suppress(OSError):
            sock.bind((HOST, _NEXT))
            held.append(sock)
            continue
        sock.close()
    ports = [sock.getsockname()[1] for sock in held]
    for sock in held:
        sock.close()
    return ports


async def read_head(reader):
    """Return the start line and the headers; ``None`` at the end."""
    try:
        text = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return the body of a message with a length or in chunks."""
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = b''
        while True:
            size = int(await reader.readline(), 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return body
    return await reader.readexactly(int(headers.get('content-length', 0)))


def message(start, headers, body=b''):
    """Return the bytes of a message with a length."""
    lines = [start, *(f'{name}: {value}' for name, value in headers)]
    lines += [f'content-length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


class Store:
    """The platform's store: objects by kind and name, pages, watches."""

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()

    async def start(self, port):
        return await asyncio.start_server(self._serve, HOST, port)

    def write(self, kind, name, spec):
        before = self.objects.get((kind, name))
        if before is not None and before['spec'] == spec:
            return before
        self.revision += 1
        created = self.revision
        if before is not None:
            created = before['metadata']['createRevision']
        stored = {
            'metadata': {
                'name': name, 'revision': self.revision,
                'createRevision': created, 'finalizers': [],
                'deleting': False,
            },
            'spec': spec, 'status': None,
        }
        self.objects[kind, name] = stored
        self._event(kind, stored, False)
        return stored

    def _event(self, kind, stored, removed):
        self.events.append((self.revision, kind, stored, removed))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while head := await read_head(reader):
                body = await read_body(reader, head[1])
                status, content = await self._answer(head[0], body)
                writer.write(
                    message(
                        f'HTTP/1.1 {status} X',
                        [('content-type', 'application/json')],
                        json.dumps(content).encode(),
                    )
                )
                await writer.drain()
        writer.close()

    async def _answer(self, start, body):
        method, target, _ = start.split(' ')
        path, _, query = target.partition('?')
        options = dict(parse_qsl(query))
        kind, _, name = path.removeprefix('/v1/objects/').partition('/')
        name = unquote(name)
        if method == 'GET' and name:
            stored = self.objects.get((kind, name))
            return (200, stored) if stored else (404, {})
        if method == 'GET' and 'watch' in options:
            return await self._watch(kind, options)
        if method == 'GET':
            names = sorted(n for k, n in self.objects if k == kind)
            return 200, {
                'items': [self.objects[kind, n] for n in names],
                'hasMore': False, 'asOf': self.revision,
            }
        if method == 'DELETE':
            stored = self.objects.pop((kind, name), None)
            if stored is None:
                return 404, {}
            self.revision += 1
            self._event(kind, stored, True)
            return 200, stored
        given = json.loads(body)
        name = given['metadata']['name']
        stored = self.objects.get((kind, name))
        if method == 'POST' and stored:
            return 409, stored
        if method == 'PUT' and not stored:
            return 404, {}
        expected = given['metadata'].get('revision')
        if expected and expected != stored['metadata']['revision']:
            return 409, stored
        return 200, self.write(kind, name, given['spec'])

    async def _watch(self, kind, options):
        since = int(options['watch'])
        ends = time.monotonic() + int(options.get('waitMs', 0)) / 1000
        while True:
            events = [
                {'object': stored, 'removed': removed}
                for revision, found, stored, removed in self.events
                if revision > since and found == kind
            ]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'asOf': self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self.changed.wait()


class Target:
    """A target: heartbeats to its node, and answers requests.

    ``respond(target, start, headers, body)`` returns the body of an answer.
    """

    def __init__(self, *, name, service, port, slots, respond):
        self.name = name
        self.service = service
        self.port = port
        self.slots = slots
        self.respond = respond
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.runs = []
        self.state = 'ready'
        self.running = 0
        self._server = None
        self._open = set()

    async def start(self):
        """Listen; the start has a new time and counts anew."""
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.running = 0
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port
        )

    async def crash(self):
        """End as a killed process does: all connections are reset."""
        self._server.close()
        for writer in tuple(self._open):
            writer.transport.abort()
        self._open.clear()
        await asyncio.sleep(0)

    async def beat(self, control):
        """Send one heartbeat; return the status of its answer."""
        self.seq += 1
        body = json.dumps({
            'service': self.service, 'address': f'{HOST}:{self.port}',
            'zone': 'z-a', 'version': 'v1', 'slots': self.slots,
            'state': self.state, 'warmupLeftMs': 0, 'seq': self.seq,
            'born': self.born,
        }).encode()
        return await call(
            control, f'PUT /v1/instances/{self.name} HTTP/1.1',
            [('host', 'x'), ('content-type', 'application/json')], body,
        )

    async def beats(self, control, interval_s=1.5):
        """Send heartbeats until cancelled."""
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(1):
                    await self.beat(control)
            await asyncio.sleep(interval_s)

    async def _serve(self, reader, writer):
        self._open.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while head := await read_head(reader):
                body = await read_body(reader, head[1])
                given = head[1]
                expected = given.get('x-fescueknot-expected-instance')
                attempt = given.get(ID, '')
                if expected not in (None, self.name):
                    writer.write(message('HTTP/1.1 421 X', [
                        (ID, attempt), ('x-fescueknot-instance-id', self.name),
                    ]))
                    continue
                if self.running >= self.slots:
                    writer.write(message('HTTP/1.1 503 X', [
                        (ID, attempt), ('x-fescueknot-not-executed', '1'),
                    ]))
                    continue
                self.running += 1
                self.runs.append((time.monotonic(), attempt))
                try:
                    answer = await self.respond(self, head[0], given, body)
                finally:
                    self.running -= 1
                writer.write(message('HTTP/1.1 200 OK', [
                    (ID, attempt), (SIGNATURE, f's.{attempt}'),
                    ('x-fescueknot-server-load',
                     f'{self.running},0,{self.slots}'),
                ], answer))
                await writer.drain()
        self._open.discard(writer)
        writer.close()


async def call(port, start, headers, body=b''):
    """Send one request on a new connection; return the status or 0."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(message(start, headers, body))
        head = await read_head(reader)
        return int(head[0].split(' ')[1]) if head else 0
    finally:
        writer.close()


class Node:
    """One process of the deploy file, with settings of the template."""

    def __init__(self, *, name, service, target, store, folder, memory_mb,
                 zone='z-a', region='r-a', zones=('r-a',), bounds=None):
        ports = free_ports(6)
        self.name = name
        self.folder = pathlib.Path(folder)
        self.callers, self.peers, self.ready, self.control = ports[:4]
        self.memory_mb = memory_mb
        self.process = None
        self.settings = {
            'node': name, 'service': service,
            'target': f'{HOST}:{target}', 'region': region,
            'regions': list(zones), 'failure_domain': zone,
            'ports': {
                'callers': f'{HOST}:{self.callers}',
                'peers': f'{HOST}:{self.peers}',
                'ready': f'{HOST}:{self.ready}',
                'heartbeats': f'{HOST}:{self.control}',
                'gossip': f'{HOST}:{ports[4]}',
            },
            'bounds': bounds or {
                'drain_s': 2.5, 'grace_s': 6, 'in_force_s': 2.5,
                'retry_ratio': 0.2, 'retry_slack': 48, 'retry_window_s': 10,
            },
            'object_store': f'{HOST}:{store}',
            'metrics_port': ports[5], 'memory_mb': memory_mb,
        }

    def start(self):
        path = self.folder / f'{self.name}.json'
        path.write_text(json.dumps(self.settings))
        log = (self.folder / f'{self.name}.log').open('ab')
        variables = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        variables['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        variables['PYTHONDONTWRITEBYTECODE'] = '1'
        variables['FESCUEKNOT_CONFIG'] = str(path)
        self.process = subprocess.Popen(
            ['python3', '-m', 'fescueknot.platform.main'],
            cwd=ROOT, env=variables, stdin=subprocess.DEVNULL,
            stdout=log, stderr=subprocess.STDOUT,
        )
        log.close()

    def memory_mb_used(self):
        """Return the resident memory of the process."""
        try:
            text = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0
        for line in text.splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) * 1024 / 1e6
        return 0

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def wait_ready(self, limit_s=20):
        ends = time.monotonic() + limit_s
        while time.monotonic() < ends:
            with contextlib.suppress(OSError):
                status = await call(
                    self.ready, 'GET /v1/ready HTTP/1.1', [('host', 'x')]
                )
                if status == 200:
                    return True
            await asyncio.sleep(0.1)
        return False


def configuration(routes, *, version=7, limits=None):
    """Return a configuration with one host."""
    services = sorted({service for route in routes
                       for service in [route['service']]})
    return {
        'version': f'{version:08x}',
        'limits': limits or {
            'maxHeaderBytes': 16384, 'maxBodyBytes': 67108864,
            'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000,
        },
        'listeners': [{
            'host': 'hulo84.example',
            'routeRules': [{
                'name': route['name'], 'routeType': route['type'],
                'targetLatencyMs': route.get('aim', 1500),
                'priority': route.get('priority', 2),
                'match': {'pathPrefix': route['prefix']},
                'action': {
                    'service': route['service'],
                    'timeoutMs': route.get('timeout', 5000),
                    'attempts': route.get('attempts', 2),
                },
            } for route in routes],
        }],
        'clusters': [{
            'name': service, 'healthPath': '/health', 'maxConnections': 316,
        } for service in services],
    }


def request_bytes(path, attempt, deadline_ms, method='GET', body=b''):
    """Return a request of a client."""
    headers = [
        ('host', 'hulo84.example'), (ID, attempt),
        ('x-fescueknot-deadline-ms', str(deadline_ms)),
    ]
    if method == 'GET':
        lines = [f'{method} {path} HTTP/1.1',
                 *(f'{name}: {value}' for name, value in headers), '', '']
        return '\r\n'.join(lines).encode()
    return message(f'{method} {path} HTTP/1.1', headers, body)
