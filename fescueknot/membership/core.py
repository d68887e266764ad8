"""Membership logic of one node, without input and output.

The gossip task passes in received messages and sends the returned ones. Not
thread-safe.
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
from fescueknot.membership.notifier import Notifier
from fescueknot.membership.readers import ReaderChoice
from fescueknot.membership.receiver import Receiver
from fescueknot.membership.repair import Repair
from fescueknot.membership.schedule import GossipSchedule
from fescueknot.membership.view import LocalView
from fescueknot.membership.witnesses import Witnesses


class MembershipCore:
    """Membership state of one node and the protocol that updates it."""

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
        self._notifier = Notifier(view=self._view)
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
        """Return the local state, to be read only."""
        return self._view

    def receive(
        self, incoming: wire.Incoming, *, now_s: float, rng: random.Random
    ) -> tuple[wire.Outgoing, ...]:
        """Apply a received message and return the replies."""
        return self._receiver.receive(incoming, now_s=now_s, rng=rng)

    def tick(
        self, *, now_s: float, rng: random.Random
    ) -> tuple[wire.Outgoing, ...]:
        """Return the messages due now; call this every ``TICK_PERIOD_S``."""
        scheduled = self._schedule.tick(now_s=now_s, rng=rng)
        return self._notifier.tick() + scheduled

    def announce(
        self,
        state: InstanceState,
        *,
        now_s: float,
        notify: tuple[Address, ...] = (),
    ) -> tuple[wire.Outgoing, ...]:
        """Announce the local instance in a new state.

        ``notify`` holds the gossip addresses of the nodes to notify directly,
        such as the callers of the last seconds. Other nodes receive the
        announcement by gossip.
        """
        self._view.announce(state, now_s=now_s)
        return self._notifier.send(notify)

    def instances(self, service: str) -> tuple[Announcement, ...]:
        """Return the instances of a service that are neither lost nor left."""
        catalog = self._view.catalog
        ring = catalog.index.services.get(service)
        return catalog.resolve(ring.names()) if ring else ()

    def evidence(self, now_s: float) -> StoreEvidence:
        """Return the revision and age of the local copy of the store."""
        return StoreEvidence(
            revision=self._view.documents.held,
            age_s=self._view.evidence.age_s(now_s),
        )

    def documents_since(
        self, revision: int, *, prefix: str = ''
    ) -> tuple[Document, ...]:
        """Return documents changed after ``revision``, with deletions."""
        return self._view.documents.since(revision, prefix=prefix)

    def take_reading(self, reading: Reading) -> None:
        """Apply a reading of the store.

        A reading whose revision is below the revision already held is stale
        and does not renew the evidence.
        """
        documents = self._view.documents
        is_stale = reading.transfer.goal < documents.held
        self._view.apply(reading.transfer)
        is_held = documents.held >= reading.transfer.goal
        if reading.is_current and is_held and not is_stale:
            self._view.evidence.record_read(asked_at_s=reading.asked_at_s)
