"""The targets of one group of hosts: a process of the rig."""

import asyncio
import sys

from tools.site_rig.member import Member, run_member
from tools.site_rig.player import play_all
from tools.site_rig.target_group import TargetGroup
from tools.site_rig.target_players import target_players


async def serve_targets(member: Member) -> None:
    """Serve for ever, and play what happens to targets."""
    group = TargetGroup(member=member)
    for host in member.scene.first_hosts:
        if host.group == member.group:
            await group.start(host)
    scene = await member.scene.begun()
    await play_all(scene, target_players(group))
    await asyncio.Event().wait()


if __name__ == '__main__':
    run_member(serve_targets, sys.argv[1:])
