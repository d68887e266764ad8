"""The links between the hosts of a run, and what is wrong with them."""

import contextlib
import itertools
import pathlib
import socket
from collections.abc import Iterable, Iterator

import msgspec

from tools.site_rig.link_pages import POKE_PORT, LinkPage, Strike, write_page
from tools.site_rig.scene import Host
from tools.site_rig.site import Net

_MS_PER_S = 1000
_POKE = b'turn'


class Harm(msgspec.Struct, frozen=True, kw_only=True):
    """What is wrong with the links from some hosts to others.

    A part of the packets is lost; all of them are if the links are cut. Links
    that refuse turn new connections away.
    """

    senders: frozenset[str]
    receivers: frozenset[str]
    loss: float = 0
    refuses: bool = False
    rate_mbps: float = 0

    @property
    def is_cut(self) -> bool:
        """Tell whether nothing passes."""
        return self.loss >= 1


class Links:
    """Writes the pages of hosts, and tells their processes of changes."""

    def __init__(
        self, *, net: Net, hosts: Iterable[Host], folder: pathlib.Path
    ) -> None:
        self._net = net
        self._hosts = {host.name: host for host in hosts}
        self._folder = folder
        self._harms: list[Harm] = []
        self._strikes: dict[str, list[Strike]] = {}
        self._numbers = itertools.count(1)
        self._pokes = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._pokes.setblocking(False)

    def write(self, host: Host) -> None:
        """Write the page of a host."""
        write_page(self._folder / f'{host.name}.links', self.page(host))

    @contextlib.contextmanager
    def harmed(self, *harms: Harm) -> Iterator[None]:
        """Harm links for as long as it lasts."""
        self._harms.extend(harms)
        self._tell(self._hosts)
        try:
            yield
        finally:
            for harm in harms:
                self._harms.remove(harm)
            self._tell(self._hosts)

    def strike(
        self,
        names: Iterable[str],
        others: Iterable[str],
        how: str,
        share: float,
    ) -> None:
        """End part of the connections between hosts, at both of their ends.

        Without ``others`` it is about all connections of the first ones.
        """
        struck, rest = frozenset(names), frozenset(others)
        number = next(self._numbers)
        for name in self._hosts:
            only = rest if name in struck else struck
            if name in struck or name in rest or not rest:
                strike = Strike(
                    number=number,
                    how=how,
                    share=share,
                    only=tuple(sorted(self._hosts[each].ip for each in only)),
                )
                self._strikes.setdefault(name, []).append(strike)
        self._tell(self._hosts)

    def page(self, host: Host) -> LinkPage:
        """Return what the process of a host is told."""
        reach = [harm for harm in self._harms if host.name in harm.receivers]
        leave = [harm for harm in self._harms if host.name in harm.senders]
        refusing = [harm for harm in reach if harm.refuses]
        cutting = [harm for harm in reach if harm.is_cut]
        return LinkPage(
            ip=host.ip,
            delays_s=self._delays_s(host),
            deaf_to=self._senders(host, cutting),
            refused_by=self._senders(host, refusing),
            losses={
                ip: harm.loss
                for harm in reach
                if harm.loss and not harm.is_cut
                for ip in self._senders(host, (harm,))
            },
            rates_mbps={
                self._hosts[name].ip: harm.rate_mbps
                for harm in leave
                if harm.rate_mbps
                for name in harm.receivers - {host.name}
            },
            strikes=tuple(self._strikes.get(host.name, ())),
        )

    def close(self) -> None:
        """Tell nobody any more."""
        self._pokes.close()

    def _delays_s(self, host: Host) -> dict[str, float]:
        return {
            other.ip: self._delay_ms(host, other) / _MS_PER_S
            for other in self._hosts.values()
            if other.ip != host.ip
        }

    def _delay_ms(self, host: Host, other: Host) -> float:
        return self._net.delay_ms(
            host.zone, host.region, other.zone, other.region
        )

    def _senders(self, host: Host, harms: Iterable[Harm]) -> tuple[str, ...]:
        addresses = {
            self._hosts[name].ip for harm in harms for name in harm.senders
        }
        return tuple(sorted(addresses - {host.ip}))

    def _tell(self, names: Iterable[str]) -> None:
        for name in names:
            host = self._hosts[name]
            self.write(host)
            with contextlib.suppress(OSError):
                self._pokes.sendto(_POKE, (host.ip, POKE_PORT))
