"""Owners of keys by rendezvous hashing over the holders of a roster.

Thaler and Ravishankar, "A name-based mapping scheme for rendezvous" (1996).
When a member joins, keys move to this member only; when a member leaves, only
its own keys move.
"""

import functools
import hashlib

from fescueknot.identity import InstanceId
from fescueknot.roster import Roster

_MASK = (1 << 64) - 1
_FIRST_MULTIPLIER = 0xBF58476D1CE4E5B9
_SECOND_MULTIPLIER = 0x94D049BB133111EB


@functools.lru_cache(maxsize=4096)
def _weight_seed(instance: InstanceId) -> int:
    digest = hashlib.blake2b(str(instance).encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')


def _mix(number: int) -> int:
    """Return the finalizer of splitmix64 (Steele et al., 2014)."""
    mixed = ((number ^ (number >> 30)) * _FIRST_MULTIPLIER) & _MASK
    mixed = ((mixed ^ (mixed >> 27)) * _SECOND_MULTIPLIER) & _MASK
    return mixed ^ (mixed >> 31)


class RendezvousHash:
    """Owners of keys among a fixed set of instances."""

    def __init__(self, *, instances: tuple[InstanceId, ...]) -> None:
        self._seeds = tuple(
            (_weight_seed(instance), instance) for instance in sorted(instances)
        )

    def owner(self, key_number: int) -> InstanceId | None:
        """Return the owner of a key, ``None`` without instances."""
        if not self._seeds:
            return None
        return max(
            self._seeds,
            key=lambda seeded: _mix(seeded[0] ^ key_number),
        )[1]


class KeyOwnership:
    """Owners of keys among the holders, and future owners among joiners."""

    def __init__(
        self,
        *,
        holders: tuple[InstanceId, ...],
        joiners: tuple[InstanceId, ...] = (),
    ) -> None:
        self._holders = holders
        self._joiners = joiners
        self._holder_hash = RendezvousHash(instances=holders)
        self._joiner_hashes = tuple(
            (joiner, RendezvousHash(instances=(*holders, joiner)))
            for joiner in joiners
        )

    def owner(self, key_number: int) -> InstanceId | None:
        """Return the holder that owns a key."""
        return self._holder_hash.owner(key_number)

    def joining_owners(self, key_number: int) -> tuple[InstanceId, ...]:
        """Return the joiners that will own a key if they join next."""
        return tuple(
            joiner
            for joiner, joiner_hash in self._joiner_hashes
            if joiner_hash.owner(key_number) == joiner
        )

    def possible_owners(self, key_number: int) -> tuple[InstanceId, ...]:
        """Return the instances that own a key now or after the next join."""
        owner = self.owner(key_number)
        present = () if owner is None else (owner,)
        return (*present, *self.joining_owners(key_number))

    def without(self, instance: InstanceId) -> 'KeyOwnership':
        """Return the ownership without the holder ``instance``."""
        remaining = tuple(
            holder for holder in self._holders if holder != instance
        )
        return KeyOwnership(holders=remaining, joiners=self._joiners)


@functools.lru_cache(maxsize=64)
def ownership_of(roster: Roster) -> KeyOwnership:
    """Return the ownership for one version of a roster, from a cache."""
    return KeyOwnership(holders=roster.holders, joiners=roster.joiners)
