"""Where a version of the rules is in force, as far as that is known."""

from collections.abc import Iterable, Mapping

import msgspec


class HeldVersion(msgspec.Struct, frozen=True, kw_only=True):
    """A node and the version that it has in force."""

    node: str
    version: int


class ForceReport(msgspec.Struct, frozen=True, kw_only=True):
    """Nodes by what they acknowledged; ``unknown`` ones told nothing.

    ``ahead`` nodes hold a version that the store doesn't have: the store
    lost state, and its versions are not the ones in force.
    """

    version: int
    in_force: tuple[str, ...]
    lagging: tuple[HeldVersion, ...]
    ahead: tuple[HeldVersion, ...]
    unknown: tuple[str, ...]
    is_membership_whole: bool = True

    @property
    def members(self) -> int:
        """Number of nodes known."""
        others = (self.lagging, self.ahead, self.unknown)
        return len(self.in_force) + sum(map(len, others))

    @property
    def is_everywhere(self) -> bool:
        """Tell whether every node is known and has the version in force."""
        if not self.is_membership_whole or not self.members:
            return False
        return len(self.in_force) == self.members

    def __str__(self) -> str:
        """Return the report as lines for an operator."""
        if self.is_everywhere:
            return f'version {self.version} is in force on all {self.members}'
        return '\n'.join(self._parts())

    def _parts(self) -> Iterable[str]:
        count = len(self.in_force)
        yield (
            f'version {self.version} is in force on {count} '
            f'of {self.members} known nodes'
        )
        for late in self.lagging:
            yield f'{late.node} lags at version {late.version}'
        for early in self.ahead:
            yield f'{early.node} holds {early.version}, unknown to the store'
        for node in self.unknown:
            yield f'{node} is unknown'
        if not self.is_membership_whole:
            yield 'some nodes may not be known now'


def report_force(
    *,
    version: int,
    head_version: int,
    members: Iterable[str],
    acknowledged: Mapping[str, int],
    is_membership_whole: bool,
) -> ForceReport:
    """Compare acknowledgements with the membership.

    ``head_version`` is the newest one in the store. ``acknowledged`` holds
    the version in force by node; answers of nodes that are no members don't
    count. ``is_membership_whole`` is false while a region or failure domain
    can't be heard.
    """
    names = sorted(set(members))
    held = [
        HeldVersion(node=name, version=acknowledged[name])
        for name in names
        if name in acknowledged
    ]
    valid = range(version, head_version + 1)
    return ForceReport(
        version=version,
        in_force=tuple(each.node for each in held if each.version in valid),
        lagging=tuple(each for each in held if each.version < version),
        ahead=tuple(each for each in held if each.version > head_version),
        unknown=tuple(name for name in names if name not in acknowledged),
        is_membership_whole=is_membership_whole,
    )
