"""The clients of some failure domains: a process of the rig."""

import asyncio
import sys

from tools.site_rig.clients import Clients
from tools.site_rig.member import Member, run_member
from tools.site_rig.scene import Scene

CLIENT_GROUPS = 3


async def run_clients(member: Member) -> None:
    """Play the load of this group's failure domains."""
    domains = [
        traffic
        for number, traffic in enumerate(played_traffic(member.scene))
        if number % CLIENT_GROUPS == member.group
    ]
    await asyncio.gather(
        *(Clients(traffic=traffic, member=member).run() for traffic in domains)
    )


def played_traffic(scene: Scene) -> tuple:
    """Return the traffic of the failure domains that are played."""
    zones = {host.zone for host in scene.hosts}
    return tuple(
        traffic for traffic in scene.site.traffic if traffic.zone in zones
    )


if __name__ == '__main__':
    run_member(run_clients, sys.argv[1:])
