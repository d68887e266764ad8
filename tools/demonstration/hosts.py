"""Hosts of the demo: one target and one node each, all on loopback."""

import itertools
import socket
from collections.abc import Iterator

import msgspec

from tools.demonstration.deployment import Deployment, Service, Sizes

_LOOPBACK = '127.0.0.1'
_FIRST_PORT = 20_000
_LAST_PORT = 31_000
_PORT_FIELDS = (
    'target_port',
    'entry_port',
    'peer_port',
    'ops_port',
    'gossip_port',
)


class Host(msgspec.Struct, frozen=True, kw_only=True):
    """One host and its ports."""

    name: str
    service: Service
    region: str
    failure_domain: str
    target_port: int
    entry_port: int
    peer_port: int
    ops_port: int
    gossip_port: int

    @property
    def target(self) -> str:
        """Return the address of the target."""
        return f'{_LOOPBACK}:{self.target_port}'

    @property
    def entry(self) -> str:
        """Return the address of the node's entry port."""
        return f'{_LOOPBACK}:{self.entry_port}'

    @property
    def ops(self) -> str:
        """Return the address of the node's operators' port."""
        return f'{_LOOPBACK}:{self.ops_port}'


def free_ports() -> Iterator[int]:
    """Yield ports that nobody listens on."""
    for port in range(_FIRST_PORT, _LAST_PORT):
        if _is_free(port):
            yield port


def hosts_of(
    deployment: Deployment, sizes: Sizes, ports: Iterator[int]
) -> tuple[Host, ...]:
    """Return the hosts of all services, spread over the places."""
    places = itertools.cycle(deployment.places)
    return tuple(
        _host(service, number, next(places), ports)
        for service in deployment.services
        for number in range(1, sizes.instances + 1)
    )


def _host(
    service: Service,
    number: int,
    place: tuple[str, str],
    ports: Iterator[int],
) -> Host:
    region, failure_domain = place
    return Host(
        name=f'{service.name}-{number}',
        service=service,
        region=region,
        failure_domain=failure_domain,
        **dict(zip(_PORT_FIELDS, ports, strict=False)),
    )


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((_LOOPBACK, port))
            except OSError:
                return False
    return True
