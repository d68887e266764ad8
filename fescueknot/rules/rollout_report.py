"""Reports on which nodes a version of the rules is in force."""

from collections.abc import Iterable, Mapping

import msgspec


class NodeVersion(msgspec.Struct, frozen=True, kw_only=True):
    """A node and the version that it has in force."""

    node: str
    version: int


class RolloutReport(msgspec.Struct, frozen=True, kw_only=True):
    """Nodes by the version that they have acknowledged.

    Nodes in ``unknown`` have not acknowledged any version. Nodes in ``ahead``
    have a version in force that the store doesn't have: the store has lost
    state, and its newest version is not the one in force.
    """

    version: int
    in_force: tuple[str, ...]
    lagging: tuple[NodeVersion, ...]
    ahead: tuple[NodeVersion, ...]
    unknown: tuple[str, ...]
    is_membership_whole: bool = True

    @property
    def members(self) -> int:
        """Number of known nodes."""
        not_in_force = (self.lagging, self.ahead, self.unknown)
        return len(self.in_force) + sum(map(len, not_in_force))

    @property
    def is_complete(self) -> bool:
        """Whether all nodes are known and have the version in force."""
        if not self.is_membership_whole or not self.members:
            return False
        return len(self.in_force) == self.members

    def __str__(self) -> str:
        """Return the report as lines for an operator."""
        if self.is_complete:
            return f'version {self.version} is in force on all {self.members}'
        return '\n'.join(self._lines())

    def _lines(self) -> Iterable[str]:
        count = len(self.in_force)
        yield (
            f'version {self.version} is in force on {count} '
            f'of {self.members} known nodes'
        )
        for node_version in self.lagging:
            yield f'{node_version.node} lags at version {node_version.version}'
        for node_version in self.ahead:
            yield (
                f'{node_version.node} has version {node_version.version}, '
                'which the store lacks'
            )
        for node in self.unknown:
            yield f'{node} has not acknowledged any version'
        if not self.is_membership_whole:
            yield 'the list of nodes may be incomplete'


def report_rollout(
    *,
    version: int,
    head_version: int,
    members: Iterable[str],
    acknowledged: Mapping[str, int],
    is_membership_whole: bool,
) -> RolloutReport:
    """Compare acknowledged versions with the membership.

    ``head_version`` is the newest version in the store. ``acknowledged`` maps
    nodes to the version they have in force; nodes that are not members are
    ignored. ``is_membership_whole`` is false while a region or failure domain
    is unreachable.
    """
    names = sorted(set(members))
    node_versions = [
        NodeVersion(node=name, version=acknowledged[name])
        for name in names
        if name in acknowledged
    ]
    in_force_versions = range(version, head_version + 1)
    return RolloutReport(
        version=version,
        in_force=tuple(
            node_version.node
            for node_version in node_versions
            if node_version.version in in_force_versions
        ),
        lagging=tuple(
            node_version
            for node_version in node_versions
            if node_version.version < version
        ),
        ahead=tuple(
            node_version
            for node_version in node_versions
            if node_version.version > head_version
        ),
        unknown=tuple(name for name in names if name not in acknowledged),
        is_membership_whole=is_membership_whole,
    )
