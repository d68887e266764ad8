"""Which nodes read the store, without an election.

Each node ranks the working instances of its failure domain by a hash of
their names; the first few read. Nodes with different catalogs may pick
different readers: extra ones cost a few reads and do no harm.
"""

import enum
import heapq
import random

from fescueknot.gossip.readers import reader_rank
from fescueknot.membership.view import LocalView

READERS_PER_DOMAIN = 3
STALE_S = 4.0
FALLBACK_READS_PER_S = 60
CHOICE_PERIOD_S = 2.0


class ReadMode(enum.Enum):
    """Whether a node reads the store."""

    NONE = 'none'
    STEADY = 'steady'
    ONCE = 'once'


class ReaderChoice:
    """Decides whether this node reads the store."""

    def __init__(
        self, *, view: LocalView, per_domain: int = READERS_PER_DOMAIN
    ) -> None:
        self._view = view
        self._per_domain = per_domain
        self._chosen_at_s = -CHOICE_PERIOD_S
        self._is_reader = False

    def readers(self) -> tuple[str, ...]:
        """Return the readers of the own failure domain."""
        catalog = self._view.catalog
        names = catalog.places[self._view.own.place].names()
        working = (name for name in names if catalog.find(name).is_working)
        return tuple(
            heapq.nsmallest(self._per_domain, working, key=reader_rank)
        )

    def read_mode(
        self, *, now_s: float, elapsed_s: float, rng: random.Random
    ) -> ReadMode:
        """Return whether to read the store in the next ``elapsed_s``.

        When nobody has brought a reading for :data:`STALE_S`, every node reads
        now and then, :data:`FALLBACK_READS_PER_S` in the whole fleet.
        """
        if now_s - self._chosen_at_s >= CHOICE_PERIOD_S:
            self._chosen_at_s = now_s
            self._is_reader = self._view.own.name in self.readers()
        if self._is_reader:
            return ReadMode.STEADY
        if self._view.evidence.age_s(now_s) <= STALE_S:
            return ReadMode.NONE
        present = max(1, self._view.catalog.present_count)
        chance = FALLBACK_READS_PER_S * elapsed_s / present
        return ReadMode.ONCE if rng.random() < chance else ReadMode.NONE
