"""Finds the owners of keys in the rosters that this node knows."""

from fescueknot.gossip.documents import Document
from fescueknot.idempotency.ownership import KeyOwnership, ownership_of
from fescueknot.identity import InstanceId
from fescueknot.membership.board import MembershipBoard
from fescueknot.membership.rosters import bucket_key


class KeyOwners:
    """Finds owners; caches the decoded roster of each called service."""

    def __init__(self, *, board: MembershipBoard) -> None:
        self._board = board
        self._cached: dict[str, _CachedOwnership] = {}

    def owner(self, service: str, key_number: int) -> InstanceId | None:
        """Return the owner of a key, or None if the key has no owner."""
        document = self._board.document(bucket_key(service))
        cached = self._cached.get(service)
        if cached is None or cached.document is not document:
            ownership = ownership_of(self._board.roster(service))
            cached = _CachedOwnership(document=document, ownership=ownership)
            self._cached[service] = cached
        return cached.ownership.owner(key_number)


class _CachedOwnership:
    """Ownership decoded from one version of a roster's document."""

    def __init__(
        self,
        *,
        document: Document | None,
        ownership: KeyOwnership,
    ) -> None:
        self.document = document
        self.ownership = ownership
