"""Identity, address and location of instances.

An instance is one start of a node, which runs beside one target. A restart on
the same host is a new instance with a higher incarnation.
"""

import ipaddress

import msgspec

from fescueknot.decoding import Name

_MAX_PORT = 65_535


class Address(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """IP address and TCP or UDP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


def is_usable(address: Address) -> bool:
    """Return whether something may listen at an address read from outside.

    A host name is refused: a look-up of it would block.
    """
    try:
        ipaddress.IPv4Address(address.host)
    except ValueError:
        return False
    return 0 < address.port <= _MAX_PORT


class Place(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """Location of a host: a failure domain within a region."""

    region: Name
    failure_domain: Name


class InstanceId(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """Identity of one start of a node.

    ``name`` (service and host) is the same after a restart, ``incarnation``
    is the wall-clock time of the start in milliseconds.
    """

    name: str
    incarnation: int

    def __str__(self) -> str:
        """Return ``name#incarnation``."""
        return f'{self.name}#{self.incarnation}'
