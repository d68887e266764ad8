"""What all processes of a run share: hosts, disruptions, the clock."""

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
    link_mbps: float = 1000

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
    """Planned work or trouble at a time after the start of the load."""

    at_s: float
    kind: str
    host: str = ''
    how: str = ''
    # A burst of requests meets the signal.
    is_busy: bool = False
    idle_limit_s: float = 0
    # How strong it is, how many it strikes and how long it lasts.
    strength: float = 0
    share: float = 1
    for_s: float = 0
    zone: str = ''
    to_zone: str = ''

    def lasts_at(self, load_s: float) -> bool:
        """Tell whether it goes on at a time after the start of the load."""
        return self.at_s <= load_s < self.at_s + self.for_s


class Scene(msgspec.Struct, frozen=True, kw_only=True):
    """One run; the load begins at ``began_s`` of the steady clock."""

    site: Site
    seed: int
    hosts: tuple[Host, ...]
    disruptions: tuple[Disruption, ...]
    folder: str
    length_s: float
    rate_ratio: float
    began_s: float = 0

    def host_named(self, name: str) -> Host:
        """Return a host."""
        return next(host for host in self.hosts if host.name == name)

    @property
    def ends_s(self) -> float:
        """Return the end of the load."""
        return self.began_s + self.length_s

    def write(self, path: pathlib.Path) -> None:
        """Write it for the other processes."""
        path.write_bytes(msgspec.json.encode(self))


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
                link_mbps=machines.link_mbps,
                group=number % groups,
            )
        )
    return tuple(hosts)
