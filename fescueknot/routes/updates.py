"""Handing newer routes from node to node."""

import collections

import msgspec

from fescueknot.routes.delta import RoutesDelta, compute_delta, patched
from fescueknot.routes.messages import Configuration

# Versions that follow each other at once; who is further behind gets all.
_KEPT_DELTAS = 8


class RoutesUpdate(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """What leads a node to a newer version: deltas in order, or all routes.

    Neither is there when the node asked has nothing newer.
    """

    whole: Configuration | None = None
    deltas: tuple[RoutesDelta, ...] = ()


class UpdateLog:
    """The last changes of the routes in force, for nodes that are behind."""

    def __init__(self) -> None:
        self._current: Configuration | None = None
        self._deltas: collections.deque[RoutesDelta] = collections.deque(
            maxlen=_KEPT_DELTAS
        )

    def advance(self, configuration: Configuration) -> None:
        """Take the configuration that is in force now."""
        if self._current is not None:
            self._deltas.append(compute_delta(self._current, configuration))
        self._current = configuration

    def since(self, version: int) -> RoutesUpdate:
        """Return what a node at ``version`` lacks."""
        current = self._current
        if current is None or version >= current.version:
            return RoutesUpdate()
        bases = [delta.base for delta in self._deltas]
        if version not in bases:
            return RoutesUpdate(whole=current)
        lacking = tuple(self._deltas)[bases.index(version) :]
        return RoutesUpdate(deltas=lacking)


def updated(
    current: Configuration | None, update: RoutesUpdate
) -> Configuration | None:
    """Return the configuration that an update leads to, ``None`` for none.

    Raises ``ValueError`` if the update doesn't fit the current one.
    """
    if update.whole is not None:
        return update.whole
    if not update.deltas:
        return None
    if current is None:
        raise ValueError('a delta without its base')
    for delta in update.deltas:
        current = patched(current, delta)
    return current
