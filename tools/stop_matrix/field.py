"""Nodes, targets, store and clients of one run."""

import asyncio
import itertools
import os
import pathlib
import time
import types
from collections.abc import Awaitable, Callable

import msgspec

from fescueknot.httpio.server import Server
from tools.site_rig.node_process import NodeProcess
from tools.site_rig.node_settings import NodeSettings
from tools.site_rig.readiness import wait_until_ready
from tools.site_rig.records import RecordFile, SignalKind, SignalRecord
from tools.site_rig.scene import ROUTE_HOST, Host
from tools.site_rig.site import Bounds
from tools.standin.platform_store import PlatformStoreStandin
from tools.stop_matrix.behaviours import BEHAVIOURS, LAST_S
from tools.stop_matrix.client import Client
from tools.stop_matrix.target import MatrixTarget

BOUNDS = Bounds(drain_ms=2500, config_ms=2500, grace_s=6, budget_slack=48)
_SERVICES = types.MappingProxyType(
    {'a': 'alpha', 'b': 'alpha', 'c': 'beta', 'd': 'beta'}
)
_ROUTES = (
    ('browse', 'alpha', 'idempotent'),
    ('once', 'alpha', 'non_idempotent'),
    ('call', 'alpha', 'idempotent'),
    ('inner', 'beta', 'idempotent'),
)
_CALM_S = 3.5
_LAST_ANSWERS_S = 4.0
_END_S = 0.2
# Every run has addresses of its own.
_FIRST_NETWORK = 32
_NETWORKS = 95
_runs = itertools.count(1)


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """A configuration; ``browse`` is the service of that route."""

    idle_ms: int = 10_000
    timeout_ms: int = 6000
    browse: str = 'alpha'
    dropped: tuple[str, ...] = ()

    def written(self, version: int) -> dict:
        """Return what the operator writes."""
        return {
            'version': f'{version:08x}',
            'limits': {
                'maxHeaderBytes': 16_384,
                'maxBodyBytes': 1_048_576,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': self.idle_ms,
            },
            'listeners': [
                {
                    'host': ROUTE_HOST,
                    'routeRules': [
                        self._rule(*route)
                        for route in _ROUTES
                        if route[0] not in self.dropped
                    ],
                }
            ],
            'clusters': [
                {'name': name, 'healthPath': '/health', 'maxConnections': 316}
                for name in ('alpha', 'beta')
            ],
        }

    def _rule(self, name: str, service: str, kind: str) -> dict:
        chosen = self.browse if name == 'browse' else service
        return {
            'name': name,
            'routeType': kind,
            'targetLatencyMs': 1500,
            'priority': 1,
            'match': {'pathPrefix': f'/{name}/'},
            'action': {
                'service': chosen,
                'timeoutMs': self.timeout_ms,
                'attempts': 2,
            },
        }


class Play(msgspec.Struct, frozen=True, kw_only=True):
    """What a run plays; ``code`` is the folder of the nodes' program."""

    code: pathlib.Path
    folder: pathlib.Path
    behaviours: tuple[str, ...]
    delay_s: float = 0


class Field:
    """One run; times are counted from the trouble on."""

    def __init__(self, *, play: Play) -> None:
        self.store = PlatformStoreStandin()
        self.nodes: dict[str, NodeProcess] = {}
        self.targets: dict[str, MatrixTarget] = {}
        self._play = play
        self._hosts = _hosts()
        self._records = RecordFile(path=play.folder / 'records.jsonl')
        self._trouble_s = float(0)
        self._version = 0
        self._tasks: list[asyncio.Task] = []

    async def until(self, at_s: float) -> None:
        """Wait for a time."""
        await asyncio.sleep(self._trouble_s + at_s - time.monotonic())

    def spawn(self, work: Awaitable[None]) -> None:
        """Run something beside the rest."""
        self._tasks.append(asyncio.ensure_future(work))

    def configure(self, change: Change) -> None:
        """Write a configuration."""
        self._version += 2
        now_s = time.monotonic()
        self._records.add(
            SignalRecord(host='', kind=SignalKind.CONFIGURATION, at_s=now_s)
        )
        self.store.write('config', 'main', change.written(self._version))

    async def run(self, trouble: 'Trouble') -> None:
        """Play a trouble beside the behaviours; the records are kept."""
        try:
            await self._run(trouble)
        finally:
            self._end()
        # What is cut by the end is noted before the records are closed.
        await asyncio.sleep(_END_S)
        self._records.close()

    async def _run(self, trouble: 'Trouble') -> None:
        server = Server(handler=self.store, report_error=print)
        await server.listen('127.0.0.1', 0)
        self.configure(Change())
        for host in self._hosts:
            await self._start(host, f'127.0.0.1:{server.port}')
        await wait_until_ready(self._hosts)
        self._trouble_s = time.monotonic() + _CALM_S
        for name in self._play.behaviours:
            client = self._client(name, self._hosts[0])
            self.spawn(BEHAVIOURS[name](client))
        self.spawn(trouble(self))
        await self.until(LAST_S + _LAST_ANSWERS_S)

    async def _start(self, host: Host, store: str) -> None:
        target = MatrixTarget(
            host=host,
            records=self._records,
            caller=self._client('called', host),
        )
        await target.start()
        self.targets[host.name] = target
        settings = NodeSettings(
            host=host, store=store, folder=self._play.folder, bounds=BOUNDS
        )
        settings.write()
        node = NodeProcess(
            host=host,
            settings=settings,
            code=self._play.code,
            records=self._records,
        )
        node.start()
        self.nodes[host.name] = node
        self.spawn(target.announce())

    def _client(self, name: str, host: Host) -> Client:
        return Client(
            name=name,
            host=host,
            trouble_s=self._trouble_s,
            delay_s=self._play.delay_s,
            records=self._records,
        )

    def _end(self) -> None:
        for task in self._tasks:
            task.cancel()
        for node in self.nodes.values():
            node.end()
        for target in self.targets.values():
            target.end()


Trouble = Callable[[Field], Awaitable[None]]


def _hosts() -> tuple[Host, ...]:
    network = _FIRST_NETWORK + os.getpid() % _NETWORKS
    first = f'127.{network}.{next(_runs)}'
    return tuple(
        Host(
            name=name,
            ip=f'{first}.{number}',
            service=service,
            zone='zone-a',
            region='region',
            speed=1,
            memory_mb=300,
            group=0,
        )
        for number, (name, service) in enumerate(_SERVICES.items(), 1)
    )
