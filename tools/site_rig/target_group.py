"""The targets that a process serves, by the addresses of their hosts."""

import random

from tools.site_rig.member import Member
from tools.site_rig.scene import Host
from tools.site_rig.target import SiteTarget
from tools.site_rig.target_life import TargetLife


class TargetGroup:
    """Starts targets; players find them here."""

    def __init__(self, *, member: Member) -> None:
        self.member = member
        self._lives: dict[str, TargetLife] = {}
        self._starts = 0

    async def start(self, host: Host) -> None:
        """Start the target of a host, another one each time.

        What was at its address has ended then.
        """
        before = self._lives.pop(host.ip, None)
        if before is not None:
            before.end()
        self._starts += 1
        scene = self.member.scene
        rng = random.Random(f'{scene.seed} {host.name}')  # noqa: S311
        target = SiteTarget(
            host=host,
            site=scene.site,
            records=self.member.records,
            rng=rng,
            number=self._starts,
        )
        slots = scene.site.service_named(host.service).slots
        life = TargetLife(target=target, slots=slots)
        await life.begin()
        self._lives[host.ip] = life

    def life(self, host: Host) -> TargetLife | None:
        """Return the target of a host that is in this group, if any."""
        life = self._lives.get(host.ip)
        is_its = life is not None and life.target.host.name == host.name
        return life if is_its else None

    @property
    def targets(self) -> dict[str, SiteTarget]:
        """Return the targets by the names of their hosts."""
        lives = self._lives.values()
        return {life.target.host.name: life.target for life in lives}
