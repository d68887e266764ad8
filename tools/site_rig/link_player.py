"""Plays what is wrong with the links of nodes, and ends connections."""

import asyncio
import contextlib
from collections.abc import Iterator

import msgspec

from tools.site_rig.links import Harm
from tools.site_rig.player import Player
from tools.site_rig.scene import Disruption
from tools.site_rig.stage import Stage

_ALL_LOST = 1.0
_REFUSING = frozenset(('reset', 'refuse'))


class LinkPlayer(Player):
    """Harms links for as long as a disruption lasts."""

    def __init__(self, *, stage: Stage) -> None:
        self._stage = stage
        self._plays = {
            'link_cut': self._cut,
            'lossy': self._harm,
            'link_squeeze': self._harm,
            'reset_conns': self._strike,
        }
        self.kinds = frozenset(self._plays)

    async def play(self, disruption: Disruption) -> None:
        """Play one disruption, which is trouble of its machines."""
        with self._troubled(disruption):
            await self._plays[disruption.kind](disruption)

    async def _cut(self, disruption: Disruption) -> None:
        links = self._stage.links
        with links.harmed(*harms_of(disruption)):
            if is_refusing(disruption):
                links.strike(
                    disruption.hosts, disruption.others, 'reset', _ALL_LOST
                )
            await asyncio.sleep(disruption.for_s)

    async def _harm(self, disruption: Disruption) -> None:
        with self._stage.links.harmed(*harms_of(disruption)):
            await asyncio.sleep(disruption.for_s)

    async def _strike(self, disruption: Disruption) -> None:
        self._stage.links.strike(
            disruption.hosts, (), disruption.how, disruption.ratio
        )

    @contextlib.contextmanager
    def _troubled(self, disruption: Disruption) -> Iterator[None]:
        with contextlib.ExitStack() as stack:
            for name in troubled_hosts(disruption):
                of_host = msgspec.structs.replace(disruption, host=name)
                stack.enter_context(self._stage.trouble(of_host))
            yield


def harms_of(disruption: Disruption) -> tuple[Harm, ...]:
    """Return what a disruption does to links, in both directions or one."""
    loss = {'link_cut': _ALL_LOST, 'lossy': disruption.ratio}
    is_squeeze = disruption.kind == 'link_squeeze'
    inward = Harm(
        senders=frozenset(disruption.others),
        receivers=frozenset(disruption.hosts),
        loss=loss.get(disruption.kind, 0),
        refuses=is_refusing(disruption),
        rate_mbps=disruption.ratio if is_squeeze else 0,
    )
    outward = msgspec.structs.replace(
        inward, senders=inward.receivers, receivers=inward.senders
    )
    is_one_way = 'one_way' in disruption.how.split()
    return (inward,) if is_one_way else (inward, outward)


def is_refusing(disruption: Disruption) -> bool:
    """Tell whether a cut ends connections and refuses new ones."""
    return bool(_REFUSING & set(disruption.how.split()))


def troubled_hosts(disruption: Disruption) -> tuple[str, ...]:
    """Return the machines whose links are disrupted, for the rules.

    Machines at the other end are not, unless it is about both ends alike.
    """
    is_mutual = 'mutual' in disruption.how.split()
    others = disruption.others if is_mutual else ()
    return (*disruption.hosts, *others)
