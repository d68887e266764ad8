"""All that one node knows: announcements, documents and evidence."""

from fescueknot.gossip.document_log import DocumentLog
from fescueknot.gossip.documents import Document, Transfer
from fescueknot.gossip.evidence import UNKNOWN_AGE_MS, FreshnessEvidence
from fescueknot.membership.announcements import Announcement, InstanceState
from fescueknot.membership.catalog import Catalog
from fescueknot.membership.messages import Summary
from fescueknot.membership.rumours import Rumours

_MS_PER_S = 1000


class Changes:
    """What has changed since the task last looked."""

    def __init__(self) -> None:
        self.services: set[str] = set()
        self.documents: list[Document] = []


class LocalView:
    """The node's copy of the fleet's state, and its own announcement.

    ``is_superseded`` turns true when a later start of the same name is heard
    of; this process then has to stop.
    """

    def __init__(self, *, own: Announcement, now_s: float) -> None:
        self.catalog = Catalog()
        self.documents = DocumentLog()
        self.evidence = FreshnessEvidence()
        self.rumours = Rumours()
        self.changes = Changes()
        self.own = own
        self.is_superseded = False
        self._wall_offset_s = own.incarnation / _MS_PER_S - now_s
        self.merge(own, now_s=now_s)

    def wall_s(self, now_s: float) -> float:
        """Return the wall clock, counted on from the start of the process."""
        return now_s + self._wall_offset_s

    def announce(self, state: InstanceState, *, now_s: float) -> None:
        """Announce this instance in a new state."""
        self._restate(state, self.own.sequence + 1, now_s)

    def merge(self, news: Announcement, *, now_s: float) -> bool:
        """Take an announcement in and pass it on when it was news."""
        if not self.merge_without_rumour(news, now_s=now_s):
            return False
        if self.catalog.find(news.name) is news:
            self.rumours.add(news)
        return True

    def merge_without_rumour(self, news: Announcement, *, now_s: float) -> bool:
        """Take an announcement in without passing it on."""
        if not self.catalog.merge(news, wall_s=self.wall_s(now_s)):
            return False
        self.changes.services.add(news.service)
        if news.name == self.own.name:
            self._answer_claim(news, now_s)
        return True

    def apply(self, transfer: Transfer) -> None:
        """Take documents in."""
        self.changes.documents.extend(self.documents.apply(transfer))

    def merge_all(
        self, news: tuple[Announcement, ...], *, now_s: float
    ) -> None:
        """Take announcements in."""
        for announcement in news:
            self.merge(announcement, now_s=now_s)

    def summary(self, now_s: float) -> Summary:
        """Return what is held, for a message."""
        return Summary(
            cursor=self.documents.cursor,
            held=self.documents.held,
            age_ms=self.evidence.age_ms(now_s),
            root=self.catalog.root,
            known=len(self.catalog),
        )

    def pop_changes(self) -> Changes:
        """Return what has changed since the last call."""
        changes = self.changes
        self.changes = Changes()
        return changes

    def relay(self, summary: Summary, *, asked_at_s: float) -> None:
        """Take over a peer's evidence, answering a question of that time.

        Only when everything that the peer holds is held here too.
        """
        is_known = summary.age_ms != UNKNOWN_AGE_MS
        if is_known and self.documents.held >= summary.held:
            self.evidence.record_relayed(
                asked_at_s=asked_at_s, age_s=summary.age_ms / _MS_PER_S
            )

    def _answer_claim(self, news: Announcement, now_s: float) -> None:
        if news.incarnation > self.own.incarnation:
            self.is_superseded = True
        elif news.version > self.own.version:
            self._restate(self.own.state, news.sequence + 1, now_s)

    def _restate(
        self, state: InstanceState, sequence: int, now_s: float
    ) -> None:
        self.own = self.own.restated(
            state=state, wall_s=self.wall_s(now_s), sequence=sequence
        )
        self.merge(self.own, now_s=now_s)
