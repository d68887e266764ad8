"""Fleets of membership cores, for measurements and tests."""

import itertools

from fescueknot.bench.fakenetwork import FakeNetwork, FakeNode, Link
from fescueknot.gossip.peer_choice import PeerChoice, SpatialChoice
from fescueknot.identity import Place
from fescueknot.membership.announcements import Announcement, InstanceState
from fescueknot.membership.core import MembershipCore
from fescueknot.randomness import seeded

REGIONS = ('sierra', 'costa', 'austro', 'norte', 'oriente', 'sur')
GOSSIP_PORT = 7403
INSTANCES_PER_SERVICE = 6
SEED_COUNT = 3
CLOCK_SPREAD_S = 1000
_OCTET = 256


def places(*, regions: int, domains: int) -> tuple[Place, ...]:
    """Return ``domains`` failure domains spread over ``regions``."""
    spread = zip(itertools.cycle(REGIONS[:regions]), range(domains))
    return tuple(
        Place(region=region, failure_domain=f'{region}-{number}')
        for region, number in spread
    )


def announcement(
    number: int, *, place: Place, incarnation: int = 1_000_000
) -> Announcement:
    """Return the announcement of the instance ``number`` of a fleet."""
    service = f'service-{number // INSTANCES_PER_SERVICE}'
    high, low = divmod(number, _OCTET)
    return Announcement(
        name=f'{service}-{number % INSTANCES_PER_SERVICE}',
        incarnation=incarnation,
        sequence=1,
        state=InstanceState.SERVING,
        service=service,
        region=place.region,
        failure_domain=place.failure_domain,
        host=f'10.0.{high}.{low}',
        entry_port=7400,
        peer_port=7401,
        ops_port=7402,
        gossip_port=GOSSIP_PORT,
        slots=35,
        stated_at_s=incarnation // 1000,
    )


class Fleet:
    """Cores on a fake network, all of which know each other from the start."""

    def __init__(
        self,
        *,
        size: int,
        where: tuple[Place, ...],
        seed: int = 1,
        link: Link | None = None,
        choice: type[PeerChoice] = SpatialChoice,
        is_acquainted: bool = True,
    ) -> None:
        self._rng = seeded(seed=seed)
        self.network = FakeNetwork(rng=self._rng, link=link)
        self._announced = tuple(
            announcement(number, place=where[number % len(where)])
            for number in range(size)
        )
        self._choice = choice
        self._seeds = tuple(own.gossip for own in self._announced[:SEED_COUNT])
        self.nodes = tuple(map(self.start, self._announced))
        if is_acquainted:
            self._acquaint()

    @property
    def cores(self) -> tuple[MembershipCore, ...]:
        """Return the cores of the nodes that were there at first."""
        return tuple(node.core for node in self.nodes)

    def start(self, own: Announcement) -> FakeNode:
        """Start a node."""
        ahead_s = self._rng.uniform(0, CLOCK_SPREAD_S)
        core = MembershipCore(
            own=own,
            now_s=self.network.now_s + ahead_s,
            seeds=self._seeds,
            choice=self._choice(name=own.name, place=own.place),
        )
        return self.network.add(core, ahead_s=ahead_s)

    def _acquaint(self) -> None:
        for core in self.cores:
            for other in self._announced:
                core.view.catalog.merge(other, wall_s=0)
