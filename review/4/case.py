"""Upstreams hand out a few answers without end, in small chunks."""

import asyncio
import itertools
import signal
import time

import stage as on

_PIECE = b'2\r\nxx\r\n' * 16_384
_DEADLINE_MS = 6000
_NODES = 4
# Half of the upstreams spoil 2 of 100 answers, as of the entry `garble`.
_SPOILING = (1, 2)
_SPOILT_OF_100 = 2
_TIMES = 3
_CLIENTS_PER_NODE = 4
_PAUSE_S = 0.1
_LENGTH_S = 75.0
_POLL_S = 0.02


class _Host:
    """A node, its upstream, and the platform that watches its memory."""

    def __init__(
        self, stage: on.Stage, number: int, *, is_spoiling: bool
    ) -> None:
        self.stage = stage
        self.kills = 0
        self.peak_mb = 0.0
        self.node: on.Node | None = None
        self._is_spoiling = is_spoiling
        self._runs = itertools.count(1)
        self._number = number
        self._target = on.Target(
            stage=stage,
            service='calendario',
            instance=f'i-{number}',
            slots=36,
            work=self._work,
        )

    async def start(self) -> None:
        """Start the upstream and the node."""
        await self._target.start()
        self.node = self.stage.add_node(
            f'node-{self._number}', 'calendario', self._target.port
        )
        self.stage.spawn(self._target.announce(self.node))

    async def watch_memory(self) -> None:
        """Kill the node when it exceeds its memory, and start it again."""
        while True:
            await asyncio.sleep(_POLL_S)
            memory_mb = self.node.memory_mb()
            self.peak_mb = max(self.peak_mb, memory_mb)
            if memory_mb <= on.MEMORY_MB:
                continue
            self.kills += 1
            self.stage.record.note(
                f'platform: {self.node.name} has {memory_mb:.0f} MB, more '
                f'than {on.MEMORY_MB} MB, and is killed'
            )
            self.node.send(signal.SIGKILL)
            await self.node.restart()

    async def run_client(self, ids) -> None:
        """Send one request after the other."""
        while True:
            await self._send(f'{next(ids):016x}')
            await asyncio.sleep(_PAUSE_S)

    async def _work(self, line, headers, body, writer) -> None:
        """Answer; the last requests of 100 get an answer without end."""
        run = next(self._runs)
        if not self._is_spoiling or run % 100 < 100 - _SPOILT_OF_100:
            writer.write(on.answer_head(headers, 2) + b'ok')
            await writer.drain()
            return
        writer.write(on.answer_head(headers, None))
        sent = 0
        began_s = time.monotonic()
        try:
            while True:
                writer.write(_PIECE)
                await writer.drain()
                sent += len(_PIECE)
        finally:
            self.stage.record.note(
                f'i-{self._number}: the answer to run {run}, without end, is '
                f'closed after {sent} bytes and '
                f'{time.monotonic() - began_s:.2f} s'
            )

    async def _send(self, attempt: str) -> None:
        try:
            answer = await on.ask(
                self.node.ports['callers'],
                'GET',
                '/browse/1',
                on.client_headers(attempt, _DEADLINE_MS),
                b'',
                _DEADLINE_MS / 1000 + 1,
            )
        except (OSError, EOFError, TimeoutError) as error:
            outcome = repr(error)
        else:
            outcome = str(answer.status)
        self.stage.record.note(f'{self.node.name}: {attempt} gets {outcome}')


async def _case(stage: on.Stage, is_harmed: bool) -> list[str]:
    rules = [
        on.rule(
            'browse', 'calendario', idempotent=True, timeout_ms=_DEADLINE_MS
        )
    ]
    await stage.start_store(on.configuration(7, rules))
    hosts = [
        _Host(stage, number, is_spoiling=is_harmed and number in _SPOILING)
        for number in range(1, _NODES + 1)
    ]
    for host in hosts:
        await host.start()
    for host in hosts:
        await host.node.wait_ready()
        stage.spawn(host.watch_memory())
    await asyncio.sleep(on.STABLE_WINDOW_S + 1)
    ids = itertools.count(1)
    for host in hosts * _CLIENTS_PER_NODE:
        stage.spawn(host.run_client(ids))
    end_s = time.monotonic() + _LENGTH_S
    while time.monotonic() < end_s:
        await asyncio.sleep(1)
        ended = [host for host in hosts if host.kills >= _TIMES]
        if len(ended) >= len(_SPOILING):
            break
    for host in hosts:
        stage.record.note(
            f'{host.node.name}: over its memory {host.kills} times, peak '
            f'{host.peak_mb:.0f} MB'
        )
    if len(ended) < len(_SPOILING):
        return []
    return [
        f'Fault: {len(ended)} of {_NODES} processes ended {_TIMES} times '
        f'because they exceeded their memory of {on.MEMORY_MB} MB'
    ]


on.main(_case, __file__.rpartition('/')[0])
