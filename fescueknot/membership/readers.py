"""Choice of the nodes that read the store, without an election.

Each node ranks the working instances of its failure domain by a hash of
their names; the first few are the readers. Nodes with different catalogs may
choose different readers: extra readers cost a few reads and do no harm.
"""

import enum
import heapq
import random

from fescueknot.gossip.readers import reader_rank
from fescueknot.membership.view import LocalView

READERS_PER_DOMAIN = 3
STALE_S = 4.0
FALLBACK_READS_PER_S = 60
SELECTION_PERIOD_S = 2.0


class ReadMode(enum.Enum):
    """How a node reads the store: not at all, continuously or once."""

    NONE = 'none'
    STEADY = 'steady'
    ONCE = 'once'


class ReaderChoice:
    """Chooses the readers of the local failure domain."""

    def __init__(
        self, *, view: LocalView, per_domain: int = READERS_PER_DOMAIN
    ) -> None:
        self._view = view
        self._per_domain = per_domain
        self._selected_at_s = -SELECTION_PERIOD_S
        self._is_reader = False

    def readers(self) -> tuple[str, ...]:
        """Return the names of the readers of the local failure domain."""
        catalog = self._view.catalog
        names = catalog.places[self._view.own.place].names()
        working = (name for name in names if catalog.find(name).is_working)
        return tuple(
            heapq.nsmallest(self._per_domain, working, key=reader_rank)
        )

    def read_mode(
        self, *, now_s: float, elapsed_s: float, rng: random.Random
    ) -> ReadMode:
        """Return how to read the store in the next ``elapsed_s`` seconds.

        When the evidence is older than :data:`STALE_S`, every node reads with
        a small probability, which gives :data:`FALLBACK_READS_PER_S` reads in
        the whole fleet.
        """
        if now_s - self._selected_at_s >= SELECTION_PERIOD_S:
            self._selected_at_s = now_s
            self._is_reader = self._view.own.name in self.readers()
        if self._is_reader:
            return ReadMode.STEADY
        if self._view.evidence.age_s(now_s) <= STALE_S:
            return ReadMode.NONE
        instance_count = max(1, self._view.catalog.present_count)
        probability = FALLBACK_READS_PER_S * elapsed_s / instance_count
        return ReadMode.ONCE if rng.random() < probability else ReadMode.NONE
