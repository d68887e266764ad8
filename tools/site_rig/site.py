"""The part of a site file that the rig plays."""

import math
import pathlib
import random
import tomllib
from typing import Any

import msgspec

from tools.site_rig.unread_fields import unread_fields


class Distribution(msgspec.Struct, frozen=True, kw_only=True):
    """Log-normal values with a tail and an upper bound."""

    mean: float
    spread: float = 0
    tail: float = 0
    tail_x: float = 1
    max: float = 0

    def draw(self, rng: random.Random) -> float:
        """Return one value."""
        drawn = self.mean * math.exp(
            rng.gauss(0, self.spread) - self.spread**2 / 2
        )
        if rng.random() < self.tail:
            drawn *= self.tail_x
        return min(drawn, self.max)


class CallRule(
    msgspec.Struct, frozen=True, kw_only=True, rename={'name': 'class'}
):
    """Calls that a run makes."""

    name: str
    times: int = 1
    share: float = 1
    together: bool = False


class RequestClass(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of request."""

    name: str
    service: str
    kind: str
    work_ms: Distribution
    deadline_ms: float
    aim_ms: float
    also: tuple[str, ...] = ()
    method: str = 'GET'
    habit: str = 'pool'
    priority: int = 0
    retries: int = 0
    inner: bool = False
    error_share: float = 0
    timeout_ms: float = 0
    req_bytes: Distribution = Distribution(mean=0)
    resp_bytes: Distribution = Distribution(mean=2000, max=2000)
    calls: tuple[CallRule, ...] = ()

    @property
    def is_idempotent(self) -> bool:
        """Tell whether it may run more than once."""
        return self.kind == 'safe'

    @property
    def limit_ms(self) -> float:
        """Return the time limit of its route."""
        return self.timeout_ms or self.deadline_ms


class ServiceRule(msgspec.Struct, frozen=True, kw_only=True):
    """The targets of a service."""

    name: str
    slots: int
    queue: int
    conn_cap: int
    speeds: tuple[float, ...]
    # A new target works ``cold_x`` times as long at first.
    cold_s: float = 0
    cold_x: float = 1


class Machines(msgspec.Struct, frozen=True, kw_only=True):
    """Machines of one failure domain and service."""

    zone: str
    count: int
    app: str
    memory_mb: float
    fds: int = 4100


class Zone(msgspec.Struct, frozen=True, kw_only=True):
    """A failure domain."""

    name: str
    region: str


class Shape(msgspec.Struct, frozen=True, kw_only=True):
    """How a rate swings."""

    swing: float = 0
    period_s: float = 1
    phase: float = 0


class Traffic(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of the clients of one failure domain."""

    zone: str
    mix: dict[str, float]
    per_s: float
    clients: int
    shape: Shape = Shape()


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of the rules."""

    drain_ms: float
    config_ms: float
    grace_s: float
    budget_slack: float
    touch_ms: float = 3000


class PlanEntry(
    msgspec.Struct, frozen=True, kw_only=True, rename={'ratio': 'x'}
):
    """A word of a day's plan or faults; ``None`` is the word's usual value."""

    kind: str
    at: float = 0
    how: str = ''
    share: float | None = None
    count: int | None = None
    ratio: float | None = None
    gap_s: float = 1
    for_s: float | None = None
    service: str = ''
    zone: str = ''
    to_zone: str = ''

    @property
    def hows(self) -> frozenset[str]:
        """Return the words of ``how``."""
        return frozenset(self.how.split())


class Closing(msgspec.Struct, frozen=True, kw_only=True):
    """What strikes all machines at the end of a day."""

    kind: str
    down_s: float
    how: str = ''

    @property
    def hows(self) -> frozenset[str]:
        """Return the words of ``how``."""
        return frozenset(self.how.split())


class Day(msgspec.Struct, frozen=True, kw_only=True):
    """A day: its plan, faults and traffic."""

    name: str
    plan: tuple[PlanEntry, ...] = ()
    faults: tuple[PlanEntry, ...] = ()
    closing: Closing | None = None
    traffic: tuple[Traffic, ...] = ()

    @property
    def entries(self) -> tuple[PlanEntry, ...]:
        """Return planned work and faults."""
        return self.plan + self.faults


class Net(msgspec.Struct, frozen=True, kw_only=True):
    """Delays of links, one way."""

    client_ms: float = 0
    in_zone_ms: float = 0
    cross_zone_ms: float = 0
    cross_region_ms: float = 0
    region_mbps: float = 0

    @property
    def not_played(self) -> tuple[str, ...]:
        """Return what of it the rig leaves out."""
        left_out = {
            'in_zone_ms between nodes': self.in_zone_ms,
            'cross_region_ms to the store': self.cross_region_ms,
            'region_mbps': self.region_mbps,
        }
        return tuple(
            f'{name} ({figure:g})'
            for name, figure in left_out.items()
            if figure
        )

    def delay_ms(
        self, zone: str, region: str, to_zone: str, to_region: str
    ) -> float:
        """Return the delay between two machines."""
        if region != to_region:
            return self.cross_region_ms
        return 0 if zone == to_zone else self.cross_zone_ms


class Site(msgspec.Struct, frozen=True, kw_only=True):
    """A site file."""

    name: str
    length_s: float
    zones: tuple[Zone, ...]
    machines: tuple[Machines, ...]
    services: tuple[ServiceRule, ...]
    classes: tuple[RequestClass, ...]
    traffic: tuple[Traffic, ...]
    bounds: Bounds
    troubles: tuple[PlanEntry, ...] = ()
    net: Net = Net()
    day: tuple[Day, ...]
    # Fields of the file that the rig leaves out, as lines.
    unread: tuple[str, ...] = ()

    def class_named(self, name: str) -> RequestClass:
        """Return a kind of request."""
        return next(found for found in self.classes if found.name == name)

    def day_named(self, name: str) -> Day:
        """Return a day."""
        return next(found for found in self.day if found.name == name)

    def service_named(self, name: str) -> ServiceRule:
        """Return a service."""
        return next(found for found in self.services if found.name == name)


def load_site(path: pathlib.Path) -> Site:
    """Read a site file; what the rig doesn't play is left out."""
    content: dict[str, Any] = tomllib.loads(path.read_text('utf-8'))
    site = msgspec.convert(content, Site, strict=False)
    return msgspec.structs.replace(site, unread=unread_fields(content, site))
