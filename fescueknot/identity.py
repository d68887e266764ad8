"""Identity, address and location of instances.

An instance is one start of a node, which runs beside one target. A restart on
the same host is a new instance with a higher incarnation.
"""

import msgspec

from fescueknot.decoding import Ipv4, Name, Port


class Address(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """IP address and TCP or UDP port."""

    host: Ipv4
    port: Port

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


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
