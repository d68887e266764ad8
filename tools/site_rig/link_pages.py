"""What a node's process is told of its links, as a file of its host."""

import pathlib

import msgspec

# A datagram to this port of a host says that its file has changed.
POKE_PORT = 8398


class Strike(msgspec.Struct, frozen=True, kw_only=True):
    """Ends part of the open connections at once.

    Both ends of a connection draw the same number of it, and ``number`` tells
    one strike from another. It is about connections to ``only`` these hosts if
    there are any.
    """

    number: int
    how: str
    share: float
    only: tuple[str, ...] = ()


class LinkPage(msgspec.Struct, frozen=True, kw_only=True):
    """The links of the host at ``ip`` to the others, by their addresses.

    Packets of ``deaf_to`` don't arrive, and a part of those in ``losses``.
    Connections to ``refused_by`` are refused. What is sent to a host is as
    slow as ``rates_mbps`` say.
    """

    ip: str
    delays_s: dict[str, float] = {}
    deaf_to: tuple[str, ...] = ()
    refused_by: tuple[str, ...] = ()
    losses: dict[str, float] = {}
    rates_mbps: dict[str, float] = {}
    strikes: tuple[Strike, ...] = ()

    def is_elsewhere(self, ip: str) -> bool:
        """Tell whether an address is that of another host."""
        return ip in self.delays_s


def write_page(path: pathlib.Path, page: LinkPage) -> None:
    """Write the file of a host."""
    written = path.with_suffix('.new')
    written.write_bytes(msgspec.json.encode(page))
    written.replace(path)


def read_page(path: pathlib.Path) -> LinkPage:
    """Read the file of a host."""
    return msgspec.json.decode(path.read_bytes(), type=LinkPage)
