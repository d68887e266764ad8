"""The links between the hosts of a run, and what is wrong with them."""

import contextlib
import itertools
import pathlib
import socket
from collections.abc import Iterable, Iterator

import msgspec

from tools.site_rig.link_pages import (
    UPDATE_PORT,
    ConnectionFault,
    LinkPage,
    write_page,
)
from tools.site_rig.scene import Host
from tools.site_rig.site import Net

_MS_PER_S = 1000
_UPDATE = b'turn'


class Impairment(msgspec.Struct, frozen=True, kw_only=True):
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
        self._impairments: list[Impairment] = []
        self._faults: dict[str, list[ConnectionFault]] = {}
        self._numbers = itertools.count(1)
        self._updates = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._updates.setblocking(False)

    def write(self, host: Host) -> None:
        """Write the page of a host."""
        write_page(self._folder / f'{host.name}.links', self.page(host))

    @contextlib.contextmanager
    def impaired(self, *impairments: Impairment) -> Iterator[None]:
        """Impairment links for as long as it lasts."""
        self._impairments.extend(impairments)
        self._tell(self._hosts)
        try:
            yield
        finally:
            for impairment in impairments:
                self._impairments.remove(impairment)
            self._tell(self._hosts)

    def fail_connections(
        self,
        names: Iterable[str],
        others: Iterable[str],
        how: str,
        share: float,
    ) -> None:
        """End part of the connections between hosts, at both of their ends.

        Without ``others`` it is about all connections of the first ones.
        """
        hit, rest = frozenset(names), frozenset(others)
        number = next(self._numbers)
        for name in self._hosts:
            only = rest if name in hit else hit
            if name in hit or name in rest or not rest:
                fault = ConnectionFault(
                    number=number,
                    how=how,
                    share=share,
                    only=tuple(sorted(self._hosts[each].ip for each in only)),
                )
                self._faults.setdefault(name, []).append(fault)
        self._tell(self._hosts)

    def page(self, host: Host) -> LinkPage:
        """Return what the process of a host is told."""
        reach = [
            impairment
            for impairment in self._impairments
            if host.name in impairment.receivers
        ]
        leave = [
            impairment
            for impairment in self._impairments
            if host.name in impairment.senders
        ]
        refusing = [impairment for impairment in reach if impairment.refuses]
        cutting = [impairment for impairment in reach if impairment.is_cut]
        return LinkPage(
            ip=host.ip,
            delays_s=self._delays_s(host),
            deaf_to=self._senders(host, cutting),
            refused_by=self._senders(host, refusing),
            losses={
                ip: impairment.loss
                for impairment in reach
                if impairment.loss and not impairment.is_cut
                for ip in self._senders(host, (impairment,))
            },
            rates_mbps={
                self._hosts[name].ip: impairment.rate_mbps
                for impairment in leave
                if impairment.rate_mbps
                for name in impairment.receivers - {host.name}
            },
            faults=tuple(self._faults.get(host.name, ())),
        )

    def close(self) -> None:
        """Tell nobody any more."""
        self._updates.close()

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

    def _senders(
        self, host: Host, impairments: Iterable[Impairment]
    ) -> tuple[str, ...]:
        addresses = {
            self._hosts[name].ip
            for impairment in impairments
            for name in impairment.senders
        }
        return tuple(sorted(addresses - {host.ip}))

    def _tell(self, names: Iterable[str]) -> None:
        for name in names:
            host = self._hosts[name]
            self.write(host)
            with contextlib.suppress(OSError):
                self._updates.sendto(_UPDATE, (host.ip, UPDATE_PORT))
