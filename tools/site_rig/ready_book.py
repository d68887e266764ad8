"""Which machines get new work, by the answers of their nodes."""

import collections
from collections.abc import Iterable

from tools.site_rig.scene import Host

_MISSES_OUT = 2
_LEAST_SHARE_IN = 0.5


class ReadyBook:
    """Misses of nodes, by the names of their hosts.

    A node is out after two misses in a row and before its first answer.
    """

    def __init__(self) -> None:
        self._misses: dict[str, int] = {}

    def note(self, host: Host, *, is_ready: bool) -> None:
        """Note what a node answered, if it did."""
        misses = self._misses.get(host.name, _MISSES_OUT)
        self._misses[host.name] = 0 if is_ready else misses + 1

    def taking(self, hosts: Iterable[Host]) -> frozenset[str]:
        """Return which of the present hosts get new work.

        All of a failure domain do where fewer than half of its nodes are in.
        """
        by_zone = collections.defaultdict(list)
        for host in hosts:
            by_zone[host.zone].append(host.name)
        return frozenset(
            name for names in by_zone.values() for name in self._in(names)
        )

    def _in(self, names: list[str]) -> list[str]:
        found = [
            name
            for name in names
            if self._misses.get(name, _MISSES_OUT) < _MISSES_OUT
        ]
        is_enough = len(found) >= _LEAST_SHARE_IN * len(names)
        return found if is_enough else names
