"""Settings of a node that relays calls: a JSON file, validated on load."""

import pathlib
from typing import Annotated

import msgspec

from fescueknot.errors import FescueknotError
from fescueknot.identity import Address, Place
from fescueknot.quotas.messages import MAX_SHARDS

ShardCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_SHARDS)]
PositiveMb = Annotated[float, msgspec.Meta(gt=0)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]


class RelaySettingsError(FescueknotError):
    """The settings can't be read or are not valid."""


class Ports(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses, ``ip:port``, that a node listens on.

    ``callers``: requests of callers and calls of the local target.
    ``peers``: requests of other nodes. ``ready``: readiness checks.
    ``heartbeats``: heartbeats and leave notices of the local target.
    ``gossip``: datagrams of other nodes; a node without this address reads
    everything from the store.
    """

    callers: str
    peers: str
    ready: str
    heartbeats: str
    gossip: str = ''


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Time limits and the retry budget.

    ``drain_s`` limits how long a leaving target accepts late arrivals,
    ``grace_s`` how long a stop may last, ``in_force_s`` how long a change of
    the routes may take to be in force everywhere. The retry budget applies to
    the whole fleet.
    """

    drain_s: float
    grace_s: float
    in_force_s: float = 2.5
    retry_ratio: float = 0.2
    retry_slack: float = 10
    retry_window_s: float = 10


class RelaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of a node; ``memory_mb`` is all that its process may use.

    ``regions`` are those of all failure domains of the deployment, so names
    may repeat; without them there is the node's own only. They and
    ``quota_shards``, the owners of quotas in each region, must be the same on
    all nodes.

    ``caller_connections`` limits the open connections of callers; with 0 the
    limit follows from the memory and the descriptors of the process. The kernel
    holds about ``caller_receive_bytes`` and ``caller_send_bytes`` for each.

    ``adaptive_domains``: for services whose targets report their speed, a
    share decides how many calls leave the failure domain, in place of fixed
    costs.
    """

    node: str
    service: str
    target: str
    region: str
    failure_domain: str
    ports: Ports
    bounds: Bounds
    object_store: str
    metrics_port: int = 0
    memory_mb: PositiveMb = 256
    caller_connections: NonNegativeInt = 0
    caller_receive_bytes: NonNegativeInt = 65_536
    caller_send_bytes: NonNegativeInt = 262_144
    log_bytes_per_s: int = 65_536
    regions: tuple[str, ...] = ()
    quota_shards: ShardCount = 1
    adaptive_domains: bool = True

    @property
    def place(self) -> Place:
        """Return the region and failure domain of the node."""
        return Place(region=self.region, failure_domain=self.failure_domain)

    @property
    def quota_regions(self) -> tuple[str, ...]:
        """Return each region that has a share of the quotas once."""
        return tuple(sorted(frozenset(self.regions or (self.region,))))


class SettingsFile:
    """A settings file that can be reloaded while the node runs."""

    def __init__(self, *, path: str) -> None:
        self._path = path
        self._loaded_mtime_ns = self._mtime_ns()
        self.current = load(path)

    def reload(self) -> RelaySettings | None:
        """Load the file again; return the settings if they have changed.

        Raises :class:`RelaySettingsError`; the current settings then stay.
        """
        self._loaded_mtime_ns = self._mtime_ns()
        settings = load(self._path)
        if settings == self.current:
            return None
        self.current = settings
        return settings

    def is_modified(self) -> bool:
        """Return whether the file was written since it was last read."""
        return self._mtime_ns() != self._loaded_mtime_ns

    def _mtime_ns(self) -> int:
        try:
            return pathlib.Path(self._path).stat().st_mtime_ns
        except OSError:
            return 0


def load(path: str) -> RelaySettings:
    """Load a settings file; raise :class:`RelaySettingsError`."""
    try:
        settings = _decode(pathlib.Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise RelaySettingsError(f'{path}: {error}') from error
    return settings


def parse_address(address: str) -> Address:
    """Parse an ``ip:port``; raise ``ValueError``."""
    host, colon, port = address.rpartition(':')
    if not colon or not port.isdigit():
        raise ValueError(f'"{address}" is no ip:port')
    return Address(host=host, port=int(port))


def _decode(text: bytes) -> RelaySettings:
    settings = msgspec.json.decode(text, type=RelaySettings)
    listen_addresses = filter(None, msgspec.structs.astuple(settings.ports))
    for address in (settings.target, settings.object_store, *listen_addresses):
        parse_address(address)
    return settings
