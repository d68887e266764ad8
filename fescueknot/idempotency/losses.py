"""Keys that may have run on an instance removed without a handover."""

import functools

import msgspec

from fescueknot.idempotency.keys import OperationKey
from fescueknot.idempotency.ownership import RendezvousHash
from fescueknot.idempotency.terms import Terms
from fescueknot.identity import InstanceId
from fescueknot.roster import Loss, Roster


class _LossOwners(msgspec.Struct, frozen=True, kw_only=True):
    loss: Loss
    former_owners: RendezvousHash

    def owned_by_lost(self, key: OperationKey) -> bool:
        return self.former_owners.owner(key.number) == self.loss.instance


class LossIndex:
    """Losses on a roster, indexed for one look-up per key."""

    def __init__(self, *, roster: Roster, terms: Terms) -> None:
        self._terms = terms
        self._entries = tuple(
            _LossOwners(
                loss=loss,
                former_owners=RendezvousHash(instances=loss.members_before),
            )
            for loss in roster.losses
        )

    def may_have_run(self, key: OperationKey, *, wall_s: float) -> bool:
        """Return whether the key may have run on a lost instance."""
        return any(
            self._applies_to(entry.loss, key, wall_s)
            and entry.owned_by_lost(key)
            for entry in self._entries
        )

    def _applies_to(self, loss: Loss, key: OperationKey, wall_s: float) -> bool:
        if is_expired(loss, terms=self._terms, wall_s=wall_s):
            return False
        if key.made_at_wall_s is None:
            return True
        return key.made_at_wall_s < loss.unknown_before_wall_s


@functools.lru_cache(maxsize=64)
def loss_index(roster: Roster, terms: Terms) -> LossIndex:
    """Return the index for one version of a roster, from a cache."""
    return LossIndex(roster=roster, terms=terms)


def loss_record(
    instance: InstanceId,
    *,
    roster: Roster,
    terms: Terms,
    wall_s: float,
) -> Loss:
    """Return the record of a loss at the wall-clock time ``wall_s``."""
    return Loss(
        instance=instance,
        members_before=roster.holders,
        unknown_before_wall_s=wall_s + terms.loss_margin_s,
    )


def is_expired(loss: Loss, *, terms: Terms, wall_s: float) -> bool:
    """Return whether all keys of a loss are past the retention time."""
    expires_s = loss.unknown_before_wall_s + terms.entry_retention_s
    return expires_s <= wall_s
