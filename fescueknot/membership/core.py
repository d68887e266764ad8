"""Membership of one node: decisions without input and output.

The task around it sends what it returns and hands in what arrives. One
thread at a time may use it.
"""

import random

from fescueknot.gossip.documents import Document
from fescueknot.gossip.evidence import StoreEvidence
from fescueknot.gossip.peer_choice import PeerChoice, SpatialChoice
from fescueknot.identity import Address
from fescueknot.membership import messages as wire
from fescueknot.membership.announcements import Announcement, InstanceState
from fescueknot.membership.bulk import BulkCopies
from fescueknot.membership.exchange import Exchanges
from fescueknot.membership.feeds import Reading
from fescueknot.membership.liveness import Liveness
from fescueknot.membership.notifier import Notices
from fescueknot.membership.readers import ReaderChoice
from fescueknot.membership.receiver import Receiver
from fescueknot.membership.repair import Repair
from fescueknot.membership.schedule import GossipSchedule
from fescueknot.membership.view import LocalView
from fescueknot.membership.witnesses import Witnesses


class MembershipCore:
    """What a node knows of the others and of the store."""

    def __init__(
        self,
        *,
        own: Announcement,
        now_s: float,
        seeds: tuple[Address, ...] = (),
        choice: PeerChoice | None = None,
    ) -> None:
        self._view = LocalView(own=own, now_s=now_s)
        repair = Repair(view=self._view)
        self.bulk = BulkCopies(view=self._view)
        self._exchanges = Exchanges(
            view=self._view, repair=repair, bulk=self.bulk
        )
        self._liveness = Liveness(view=self._view)
        self._witnesses = Witnesses(view=self._view)
        self._notices = Notices(view=self._view)
        self.reader_choice = ReaderChoice(view=self._view)
        self._receiver = Receiver(
            view=self._view,
            exchanges=self._exchanges,
            repair=repair,
            liveness=self._liveness,
            witnesses=self._witnesses,
        )
        self._schedule = GossipSchedule(
            view=self._view,
            exchanges=self._exchanges,
            liveness=self._liveness,
            witnesses=self._witnesses,
            choice=choice or SpatialChoice(name=own.name, place=own.place),
            seeds=seeds,
        )

    @property
    def view(self) -> LocalView:
        """What is known, for reading."""
        return self._view

    def receive(
        self, incoming: wire.Incoming, *, now_s: float, rng: random.Random
    ) -> tuple[wire.Outgoing, ...]:
        """Take a message in and return the answers."""
        return self._receiver.receive(incoming, now_s=now_s, rng=rng)

    def tick(
        self, *, now_s: float, rng: random.Random
    ) -> tuple[wire.Outgoing, ...]:
        """Return what is due now; to be called every ``TICK_PERIOD_S``."""
        due = self._schedule.tick(now_s=now_s, rng=rng)
        return self._notices.tick() + due

    def announce(
        self,
        state: InstanceState,
        *,
        now_s: float,
        notify: tuple[Address, ...] = (),
    ) -> tuple[wire.Outgoing, ...]:
        """Announce the own instance in a new state.

        ``notify`` are gossip addresses of nodes that must know at once: the
        callers of the last seconds. The rest learn it by gossip.
        """
        self._view.announce(state, now_s=now_s)
        return self._notices.send(notify)

    def instances(self, service: str) -> tuple[Announcement, ...]:
        """Return the instances of a service, in whatever state but gone."""
        catalog = self._view.catalog
        ring = catalog.index.services.get(service)
        return catalog.resolve(ring.names()) if ring else ()

    def evidence(self, now_s: float) -> StoreEvidence:
        """Return how recent the copy of the store is."""
        return StoreEvidence(
            revision=self._view.documents.held,
            age_s=self._view.evidence.age_s(now_s),
        )

    def documents_since(
        self, revision: int, *, prefix: str = ''
    ) -> tuple[Document, ...]:
        """Return documents changed after ``revision``, deleted ones too."""
        return self._view.documents.since(revision, prefix=prefix)

    def take_reading(self, reading: Reading) -> None:
        """Take a reading of the store in.

        A store that shows less than what is held gives no evidence.
        """
        documents = self._view.documents
        is_stale = reading.transfer.goal < documents.held
        self._view.apply(reading.transfer)
        is_held = documents.held >= reading.transfer.goal
        if reading.is_current and is_held and not is_stale:
            self._view.evidence.record_read(asked_at_s=reading.asked_at_s)
