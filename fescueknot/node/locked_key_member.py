"""Threads in front of the at-most-once member of this node.

The member is not thread-safe; the desk holds its lock. Before each decision
it takes in what the board knows of the roster and of the store.
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
    """Thread-safe use of one key member."""

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
    def member(self) -> Iterator[KeyMember]:
        """Lend the member, brought up to date, for the block."""
        with self._lock:
            self._catch_up()
            yield self._member

    def _catch_up(self) -> None:
        """Adopt the roster at hand and the evidence for it.

        The evidence is read first: it then is not newer than the roster, so
        it proves that no later version existed at its time.
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
