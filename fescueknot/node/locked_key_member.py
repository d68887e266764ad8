"""Thread-safe access to the key member of this node.

:class:`KeyMember` is not thread-safe, so a lock guards it. Before each use it
is updated with the published roster and the evidence of the store.
"""

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from fescueknot.gossip.documents import Document
from fescueknot.idempotency.member import KeyMember
from fescueknot.idempotency.messages import StoreEvidence
from fescueknot.idempotency.terms import Terms
from fescueknot.membership.published import PublishedMembership
from fescueknot.membership.rosters import bucket_key
from fescueknot.node.runtime import Runtime


class LockedKeyMember:
    """Guards one key member with a lock and keeps it up to date."""

    def __init__(
        self,
        *,
        runtime: Runtime,
        published: PublishedMembership,
        terms: Terms,
    ) -> None:
        self._runtime = runtime
        self._published = published
        self._lock = threading.RLock()
        self._document: Document | None = None
        self._member = KeyMember(
            instance=runtime.instance,
            roster=published.roster(runtime.service),
            now_s=runtime.now_s(),
            terms=terms,
        )

    @contextmanager
    def locked(self) -> Iterator[KeyMember]:
        """Yield the updated member and hold its lock for the block."""
        with self._lock:
            self._update_member()
            yield self._member

    def _update_member(self) -> None:
        """Adopt the published roster and add the evidence for it.

        The evidence is read before the roster: then it is not newer than the
        roster, and proves that no later version existed at its time.
        """
        at_s = self._published.status.current_at_s
        service = self._runtime.service
        document = self._published.document(bucket_key(service))
        if document is not self._document:
            self._document = document
            roster = self._published.roster(service)
            self._member.adopt(roster, now_s=self._runtime.now_s())
        if self._published.is_damaged(service):
            return
        evidence = StoreEvidence(
            version=self._member.view.version,
            at_s=at_s,
        )
        self._member.gate.lease.add_evidence(evidence)
