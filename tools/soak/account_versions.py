"""Accounts of each configuration of a soak, and which may be in force."""

import math
from collections.abc import Iterator, Mapping

import msgspec

from tools.soak.planned_work import PlannedWork

# Bound of the users' rules from the acknowledgement of a version.
IN_FORCE_S = 3.0


class Limit(msgspec.Struct, frozen=True, kw_only=True):
    """Limit of an account; a rate of 0 is none."""

    rate_per_s: float = 0
    burst: float = 0


class AccountVersion(msgspec.Struct, frozen=True, kw_only=True):
    """Accounts of a configuration: names by key, limits by name."""

    since_s: float
    owners: Mapping[str, str]
    limits: Mapping[str, Limit]


class AccountVersions:
    """All versions of a run, oldest first; none without accounts."""

    def __init__(self, *, work: PlannedWork) -> None:
        self._work = work
        self._versions: list[AccountVersion] = []

    def add(self, version: AccountVersion) -> None:
        """Record a version that has been acknowledged."""
        self._versions.append(version)

    def __len__(self) -> int:
        """Return how many versions there were."""
        return len(self._versions)

    def had_key(self, key: str) -> bool:
        """Return whether any version has had a key."""
        return any(key in version.owners for version in self._versions)

    def with_owner(self, key: str, account: str | None) -> list[float]:
        """Return since when the versions are in which an account has a key."""
        return [
            version.since_s
            for version in self._versions
            if version.owners.get(key) == account
        ]

    def possible(
        self,
        since_s: float,
        *,
        node: str = '',
        takes_effect_s: float = 0,
    ) -> Iterator[AccountVersion]:
        """Yield the versions that may have applied somewhere since a moment.

        With a node, any disruption lets an older version stay there. Without
        one, only disruptions of the store do, as a version has to be in force
        at the other nodes whatever happens to one of them.
        """
        for index, version in enumerate(self._versions):
            ended_s = self._ended_s(index + 1, store_only=not node)
            if ended_s + takes_effect_s >= since_s:
                yield version

    def _ended_s(self, successor: int, *, store_only: bool) -> float:
        if successor == len(self._versions):
            return math.inf
        return self._work.settled_s(
            self._versions[successor].since_s,
            IN_FORCE_S,
            store_only=store_only,
        )
