"""Local state of one node: announcements, documents and evidence."""

from fescueknot.gossip.document_log import DocumentLog
from fescueknot.gossip.documents import Document, Transfer
from fescueknot.gossip.evidence import UNKNOWN_AGE_MS, FreshnessEvidence
from fescueknot.membership.announcements import Announcement, InstanceState
from fescueknot.membership.catalog import Catalog
from fescueknot.membership.messages import Summary
from fescueknot.membership.rumours import Rumours

_MS_PER_S = 1000


class PendingChanges:
    """Services and documents changed since the last publication."""

    def __init__(self) -> None:
        self.services: set[str] = set()
        self.documents: list[Document] = []


class LocalView:
    """Local copy of the fleet's state, and the announcement of this instance.

    ``is_superseded`` becomes true when an announcement of the same name with
    a higher incarnation arrives; this process then has to stop.
    """

    def __init__(self, *, own: Announcement, now_s: float) -> None:
        self.catalog = Catalog()
        self.documents = DocumentLog()
        self.evidence = FreshnessEvidence()
        self.rumours = Rumours()
        self.changes = PendingChanges()
        self.own = own
        self.is_superseded = False
        self._wall_offset_s = own.incarnation / _MS_PER_S - now_s
        self.merge(own, now_s=now_s)

    def wall_s(self, now_s: float) -> float:
        """Return wall-clock time at ``now_s`` of the monotonic clock.

        It is counted from the start of the process, so that steps of the
        system clock don't affect it.
        """
        return now_s + self._wall_offset_s

    def announce(self, state: InstanceState, *, now_s: float) -> None:
        """Announce this instance in a new state."""
        self._set_state(state, self.own.sequence + 1, now_s)

    def merge(self, announcement: Announcement, *, now_s: float) -> bool:
        """Store an announcement and, if it was newer, gossip it.

        Returns whether it was newer.
        """
        if not self.merge_without_rumour(announcement, now_s=now_s):
            return False
        if self.catalog.find(announcement.name) is announcement:
            self.rumours.add(announcement)
        return True

    def merge_without_rumour(
        self, announcement: Announcement, *, now_s: float
    ) -> bool:
        """Store an announcement without gossiping it.

        Returns whether it was newer.
        """
        if not self.catalog.merge(announcement, wall_s=self.wall_s(now_s)):
            return False
        self.changes.services.add(announcement.service)
        if announcement.name == self.own.name:
            self._check_own_update(announcement, now_s)
        return True

    def apply(self, transfer: Transfer) -> None:
        """Apply a transfer of documents."""
        self.changes.documents.extend(self.documents.apply(transfer))

    def merge_all(
        self, announcements: tuple[Announcement, ...], *, now_s: float
    ) -> None:
        """Store announcements and gossip those that were newer."""
        for announcement in announcements:
            self.merge(announcement, now_s=now_s)

    def summary(self, now_s: float) -> Summary:
        """Return the summary of the local state for a message."""
        return Summary(
            cursor=self.documents.cursor,
            held=self.documents.held,
            age_ms=self.evidence.age_ms(now_s),
            root=self.catalog.root,
            known=len(self.catalog),
        )

    def pop_changes(self) -> PendingChanges:
        """Return the changes since the last call and clear them."""
        changes = self.changes
        self.changes = PendingChanges()
        return changes

    def relay_evidence(self, summary: Summary, *, asked_at_s: float) -> None:
        """Apply the evidence in a peer's reply to a request.

        ``asked_at_s`` is when the request was sent. The evidence counts only
        if the local copy holds at least the revision that the peer holds.
        """
        is_known = summary.age_ms != UNKNOWN_AGE_MS
        if is_known and self.documents.held >= summary.held:
            self.evidence.record_relayed(
                asked_at_s=asked_at_s, age_s=summary.age_ms / _MS_PER_S
            )

    def _check_own_update(
        self, announcement: Announcement, now_s: float
    ) -> None:
        if announcement.incarnation > self.own.incarnation:
            self.is_superseded = True
        elif announcement.version > self.own.version:
            self._set_state(self.own.state, announcement.sequence + 1, now_s)

    def _set_state(
        self, state: InstanceState, sequence: int, now_s: float
    ) -> None:
        self.own = self.own.with_state(
            state=state, wall_s=self.wall_s(now_s), sequence=sequence
        )
        self.merge(self.own, now_s=now_s)
