"""Replicas: what datagrams lose, double, delay or turn round."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fescueknot.gossip import messages as wire
from fescueknot.gossip.documents import Document, Transfer
from fescueknot.gossip.protocol import GossipProtocol
from fescueknot.gossip.replica import Replica
from fescueknot.randomness import seeded

_KEYS = ('k/a', 'k/b', 'k/c', 'k/d')


class _Network:
    """Replicas, the store that some of them read, datagrams under way."""

    def __init__(self, count):
        self.rng = seeded(seed=1)
        self.now_s = 100.0
        self.revision = 1
        self.store = {}
        self.versions = [0 for _ in range(count)]
        self.version = 0
        self.written_s = [(0, 0)]
        self.replicas = [self._replica(at) for at in range(count)]
        self.protocols = [
            GossipProtocol(name=f'n{at}', replica=replica)
            for at, replica in enumerate(self.replicas)
        ]
        self.under_way = []

    def _replica(self, at):
        return Replica(version=lambda: self.versions[at])

    def write(self, key):
        self.revision += 1
        self.store[key] = Document(
            key=key, revision=self.revision, content=str(self.revision)
        )

    def operate(self):
        """Write a version of the routes."""
        self.version += 1
        self.written_s.append((self.version, self.now_s))

    def wrote(self, at, key):
        self.write(key)
        self.replicas[at].wrote(self.store[key])

    def read(self, at):
        """Read all from the store, as a reader does."""
        documents = sorted(self.store.values(), key=lambda one: one.revision)
        self.replicas[at].read(
            Transfer(
                after=0,
                upto=self.revision,
                goal=self.revision,
                documents=tuple(documents),
                is_whole=True,
            )
        )
        self.versions[at] = self.version
        self.replicas[at].evidence.record_read(asked_at_s=self.now_s)

    def ask(self, at, other):
        question = self.protocols[at].ask(now_s=self.now_s, rng=self.rng)
        self.under_way.append((at, other, question))

    def tell(self, at, other):
        news = self.protocols[at].news(self.now_s)
        self.under_way.append((at, other, news))

    def arrive(self, index, *, again=False):
        if not self.under_way:
            return
        index %= len(self.under_way)
        sender, at, message = self.under_way[index]
        if not again:
            self.under_way.pop(index)
        answers = self.protocols[at].receive(
            message, now_s=self.now_s, rng=self.rng
        )
        self.under_way.extend((at, sender, answer) for answer in answers)

    def lose(self, index):
        if self.under_way:
            self.under_way.pop(index % len(self.under_way))

    def fetch(self, at, other):
        """Hand the routes in force over."""
        self.versions[at] = max(self.versions[at], self.versions[other])

    def held(self, at):
        return {
            key: found.revision
            for key in _KEYS
            if (found := self.replicas[at].log.find(key))
        }

    def drain(self):
        while self.under_way:
            self.arrive(0)


_NODES = 4
_AT = st.integers(0, _NODES - 1)
_STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('wrote'), _AT, st.sampled_from(_KEYS)),
        st.tuples(st.just('read'), _AT),
        st.tuples(st.just('operate')),
        st.tuples(st.just('ask'), _AT, _AT),
        st.tuples(st.just('tell'), _AT, _AT),
        st.tuples(st.just('fetch'), _AT, _AT),
        st.tuples(st.just('arrive'), st.integers(0, 50)),
        st.tuples(st.just('lose'), st.integers(0, 50)),
        st.tuples(st.just('wait'), st.floats(0.01, 5)),
    ),
    max_size=60,
)


def _play(network, steps):
    for name, *arguments in steps:
        if name == 'wait':
            network.now_s += arguments[0]
        else:
            getattr(network, name)(*arguments)
        yield


class TestAnyOrder:
    """Whatever arrives when."""

    @given(steps=_STEPS)
    @settings(max_examples=300, deadline=None)
    def test_what_is_held_never_goes_back(self, steps):
        network = _Network(_NODES)
        before = [network.held(at) for at in range(_NODES)]
        for _ in _play(network, steps):
            after = [network.held(at) for at in range(_NODES)]
            for old, new in zip(before, after, strict=True):
                assert all(new[key] >= old[key] for key in old)
            before = after

    @given(steps=_STEPS)
    @settings(max_examples=300, deadline=None)
    def test_a_cursor_claims_no_more_than_is_held(self, steps):
        network = _Network(_NODES)
        for _ in _play(network, steps):
            for at, replica in enumerate(network.replicas):
                held = network.held(at)
                for key, document in network.store.items():
                    if document.revision <= replica.log.held:
                        assert held[key] == document.revision

    @given(steps=_STEPS)
    @settings(max_examples=300, deadline=None)
    def test_evidence_never_claims_more_than_was_true(self, steps):
        network = _Network(_NODES)
        for _ in _play(network, steps):
            for at, replica in enumerate(network.replicas):
                age_s = replica.evidence.age_s(network.now_s)
                known_s = network.now_s - age_s
                must = [
                    version
                    for version, written_s in network.written_s
                    if written_s < known_s
                ]
                assert network.versions[at] >= max(must, default=0)

    @given(steps=_STEPS)
    @settings(max_examples=200, deadline=None)
    def test_questions_bring_all_to_the_same_state(self, steps):
        network = _Network(_NODES)
        for _ in _play(network, steps):
            """Play on."""
        network.read(0)
        for _ in range(3):
            for at in range(_NODES):
                network.ask(at, (at + 1) % _NODES)
                network.ask(at, 0)
                network.drain()
        whole = {key: one.revision for key, one in network.store.items()}
        assert all(network.held(at) == whole for at in range(_NODES))


class TestNews:
    """What is passed on at once."""

    def test_news_is_told_once_by_everyone_who_hears_of_it(self):
        network = _Network(3)
        network.wrote(0, 'k/a')
        network.tell(0, 1)
        assert not network.replicas[0].is_hot
        network.drain()
        assert network.replicas[1].is_hot
        network.tell(1, 2)
        network.tell(1, 0)
        network.drain()
        assert network.held(2) == {'k/a': 2}
        assert not network.replicas[0].is_hot

    def test_a_listing_is_no_news(self):
        network = _Network(2)
        network.write('k/a')
        network.read(0)
        assert not network.replicas[0].is_hot

    def test_one_that_is_far_behind_names_whom_to_copy_from(self):
        network = _Network(2)
        for number in range(400):
            network.write(f'k/{number:040}{random.Random(number).random()}')
        documents = sorted(network.store.values(), key=lambda one: one.revision)
        network.replicas[0].read(
            Transfer(
                after=0,
                upto=network.revision,
                goal=network.revision,
                documents=tuple(documents),
                is_whole=True,
                floor=network.revision,
            )
        )
        network.ask(1, 0)
        network.drain()
        assert network.replicas[1].ahead is None
        network.now_s += 4
        network.ask(1, 0)
        network.drain()
        assert network.replicas[1].ahead == 'n0'
        copy = network.replicas[0].copy(after=0)
        network.replicas[1].take(copy, 'n0', network.now_s)
        assert len(network.replicas[1].take_changed()) == 400
        assert network.replicas[1].log.held == network.revision


class TestEvidence:
    """How recent what is held is."""

    @pytest.mark.parametrize(
        ('fetched', 'expected_s'), [(True, 2.0), (False, float('inf'))]
    )
    def test_it_is_taken_over_only_with_what_it_is_about(
        self, fetched, expected_s
    ):
        network = _Network(2)
        network.operate()
        network.read(0)
        network.now_s += 2
        if fetched:
            network.fetch(1, 0)
        network.ask(1, 0)
        network.drain()
        age_s = network.replicas[1].evidence.age_s(network.now_s)
        assert age_s == pytest.approx(expected_s, rel=0.01)

    def test_an_answer_counts_once(self):
        network = _Network(2)
        network.read(0)
        network.ask(1, 0)
        network.arrive(0)
        network.arrive(0, again=True)
        network.now_s += 50
        network.arrive(0)
        age_s = network.replicas[1].evidence.age_s(network.now_s)
        assert age_s == pytest.approx(50, rel=0.01)

    def test_unasked_news_are_no_evidence(self):
        network = _Network(2)
        network.read(0)
        network.tell(0, 1)
        network.drain()
        digest = network.replicas[1].digest(network.now_s)
        assert digest.age_ms == wire.UNKNOWN_AGE_MS
