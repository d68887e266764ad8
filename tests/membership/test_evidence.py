"""Evidence never claims more than was true, whatever the network does."""

import bisect
import math

from hypothesis import given, settings
from hypothesis import strategies as st

from fescueknot.bench.fakenetwork import FakeNode, Link
from fescueknot.bench.gossipfleets import Fleet, places
from fescueknot.gossip.documents import Document, Transfer
from fescueknot.gossip.evidence import FreshnessEvidence
from fescueknot.membership.feeds import Reading
from fescueknot.randomness import seeded

_WHERE = places(regions=2, domains=4)
_KEY_COUNT = 5


class _Store:
    """When each revision was made, by the clock of the network."""

    def __init__(self) -> None:
        self.made_at_s: list[float] = []

    def write(self, now_s: float) -> None:
        self.made_at_s.append(now_s)

    def revision_before(self, at_s: float) -> int:
        return bisect.bisect_left(self.made_at_s, at_s)

    def transfer(self, after: int) -> Transfer:
        revision = len(self.made_at_s)
        first = max(after, revision - _KEY_COUNT) + 1
        documents = tuple(map(_document, range(first, revision + 1)))
        return Transfer(
            after=after, upto=revision, goal=revision, documents=documents
        )


def _document(revision: int) -> Document:
    key = f'key-{revision % _KEY_COUNT}'
    return Document(key=key, revision=revision, content='c' * 300)


class _Run:
    """Random writes, slow reads, pauses and links."""

    def __init__(self, *, seed: int) -> None:
        self.rng = seeded(seed=seed)
        link = Link(loss_ratio=0.1, duplicate_ratio=0.2, jitter_s=1.5)
        self.fleet = Fleet(size=8, where=_WHERE, seed=seed, link=link)
        self.network = self.fleet.network
        self.store = _Store()
        self.claims = 0

    def step(self) -> None:
        events = (self._write, self._read, self._freeze, self._thaw)
        self.rng.choice(events)()
        pause_s = self.rng.uniform(0, 1)
        self.network.run(until_s=self.network.now_s + pause_s)
        for node in self.fleet.nodes:
            self._check(node)

    def _write(self) -> None:
        self.store.write(self.network.now_s)

    def _read(self) -> None:
        """Ask now, look at the store later, get the answer still later."""
        node = self.rng.choice(self.fleet.nodes[:2])
        asked_at_s = node.clock_s(self.network.now_s)
        after = node.view.documents.cursor
        looked_at_s = self.network.now_s + self.rng.uniform(0, 1)
        delay_s = self.rng.uniform(0, 2)

        def look() -> None:
            reading = Reading(
                asked_at_s=asked_at_s, transfer=self.store.transfer(after)
            )
            self.network.at(
                looked_at_s + delay_s,
                lambda: node.core.take_reading(reading),
            )

        self.network.at(looked_at_s, look)

    def _freeze(self) -> None:
        self.rng.choice(self.fleet.nodes).is_frozen = True

    def _thaw(self) -> None:
        for node in self.fleet.nodes:
            if node.is_frozen:
                self.network.thaw(node)

    def _check(self, node: FakeNode) -> None:
        now_s = self.network.now_s
        evidence = node.core.evidence(node.clock_s(now_s))
        if math.isinf(evidence.age_s):
            return
        self.claims += 1
        claimed_at_s = now_s - evidence.age_s
        assert evidence.revision >= self.store.revision_before(claimed_at_s)


class TestEvidence:
    """The age of the copy is never understated."""

    @settings(derandomize=True, deadline=None, max_examples=40)
    @given(st.integers(0, 10_000))
    def test_changes_before_the_claimed_time_are_held(self, seed):
        run = _Run(seed=seed)
        for _ in range(60):
            run.step()
        assert run.claims

    def test_a_relayed_age_grows_by_clock_drift(self):
        keeper = FreshnessEvidence()
        keeper.record_relayed(asked_at_s=100, age_s=10)
        assert keeper.age_s(100) > 10

    def test_a_stale_store_gives_no_evidence(self):
        core = Fleet(size=1, where=_WHERE).nodes[0].core
        documents = (Document(key='a', revision=5, content='new'),)
        core.take_reading(
            Reading(
                asked_at_s=10,
                transfer=Transfer(after=0, upto=5, goal=5, documents=documents),
            )
        )
        core.take_reading(
            Reading(
                asked_at_s=20,
                transfer=Transfer(after=0, upto=3, goal=3, is_whole=True),
            )
        )
        assert core.evidence(30).age_s == 20
        assert core.evidence(30).revision == 5
