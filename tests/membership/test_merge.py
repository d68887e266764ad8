"""Announcements and documents merge to the same state in any order."""

import dataclasses

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from fescueknot.bench.gossipfleets import announcement, places
from fescueknot.gossip.document_log import DocumentLog
from fescueknot.gossip.documents import Document, Transfer
from fescueknot.membership.announcements import InstanceState
from fescueknot.membership.catalog import TOMBSTONE_TTL_S, Catalog
from fescueknot.membership.view import LocalView

_REPEATABLE = settings(derandomize=True, deadline=None)
_WHERE = places(regions=1, domains=1)[0]
_BASE = announcement(0, place=_WHERE)

_versions = st.builds(
    lambda number, incarnation, sequence, state: msgspec.structs.replace(
        announcement(number, place=_WHERE),
        incarnation=incarnation,
        sequence=sequence,
        state=state,
    ),
    st.integers(0, 3),
    st.integers(1, 3),
    st.integers(1, 3),
    st.sampled_from(InstanceState),
)


class TestCatalogMerge:
    """Merging is monotonic, and independent of order and repetition."""

    @_REPEATABLE
    @given(st.lists(_versions, max_size=30), st.randoms())
    def test_order_and_repetition_do_not_matter(self, news, rng):
        shuffled = news + rng.sample(news, len(news) // 2)
        rng.shuffle(shuffled)
        first, second = Catalog(), Catalog()
        for one in news:
            first.merge(one, wall_s=0)
        for one in shuffled:
            second.merge(one, wall_s=0)
        assert set(first.all_announcements()) == set(second.all_announcements())
        assert first.root == second.root
        assert first.present_count == second.present_count

    @_REPEATABLE
    @given(st.lists(_versions, max_size=30))
    def test_versions_never_go_back(self, news):
        catalog = Catalog()
        for one in news:
            before = catalog.find(one.name)
            catalog.merge(one, wall_s=0)
            after = catalog.find(one.name)
            assert after.version >= one.version
            assert before is None or after.version >= before.version

    def test_an_expired_tombstone_stays_away(self):
        catalog = Catalog()
        gone = _BASE.restated(state=InstanceState.LEFT, wall_s=0)
        catalog.merge(gone, wall_s=0)
        catalog.expire(wall_s=TOMBSTONE_TTL_S + 1)
        assert not catalog.merge(gone, wall_s=TOMBSTONE_TTL_S + 1)
        assert not len(catalog)
        assert catalog.root == Catalog().root


class TestOwnName:
    """What an instance does about claims on its own name."""

    def test_a_claim_of_loss_is_refuted(self):
        view = LocalView(own=_BASE, now_s=0)
        claim = _BASE.restated(state=InstanceState.LOST, wall_s=0)
        view.merge(claim, now_s=1)
        assert view.catalog.find(_BASE.name).is_working
        assert view.own.version > claim.version
        assert not view.is_superseded

    def test_a_draining_instance_refutes_as_draining(self):
        view = LocalView(own=_BASE, now_s=0)
        view.announce(InstanceState.DRAINING, now_s=0)
        view.merge(
            view.own.restated(state=InstanceState.SUSPECT, wall_s=0), now_s=1
        )
        assert view.own.state is InstanceState.DRAINING
        assert view.catalog.find(_BASE.name) == view.own

    def test_a_woken_host_yields_to_its_successor(self):
        view = LocalView(own=_BASE, now_s=0)
        successor = announcement(
            0, place=_WHERE, incarnation=_BASE.incarnation + 1
        )
        view.merge(successor, now_s=1)
        view.announce(InstanceState.SERVING, now_s=2)
        assert view.is_superseded
        assert view.catalog.find(_BASE.name) == successor


@dataclasses.dataclass(frozen=True)
class _Put:
    key: str
    is_deletion: bool


_puts = st.lists(
    st.builds(_Put, st.sampled_from('abcdef'), st.booleans()), max_size=40
)


def _state(log: DocumentLog) -> dict[str, str]:
    return {
        document.key: document.content
        for document in log.since(0)
        if document.content is not None
    }


def _check(log: DocumentLog, history: list[Document]) -> None:
    """Check that ``log`` has, of each key, the last put up to its revision."""
    expected = {put.key: put for put in history if put.revision <= log.held}
    for key, put in expected.items():
        present = log.find(key)
        is_forgotten = present is None and put.content is None
        assert is_forgotten or present.revision >= put.revision


def _gossip(logs: list[DocumentLog], data: st.DataObject) -> None:
    for _ in range(data.draw(st.integers(0, 4))):
        source, target = data.draw(st.permutations(logs))[:2]
        limit_bytes = data.draw(st.sampled_from((60, 120, 10_000)))
        before = target.held
        target.apply(
            source.export(after=target.cursor, limit_bytes=limit_bytes)
        )
        assert target.held >= before


class TestDocumentLog:
    """A log that claims a revision holds the store's state at least there."""

    @_REPEATABLE
    @given(_puts, st.data())
    def test_held_is_true_however_pieces_come(self, puts, data):
        logs = [DocumentLog(tombstone_limit=2) for _ in range(4)]
        history = []
        for revision, put in enumerate(puts, start=1):
            content = None if put.is_deletion else f'{put.key}{revision}'
            document = Document(key=put.key, revision=revision, content=content)
            history.append(document)
            logs[0].apply(
                Transfer(
                    after=revision - 1,
                    upto=revision,
                    goal=revision,
                    documents=(document,),
                )
            )
            _gossip(logs, data)
            for log in logs:
                _check(log, history)

    def test_a_whole_copy_buries_what_it_lacks(self):
        log = DocumentLog()
        log.apply(
            Transfer(
                after=0,
                upto=2,
                goal=2,
                documents=(
                    Document(key='a', revision=1, content='1'),
                    Document(key='b', revision=2, content='2'),
                ),
            )
        )
        log.apply(
            Transfer(
                after=0,
                upto=9,
                goal=9,
                documents=(Document(key='b', revision=2, content='2'),),
                is_whole=True,
            )
        )
        assert _state(log) == {'b': '2'}
        assert log.held == 9

    def test_an_older_store_changes_nothing(self):
        log = DocumentLog()
        log.apply(
            Transfer(
                after=0,
                upto=5,
                goal=5,
                documents=(Document(key='a', revision=5, content='new'),),
            )
        )
        log.apply(Transfer(after=0, upto=3, goal=3, is_whole=True))
        assert _state(log) == {'a': 'new'}
        assert log.held == 5
