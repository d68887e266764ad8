"""Starts the processes of a run, plays its disruptions and ends them."""

import asyncio
import pathlib
import random
import subprocess
import sys
import time

import msgspec

from fescueknot.httpio.server import Server
from tools.site_rig.client_process import CLIENT_GROUPS
from tools.site_rig.configurations import Configurations
from tools.site_rig.load_clock import tell_start
from tools.site_rig.node_process import NodeProcess
from tools.site_rig.readiness import wait_until_ready
from tools.site_rig.records import RecordFile, SignalKind, SignalRecord
from tools.site_rig.scene import Disruption, Scene
from tools.site_rig.trouble_plans import TROUBLES
from tools.standin.platform_store import PlatformStoreStandin

TARGET_GROUPS = 2
_CALM_S = 2.0
_LAST_ANSWERS_S = 9.0
_END_S = 20.0


class DeploymentRun:
    """One run of a scene; ``code`` is where the nodes' program is."""

    def __init__(self, *, scene: Scene, code: pathlib.Path) -> None:
        self._scene = scene
        self._code = code
        self._folder = pathlib.Path(scene.folder)
        rng = random.Random(scene.seed)  # noqa: S311
        self._configurations = Configurations(site=scene.site, rng=rng)
        self._store = PlatformStoreStandin()
        self._records = RecordFile(path=self._folder / 'signals.jsonl')
        self._nodes: dict[str, NodeProcess] = {}
        self._members: list[subprocess.Popen[bytes]] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def play(self) -> None:
        """Play the run; its records are in its folder then."""
        try:
            await self._play()
        finally:
            await self._end()

    async def _play(self) -> None:
        server = Server(handler=self._store, report_error=_report)
        await server.listen('127.0.0.1', 0)
        self._configure(Disruption(at_s=0, kind='config_change'))
        self._start_members('target_process', TARGET_GROUPS)
        self._start_nodes(f'127.0.0.1:{server.port}')
        await wait_until_ready(self._scene.hosts)
        began_s = time.monotonic() + _CALM_S
        self._scene = msgspec.structs.replace(self._scene, began_s=began_s)
        tell_start(self._folder, began_s)
        self._start_members('client_process', CLIENT_GROUPS)
        await self._disrupt_in_turn()
        await _until(self._scene.ends_s + _LAST_ANSWERS_S)

    async def _disrupt_in_turn(self) -> None:
        for disruption in self._scene.disruptions:
            await _until(self._scene.began_s + disruption.at_s)
            self._disrupt(disruption)

    def _start_nodes(self, store: str) -> None:
        for host in self._scene.hosts:
            node = NodeProcess(
                host=host,
                store=store,
                folder=self._folder,
                code=self._code,
                bounds=self._scene.site.bounds,
                records=self._records,
            )
            node.configure()
            node.start()
            self._nodes[host.name] = node
            self._tasks.append(asyncio.ensure_future(node.revive()))
            self._tasks.append(asyncio.ensure_future(node.watch_memory()))

    def _start_members(self, module: str, groups: int) -> None:
        scene = self._folder / f'{module}.json'
        self._scene.write(scene)
        for group in range(groups):
            name = f'{module}-{group}'
            with (self._folder / f'{name}.log').open('wb') as log:
                member = subprocess.Popen(
                    [
                        sys.executable,
                        '-m',
                        f'tools.site_rig.{module}',
                        str(scene),
                        str(group),
                        str(self._folder / f'{name}.jsonl'),
                    ],
                    stdout=log,
                    stderr=subprocess.STDOUT,
                )
            self._members.append(member)

    def _disrupt(self, disruption: Disruption) -> None:
        if disruption.kind == 'config_change':
            self._configure(disruption)
        elif disruption.kind in TROUBLES:
            self._note_trouble(disruption)
        elif disruption.kind == 'hup':
            self._nodes[disruption.host].reload()
        else:
            restart = self._nodes[disruption.host].restart()
            self._tasks.append(asyncio.ensure_future(restart))

    def _note_trouble(self, disruption: Disruption) -> None:
        """Note what targets or clients play by themselves."""
        self._records.add(
            SignalRecord(
                host=disruption.host,
                kind=SignalKind.TROUBLE,
                at_s=time.monotonic(),
                detail=f'{disruption.kind} {disruption.how}',
            )
        )

    def _configure(self, disruption: Disruption) -> None:
        written = self._configurations.change(
            disruption.how, disruption.idle_limit_s
        )
        self._records.add(
            SignalRecord(
                host='',
                kind=SignalKind.CONFIGURATION,
                at_s=time.monotonic(),
                detail=disruption.how,
            )
        )
        self._store.write('config', 'main', written)

    async def _end(self) -> None:
        for task in self._tasks:
            task.cancel()
        for member in self._members:
            member.terminate()
        for member in self._members:
            await asyncio.to_thread(_end_member, member)
        for node in self._nodes.values():
            node.end()
            node.note_peak()
        self._records.close()


def _end_member(member: subprocess.Popen[bytes]) -> None:
    try:
        member.wait(_END_S)
    except subprocess.TimeoutExpired:
        print(f'process {member.pid} did not end, it is killed')
        member.kill()
        member.wait()


def _report(error: BaseException) -> None:
    print(f'the store failed: {error!r}', flush=True)


async def _until(at_s: float) -> None:
    await asyncio.sleep(at_s - time.monotonic())
