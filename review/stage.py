"""Starts nodes as the deploy file says, between stand-ins on loopback.

A case has one :class:`Stage`. It owns a temporary folder, the stand-in of the
platform's store and the node processes, writes ``record.txt`` beside the
case, and ends all that it has started.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = '127.0.0.1'
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
# The bounds of the site brujula-entries and of the page DEPLOY.md.
BOUNDS = {
    'drain_s': 2.5,
    'grace_s': 6,
    'in_force_s': 2.5,
    'retry_ratio': 0.2,
    'retry_slack': 48,
    'retry_window_s': 10,
}
STABLE_WINDOW_S = 3.0
CONFIG_APPLY_S = 2.5
MEMORY_MB = 300
HEARTBEAT_S = 1.5
_PORTS = (15_000, 32_000)
_taken_ports: set[int] = set()
_READY_S = 30.0
_RESTART_S = 0.5


def free_port() -> int:
    """Return a port that is free now, for TCP and UDP, and stays so.

    It isn't one that the system gives to outgoing connections, as a node that
    is started again needs it once more.
    """
    while True:
        port = random.randrange(*_PORTS)
        if port in _taken_ports:
            continue
        with socket.socket() as tcp, socket.socket(
            socket.AF_INET, socket.SOCK_DGRAM
        ) as udp:
            try:
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
            except OSError:
                continue
        _taken_ports.add(port)
        return port


class CouldNotRunError(Exception):
    """The case could not be set up."""


class Record:
    """Lines with the seconds since the start of the case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._began_s = time.monotonic()
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')

    def note(self, text: str) -> None:
        """Write a line."""
        self._file.write(f'{time.monotonic() - self._began_s:8.3f} {text}\n')
        self._file.flush()


class Node:
    """One node process and its settings."""

    def __init__(
        self,
        *,
        stage: 'Stage',
        name: str,
        service: str,
        target_port: int,
        zone: str,
        region: str,
    ) -> None:
        self.name = name
        self.service = service
        self.target_port = target_port
        self._stage = stage
        self._roles = ('callers', 'peers', 'ready', 'heartbeats', 'gossip')
        self.ports = {role: free_port() for role in self._roles}
        self._settings = stage.folder / f'{name}.json'
        self._log = stage.folder / f'{name}.log'
        self._process: subprocess.Popen[bytes] | None = None
        settings = {
            'node': name,
            'service': service,
            'target': f'{HOST}:{target_port}',
            'region': region,
            'failure_domain': zone,
            'ports': {
                role: f'{HOST}:{port}' for role, port in self.ports.items()
            },
            'bounds': BOUNDS,
            'object_store': f'{HOST}:{stage.store_port}',
            'metrics_port': free_port(),
        }
        self._settings.write_text(json.dumps(settings))

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['FESCUEKNOT_CONFIG'] = str(self._settings)
        with self._log.open('ab') as log:
            self._process = subprocess.Popen(
                self._stage.command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._stage.record.note(f'{self.name}: started, {self._process.pid}')

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._stage.record.note(f'{self.name}: {number.name} is sent')
        self._process.send_signal(number)

    def memory_mb(self, field: str = 'VmRSS') -> float:
        """Return the resident memory, ``VmHWM`` for its peak; 0 if ended."""
        try:
            text = pathlib.Path(f'/proc/{self.pid}/status').read_text()
        except OSError:
            return 0
        for line in text.splitlines():
            if line.startswith(f'{field}:'):
                return int(line.split()[1]) / 1024
        return 0

    async def wait_ready(self) -> None:
        """Ask at the ready address until the node says 200."""
        end_s = time.monotonic() + _READY_S
        while time.monotonic() < end_s:
            if await self._asks_ready() == 200:
                self._stage.record.note(f'{self.name}: ready')
                return
            await asyncio.sleep(0.1)
        raise CouldNotRunError(f'{self.name} is not ready')

    async def restart(self) -> None:
        """Start it again after it has ended, as the platform does."""
        while self.is_running:
            await asyncio.sleep(0.02)
        await asyncio.sleep(_RESTART_S)
        self.start()
        await self.wait_ready()

    def end(self) -> None:
        """End the process for good."""
        if self.is_running:
            self._process.kill()
            self._process.wait()

    async def _asks_ready(self) -> int:
        try:
            answer = await ask(
                self.ports['ready'], 'GET', '/v1/ready', {'Host': 'x'}, b'', 1
            )
        except (OSError, EOFError, TimeoutError):
            return 0
        return answer.status


class Stage:
    """The store's stand-in and the nodes of one case."""

    def __init__(self, case_folder: pathlib.Path) -> None:
        self.record = Record(case_folder)
        self._temporary = tempfile.TemporaryDirectory(prefix='review-')
        self.folder = pathlib.Path(self._temporary.name)
        self.nodes: list[Node] = []
        self.store = None
        self.store_port = 0
        self._tasks: list[asyncio.Task] = []
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        self.command = deploy['roles']['node']['run'].split()

    async def start_store(self, configuration: dict, store=None) -> None:
        """Start the project's own stand-in of the store, or another one."""
        from fescueknot.httpio.server import Server
        from tools.standin.platform_store import PlatformStoreStandin

        self.store = store or PlatformStoreStandin()
        self.write_configuration(configuration)
        server = Server(
            handler=self.store,
            report_error=lambda error: self.record.note(f'store: {error!r}'),
        )
        await server.listen(HOST, 0)
        self.store_port = server.port

    def write_configuration(self, configuration: dict) -> None:
        """Write a configuration as the operator does."""
        self.store.write('config', 'main', configuration)
        self.record.note(
            f'operator: wrote version {configuration["version"]}, the store '
            'has acknowledged it'
        )

    def add_node(
        self,
        name: str,
        service: str,
        target_port: int,
        zone: str = 'sierra-a',
        region: str = 'sierra',
    ) -> Node:
        """Start a node."""
        node = Node(
            stage=self,
            name=name,
            service=service,
            target_port=target_port,
            zone=zone,
            region=region,
        )
        self.nodes.append(node)
        node.start()
        return node

    def spawn(self, work) -> asyncio.Task:
        """Run a coroutine beside the case."""
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task

    def end(self) -> None:
        """End all that was started."""
        for task in self._tasks:
            task.cancel()
        for node in self.nodes:
            node.end()
        kept = os.environ.get('KEEP_LOGS')
        if kept:
            for log in self.folder.glob('*.log'):
                (pathlib.Path(kept) / log.name).write_bytes(log.read_bytes())
        self._temporary.cleanup()


class Answer:
    """An answer as a client sees it.

    ``is_whole``: the body has the length that its head announces.
    """

    def __init__(
        self,
        status: int,
        headers: dict[str, str],
        body: bytes,
        *,
        is_whole: bool = True,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.is_whole = is_whole


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers, names in lower case."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.rstrip('\r\n').split('\r\n')
    pairs = (line.partition(':') for line in lines)
    return first, {name.lower(): text.strip() for name, _, text in pairs}


def encode_request(
    method: str, path: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Return the bytes of a request."""
    lines = [f'{method} {path} HTTP/1.1']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    if body:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + body


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer with a length."""
    first, headers = await read_head(reader)
    length = int(headers.get('content-length', '0'))
    status = int(first.split()[1])
    try:
        body = await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        return Answer(status, headers, error.partial, is_whole=False)
    return Answer(status, headers, body)


async def ask(
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    timeout_s: float,
) -> Answer:
    """Send one request on a new connection and read its answer."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(encode_request(method, path, headers, body))
            await writer.drain()
            return await read_answer(reader)
        finally:
            writer.transport.abort()


class Target:
    """A stand-in of an upstream: announces itself and answers requests.

    ``work`` is called with the request line, the headers, the body and the
    writer, and writes the answer itself.
    """

    def __init__(
        self, *, stage: Stage, service: str, instance: str, slots: int, work
    ) -> None:
        self.service = service
        self.instance = instance
        self.port = 0
        self.runs: list[tuple[float, str]] = []
        self._stage = stage
        self._slots = slots
        self._work = work
        self._sequence = 0
        self._born_ms = int(time.time() * 1000)

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def announce(self, node: Node) -> None:
        """Send heartbeats for ever."""
        while True:
            await self.beat(node)
            await asyncio.sleep(HEARTBEAT_S)

    async def beat(self, node: Node, state: str = 'ready') -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        self._sequence += 1
        body = {
            'service': self.service,
            'address': f'{HOST}:{self.port}',
            'zone': 'sierra-a',
            'version': 'v1',
            'slots': self._slots,
            'state': state,
            'warmupLeftMs': 0,
            'seq': self._sequence,
            'born': self._born_ms,
        }
        headers = {'Host': 'node', 'Content-Type': 'application/json'}
        try:
            answer = await ask(
                node.ports['heartbeats'],
                'PUT',
                f'/v1/instances/{self.instance}',
                headers,
                json.dumps(body).encode(),
                1,
            )
        except (OSError, EOFError, TimeoutError):
            return False
        return answer.status == 200

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                await self._serve_one(reader, writer)
        except (OSError, EOFError, asyncio.CancelledError):
            writer.transport.abort()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        line, headers = await read_head(reader)
        length = int(headers.get('content-length', '0'))
        body = await reader.readexactly(length)
        attempt = headers.get('x-fescueknot-attempt-id', '')
        expected = headers.get('x-fescueknot-expected-instance')
        if expected not in (None, self.instance):
            writer.write(
                (
                    'HTTP/1.1 421 Misdirected Request\r\n'
                    f'X-Fescueknot-Attempt-Id: {attempt}\r\n'
                    'X-Fescueknot-Not-Executed: 1\r\n'
                    f'X-Fescueknot-Instance-Id: {self.instance}\r\n'
                    'Content-Length: 0\r\n\r\n'
                ).encode()
            )
            return
        self.runs.append((time.monotonic(), attempt))
        self._stage.record.note(f'{self.instance}: runs {attempt}')
        await self._work(line, headers, body, writer)


def answer_head(headers: dict[str, str], length: int | None) -> bytes:
    """Return the head of a signed 200; without a length, chunked."""
    attempt = headers.get('x-fescueknot-attempt-id', '')
    framing = 'Transfer-Encoding: chunked'
    if length is not None:
        framing = f'Content-Length: {length}'
    return (
        'HTTP/1.1 200 OK\r\n'
        f'X-Fescueknot-Attempt-Id: {attempt}\r\n'
        'X-Fescueknot-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n'
        f'{framing}\r\n\r\n'
    ).encode()


def rule(
    name: str,
    service: str,
    *,
    idempotent: bool,
    timeout_ms: int,
    objective_ms: int = 1500,
) -> dict:
    """Return a route rule of a configuration."""
    return {
        'name': f'r-{name}',
        'routeType': 'idempotent' if idempotent else 'non_idempotent',
        'targetLatencyMs': objective_ms,
        'priority': 2 if idempotent else 0,
        'match': {'pathPrefix': f'/{name}/'},
        'action': {
            'service': service,
            'timeoutMs': timeout_ms,
            'attempts': 2,
        },
    }


def configuration(
    version: int, rules: list[dict], *, max_body_bytes: int = 67_108_864
) -> dict:
    """Return a configuration with one host; limits as ``wire`` shows them."""
    services = sorted({one['action']['service'] for one in rules})
    return {
        'version': f'{version:08x}',
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': max_body_bytes,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15_000,
        },
        'listeners': [{'host': 'review.example', 'routeRules': rules}],
        'clusters': [
            {
                'name': service,
                'healthPath': '/health',
                'maxConnections': 316,
                'protocol': 'h1',
                'tls': False,
            }
            for service in services
        ],
    }


def client_headers(attempt: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers that a client sends."""
    return {
        'Host': 'review.example',
        'X-Fescueknot-Attempt-Id': attempt,
        'X-Fescueknot-Deadline-Ms': str(deadline_ms),
    }


def main(case, folder: str) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, else 2."""
    stage = Stage(pathlib.Path(folder).resolve())
    is_harmed = os.environ.get('TROUBLE') != '0'
    stage.record.note(f'trouble: {is_harmed}')
    code = COULD_NOT_RUN
    try:
        code = asyncio.run(_run(case, stage, is_harmed))
    except (CouldNotRunError, OSError, TimeoutError, EOFError) as error:
        stage.record.note(f'could not run: {error!r}')
    finally:
        stage.end()
    stage.record.note(f'exit {code}')
    print(f'exit {code}')
    sys.exit(code)


async def _run(case, stage: Stage, is_harmed: bool) -> int:
    try:
        broken = await case(stage, is_harmed)
    finally:
        stage.end()
    for line in broken:
        stage.record.note(f'BROKEN: {line}')
    return BROKEN if broken else HELD
