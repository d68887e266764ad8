"""What all processes of a run share: hosts, disruptions, the clock."""

import asyncio
import pathlib
from types import MappingProxyType

import msgspec

from tools.site_rig.site import Site

ROUTE_HOST = 'site.example'
# Every host has an address of its own, so that ports never collide.
_PORTS = MappingProxyType(
    {
        'callers': 8304,
        'peers': 8300,
        'ready': 8302,
        'heartbeats': 8306,
        'gossip': 7620,
    }
)
_TARGET_PORT = 8301
_METRICS_PORT = 9464
_POLL_S = 0.05


class Host(msgspec.Struct, frozen=True, kw_only=True):
    """A machine: a node and its target."""

    name: str
    ip: str
    service: str
    zone: str
    region: str
    speed: float
    memory_mb: float
    group: int
    fds: int = 4100
    # Seconds after the start of the load; 0 is from the start, and for ever.
    arrives_s: float = 0
    leaves_s: float = 0

    def address(self, role: str) -> str:
        """Return the address of a role of the node."""
        return f'{self.ip}:{_PORTS[role]}'

    def port(self, role: str) -> int:
        """Return the port of a role of the node."""
        return _PORTS[role]

    @property
    def target_port(self) -> int:
        """Return the port of the target."""
        return _TARGET_PORT

    @property
    def target(self) -> str:
        """Return the address of the target."""
        return f'{self.ip}:{_TARGET_PORT}'

    @property
    def metrics_port(self) -> int:
        """Return the port of the node's metrics."""
        return _METRICS_PORT


class Disruption(msgspec.Struct, frozen=True, kw_only=True):
    """What happens to one host, or to all, after the start of the load.

    ``ratio`` (``x`` in a site file) and ``for_s`` mean what they mean for the
    word that it comes from, or what its maker says.
    """

    at_s: float
    kind: str
    host: str = ''
    how: str = ''
    ratio: float = 0
    for_s: float = 0
    # Part of the clients that a word is about, and where they are or go.
    share: float = 1
    zone: str = ''
    to_zone: str = ''
    # A burst of requests meets the signal.
    is_busy: bool = False
    idle_limit_s: float = 0
    # Both ends of the links that a word is about.
    hosts: tuple[str, ...] = ()
    others: tuple[str, ...] = ()


class Scene(msgspec.Struct, frozen=True, kw_only=True):
    """One run; the load begins at ``began_s`` of the steady clock."""

    site: Site
    seed: int
    hosts: tuple[Host, ...]
    disruptions: tuple[Disruption, ...]
    folder: str
    length_s: float
    rate_ratio: float
    # Part of the clients that use their connections oddly.
    odd_share: float = 0
    began_s: float = 0
    # Words of the day that the rig leaves out.
    not_played: tuple[str, ...] = ()

    def host_named(self, name: str) -> Host:
        """Return a host."""
        return next(host for host in self.hosts if host.name == name)

    @property
    def ends_s(self) -> float:
        """Return the end of the load."""
        return self.began_s + self.length_s

    @property
    def first_hosts(self) -> tuple[Host, ...]:
        """Return the hosts that are there from the start."""
        return tuple(host for host in self.hosts if not host.arrives_s)

    def write(self, path: pathlib.Path) -> None:
        """Write it for the other processes."""
        written = path.with_suffix('.new')
        written.write_bytes(msgspec.json.encode(self))
        written.replace(path)

    def begin(self) -> None:
        """Tell the processes that run already when the load begins."""
        self.write(self._begun_path)

    async def begun(self) -> 'Scene':
        """Wait until it is known when the load begins."""
        while not self._begun_path.exists():
            await asyncio.sleep(_POLL_S)
        return read_scene(self._begun_path)

    @property
    def _begun_path(self) -> pathlib.Path:
        return pathlib.Path(self.folder) / 'begun.json'


def read_scene(path: pathlib.Path) -> Scene:
    """Read what the first process has written."""
    return msgspec.json.decode(path.read_bytes(), type=Scene, strict=False)


def hosts_of(
    site: Site, network: str, zones: int, groups: int
) -> tuple[Host, ...]:
    """Return the hosts of the first failure domains, 0 for all."""
    chosen = site.zones[: zones or None]
    regions = {zone.name: zone.region for zone in chosen}
    hosts: list[Host] = []
    places = [
        machines
        for machines in site.machines
        for _ in range(machines.count)
        if machines.zone in regions
    ]
    for number, machines in enumerate(places, start=1):
        speeds = site.service_named(machines.app).speeds
        of_service = sum(host.service == machines.app for host in hosts)
        hosts.append(
            Host(
                name=f'{machines.app}-{machines.zone}-{number}',
                ip=f'{network}.{number}',
                service=machines.app,
                zone=machines.zone,
                region=regions[machines.zone],
                speed=speeds[of_service % len(speeds)],
                memory_mb=machines.memory_mb,
                fds=machines.fds,
                group=number % groups,
            )
        )
    return tuple(hosts)
