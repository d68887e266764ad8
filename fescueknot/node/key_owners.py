"""Owners of keys of any service, as this node knows its roster."""

from fescueknot.gossip.documents import Document
from fescueknot.idempotency.ownership import KeyOwnership, ownership_of
from fescueknot.identity import InstanceId
from fescueknot.membership.published import PublishedMembership
from fescueknot.membership.rosters import bucket_key


class KeyOwners:
    """Finds owners; keeps one decoded roster per called service."""

    def __init__(self, *, published: PublishedMembership) -> None:
        self._published = published
        self._known: dict[str, _KnownRoster] = {}

    def owner(self, service: str, key_number: int) -> InstanceId | None:
        """Return the owner of a key, or None when nobody owns it."""
        document = self._published.document(bucket_key(service))
        known = self._known.get(service)
        if known is None or known.document is not document:
            ownership = ownership_of(self._published.roster(service))
            known = _KnownRoster(document=document, ownership=ownership)
            self._known[service] = known
        return known.ownership.owner(key_number)


class _KnownRoster:
    """Ownership decoded from one version of a roster's document."""

    def __init__(
        self,
        *,
        document: Document | None,
        ownership: KeyOwnership,
    ) -> None:
        self.document = document
        self.ownership = ownership
