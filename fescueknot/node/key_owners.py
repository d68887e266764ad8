"""Finds the owners of keys in the rosters that this node knows."""

from fescueknot.gossip.documents import Document
from fescueknot.idempotency.ownership import KeyOwnership, ownership_of
from fescueknot.identity import InstanceId
from fescueknot.membership.published import PublishedMembership
from fescueknot.membership.rosters import bucket_key


class KeyOwners:
    """Finds owners; caches the decoded roster of each called service."""

    def __init__(self, *, published: PublishedMembership) -> None:
        self._published = published
        self._cached: dict[str, _CachedOwnership] = {}

    def owner(self, service: str, key_number: int) -> InstanceId | None:
        """Return the owner of a key, or None if the key has no owner."""
        document = self._published.document(bucket_key(service))
        cached = self._cached.get(service)
        if cached is None or cached.document is not document:
            ownership = ownership_of(self._published.roster(service))
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
