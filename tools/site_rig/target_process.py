"""The targets of one group of hosts: a process of the rig."""

import asyncio
import functools
import pathlib
import random
import sys

from tools.site_rig.heartbeats import send_heartbeats
from tools.site_rig.load_clock import LoadClock
from tools.site_rig.member import Member, run_member
from tools.site_rig.scene import Host
from tools.site_rig.target import SiteTarget
from tools.site_rig.target_connection import TargetConnection
from tools.site_rig.target_troubles import TargetTroubles


async def serve_targets(member: Member) -> None:
    """Serve for ever."""
    scene = member.scene
    clock = LoadClock(folder=pathlib.Path(scene.folder))
    beats = []
    for host in scene.hosts:
        if host.group == member.group:
            target = _target(host, member, clock)
            await _listen(target)
            slots = scene.site.service_named(host.service).slots
            beats.append(send_heartbeats(target, slots))
    await asyncio.gather(*beats)


def _target(host: Host, member: Member, clock: LoadClock) -> SiteTarget:
    scene = member.scene
    rng = random.Random(f'{scene.seed} {host.name}')  # noqa: S311
    disruptions = tuple(
        found for found in scene.disruptions if found.host == host.name
    )
    return SiteTarget(
        host=host,
        site=scene.site,
        records=member.records,
        rng=rng,
        troubles=TargetTroubles(disruptions=disruptions, clock=clock, rng=rng),
    )


async def _listen(target: SiteTarget) -> None:
    await asyncio.get_running_loop().create_server(
        functools.partial(TargetConnection, app=target),
        target.host.ip,
        target.host.target_port,
    )


if __name__ == '__main__':
    run_member(serve_targets, sys.argv[1:])
