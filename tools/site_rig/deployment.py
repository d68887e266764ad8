"""Starts the processes of a run, plays its disruptions and ends them."""

import asyncio
import pathlib
import subprocess
import sys
import time

import msgspec

from tools.site_rig.client_process import CLIENT_GROUPS
from tools.site_rig.operator_players import operator_players
from tools.site_rig.player import play_all
from tools.site_rig.readiness import wait_until_ready
from tools.site_rig.ready_watch import ReadyWatch
from tools.site_rig.scene import Disruption, Scene
from tools.site_rig.stage import Stage

TARGET_GROUPS = 4
_CALM_S = 2.0
_LAST_ANSWERS_S = 9.0
_END_S = 20.0


class DeploymentRun:
    """One run of a scene; ``code`` is where the nodes' program is."""

    def __init__(self, *, scene: Scene, code: pathlib.Path) -> None:
        self._scene = scene
        self._stage = Stage(scene=scene, code=code)
        self._watch = ReadyWatch(stage=self._stage)
        self._members: list[subprocess.Popen[bytes]] = []

    async def play(self) -> None:
        """Play the run; its records are in its folder then."""
        try:
            await self._play()
        finally:
            await self._end()

    async def _play(self) -> None:
        scene = self._scene
        self._stage.configure(Disruption(at_s=0, kind='config_change'))
        self._start_members('target_process', TARGET_GROUPS)
        await self._start_nodes()
        began_s = time.monotonic() + _CALM_S
        self._scene = msgspec.structs.replace(scene, began_s=began_s)
        self._scene.begin()
        self._start_members('client_process', CLIENT_GROUPS)
        playing = asyncio.ensure_future(self._operate())
        last_s = self._scene.ends_s + _LAST_ANSWERS_S
        done, _ = await asyncio.wait(
            (playing,), timeout=last_s - time.monotonic()
        )
        for played in done:
            # A player that failed ends the run.
            played.result()
        await asyncio.sleep(last_s - time.monotonic())
        playing.cancel()

    async def _start_nodes(self) -> None:
        hosts = self._scene.first_hosts
        for host in hosts:
            await self._stage.start_node(host)
        await wait_until_ready(hosts)
        await self._watch.ask()

    async def _operate(self) -> None:
        players = operator_players(self._stage)
        playing = play_all(self._scene, players)
        await asyncio.gather(playing, self._watch.run())

    def _start_members(self, module: str, groups: int) -> None:
        folder = self._stage.folder
        scene = folder / f'{module}.json'
        self._scene.write(scene)
        for group in range(groups):
            name = f'{module}-{group}'
            with (folder / f'{name}.log').open('wb') as log:
                member = subprocess.Popen(
                    [
                        sys.executable,
                        '-m',
                        f'tools.site_rig.{module}',
                        str(scene),
                        str(group),
                        str(folder / f'{name}.jsonl'),
                    ],
                    stdout=log,
                    stderr=subprocess.STDOUT,
                )
            self._members.append(member)

    async def _end(self) -> None:
        for member in self._members:
            member.terminate()
        for member in self._members:
            await asyncio.to_thread(_end_member, member)
        await self._stage.end()


def _end_member(member: subprocess.Popen[bytes]) -> None:
    try:
        member.wait(_END_S)
    except subprocess.TimeoutExpired:
        print(f'process {member.pid} did not end, it is killed')
        member.kill()
        member.wait()
