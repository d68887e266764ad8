"""The targets of one group of hosts: a process of the rig."""

import asyncio
import functools
import random
import sys

from tools.site_rig.heartbeats import send_heartbeats
from tools.site_rig.member import Member, run_member
from tools.site_rig.target import SiteTarget
from tools.site_rig.target_connection import TargetConnection


async def serve_targets(member: Member) -> None:
    """Serve for ever."""
    scene = member.scene
    beats = []
    for host in scene.hosts:
        if host.group == member.group:
            target = SiteTarget(
                host=host,
                site=scene.site,
                records=member.records,
                rng=random.Random(f'{scene.seed} {host.name}'),  # noqa: S311
            )
            await _listen(target)
            slots = scene.site.service_named(host.service).slots
            beats.append(send_heartbeats(target, slots))
    await asyncio.gather(*beats)


async def _listen(target: SiteTarget) -> None:
    await asyncio.get_running_loop().create_server(
        functools.partial(TargetConnection, app=target),
        target.host.ip,
        target.host.target_port,
    )


if __name__ == '__main__':
    run_member(serve_targets, sys.argv[1:])
