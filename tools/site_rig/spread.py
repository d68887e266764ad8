"""Spreads the words of a day over hosts, and finds addresses for new ones."""

import math
import random
from collections.abc import Callable, Iterable, Iterator

import msgspec

from tools.site_rig.scene import Disruption, Host
from tools.site_rig.site import PlanEntry, Site


class Spread:
    """The hosts of a day while its words are planned, by time."""

    def __init__(
        self, *, site: Site, hosts: Iterable[Host], length_s: float, seed: int
    ) -> None:
        self.site = site
        self.length_s = length_s
        self.rng = random.Random(seed)  # noqa: S311
        self._hosts = {host.name: host for host in hosts}
        self._dry: list[tuple[str, float]] = []

    @property
    def hosts(self) -> tuple[Host, ...]:
        """Return all hosts, those that come later too."""
        return tuple(self._hosts.values())

    def there(self, at_s: float) -> list[Host]:
        """Return the hosts that are there and aren't about to leave."""
        return [
            host
            for host in self.hosts
            if host.arrives_s <= at_s and not host.leaves_s
        ]

    def machines(self, entry: PlanEntry, share: float) -> list[Host]:
        """Return the hosts whose nodes a word is about."""
        fitting = [
            host
            for host in self.there(entry.at)
            if not entry.zone or entry.zone == host.zone
        ]
        return self._sample(entry, share, fitting, len(fitting))

    def servers(self, entry: PlanEntry, share: float) -> list[Host]:
        """Return the hosts whose targets a word is about, one is spared."""
        spared = 0 if 'all' in entry.hows else 1
        by_service = self._services(entry.at, least=1 + spared)
        if not by_service:
            return []
        service = entry.service or self.rng.choice(sorted(by_service))
        fitting = by_service.get(service, [])
        return self._sample(entry, share, fitting, len(fitting) - spared)

    def add(self, like: Host, at_s: float, *, ip: str = '') -> Host:
        """Add a host like another that arrives later."""
        number = len(self._hosts) + 1
        network = like.ip.rpartition('.')[0]
        host = msgspec.structs.replace(
            like,
            name=f'{like.service}-{like.zone}-{number}',
            ip=ip or f'{network}.{number}',
            arrives_s=at_s,
            leaves_s=0,
        )
        self._hosts[host.name] = host
        return host

    def dry_up(self, zone: str, until_s: float) -> None:
        """Let no hosts be had in a failure domain, '' for all, for a time."""
        self._dry.append((zone, until_s))

    def is_dry(self, host: Host, at_s: float) -> bool:
        """Tell whether no host like one is to be had then."""
        return any(
            zone in {'', host.zone} and at_s < until_s
            for zone, until_s in self._dry
        )

    def leave(self, host: Host, at_s: float) -> None:
        """Note when a host is gone."""
        leaving = msgspec.structs.replace(host, leaves_s=at_s)
        self._hosts[host.name] = leaving

    def _services(self, at_s: float, *, least: int) -> dict[str, list[Host]]:
        by_service: dict[str, list[Host]] = {}
        for host in self.there(at_s):
            by_service.setdefault(host.service, []).append(host)
        return {
            service: hosts
            for service, hosts in by_service.items()
            if len(hosts) >= least
        }

    def _sample(
        self, entry: PlanEntry, share: float, fitting: list[Host], most: int
    ) -> list[Host]:
        chosen = share if entry.share is None else entry.share
        count = entry.count or math.ceil(chosen * len(fitting))
        return self.rng.sample(fitting, max(0, min(count, most)))


Maker = Callable[[Spread, PlanEntry], Iterator[Disruption]]


class Word(msgspec.Struct, frozen=True, kw_only=True):
    """A word of a site file: what makes its disruptions.

    ``hows`` are the words of ``how`` that the maker heeds.
    """

    maker: Maker
    hows: frozenset[str] = frozenset()
    # What of it can't be played here.
    lacks: str = ''
