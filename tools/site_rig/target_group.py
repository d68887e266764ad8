"""The targets that a process serves, by the names of their hosts."""

import asyncio
import functools
import random

from tools.site_rig.heartbeats import send_heartbeats
from tools.site_rig.member import Member
from tools.site_rig.scene import Host
from tools.site_rig.target import SiteTarget
from tools.site_rig.target_connection import TargetConnection
from tools.site_rig.target_troubles import TargetTroubles


class TargetGroup:
    """Starts targets; players find them here."""

    def __init__(self, *, member: Member) -> None:
        self.member = member
        self.targets: dict[str, SiteTarget] = {}
        self._beats: list[asyncio.Task[None]] = []

    async def start(self, host: Host) -> None:
        """Start the target of a host."""
        scene = self.member.scene
        rng = random.Random(f'{scene.seed} {host.name}')  # noqa: S311
        target = SiteTarget(
            host=host,
            site=scene.site,
            records=self.member.records,
            rng=rng,
            troubles=TargetTroubles(rng=rng),
        )
        await _listen(target)
        self.targets[host.name] = target
        slots = scene.site.service_named(host.service).slots
        beats = asyncio.ensure_future(send_heartbeats(target, slots))
        self._beats.append(beats)


async def _listen(target: SiteTarget) -> None:
    await asyncio.get_running_loop().create_server(
        functools.partial(TargetConnection, app=target),
        target.host.ip,
        target.host.target_port,
    )
