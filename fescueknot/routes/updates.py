"""Updates by which a node brings another one to its version of routes."""

import collections

import msgspec

from fescueknot.routes.delta import RoutesDelta, apply_delta, compute_delta
from fescueknot.routes.messages import Configuration

# A node that is more versions behind gets the whole configuration.
_MAX_DELTAS = 8


class RoutesUpdate(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """Deltas in order of versions, or the whole configuration.

    Has neither if the sender has no newer version.
    """

    whole: Configuration | None = None
    deltas: tuple[RoutesDelta, ...] = ()


class UpdateLog:
    """The last deltas of the configuration, for nodes that are behind."""

    def __init__(self) -> None:
        self._current: Configuration | None = None
        self._deltas: collections.deque[RoutesDelta] = collections.deque(
            maxlen=_MAX_DELTAS
        )

    def record(self, configuration: Configuration) -> None:
        """Record the configuration that is now in force."""
        if self._current is not None:
            self._deltas.append(compute_delta(self._current, configuration))
        self._current = configuration

    def since(self, version: int) -> RoutesUpdate:
        """Return the update for a node that has ``version`` in force."""
        current = self._current
        if current is None or version >= current.version:
            return RoutesUpdate()
        base_versions = [delta.base for delta in self._deltas]
        if version not in base_versions:
            return RoutesUpdate(whole=current)
        missing_deltas = tuple(self._deltas)[base_versions.index(version) :]
        return RoutesUpdate(deltas=missing_deltas)


def configuration_after(
    current: Configuration | None, update: RoutesUpdate
) -> Configuration | None:
    """Return the configuration to which an update leads.

    Returns ``None`` for an empty update. Raises ``ValueError`` if the base of
    a delta is not the current version.
    """
    if update.whole is not None:
        return update.whole
    if not update.deltas:
        return None
    if current is None:
        raise ValueError(
            'a delta was received, but no configuration is in force'
        )
    for delta in update.deltas:
        current = apply_delta(current, delta)
    return current
