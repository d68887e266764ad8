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
    def test_order_and_repetition_do_not_matter(self, entries, rng):
        shuffled = entries + rng.sample(entries, len(entries) // 2)
        rng.shuffle(shuffled)
        first, second = Catalog(), Catalog()
        for entry in entries:
            first.merge(entry, wall_s=0)
        for entry in shuffled:
            second.merge(entry, wall_s=0)
        assert set(first.all_announcements()) == set(second.all_announcements())
        assert first.root == second.root
        assert first.present_count == second.present_count

    @_REPEATABLE
    @given(st.lists(_versions, max_size=30))
    def test_versions_never_go_back(self, entries):
        catalog = Catalog()
        for entry in entries:
            before = catalog.find(entry.name)
            catalog.merge(entry, wall_s=0)
            after = catalog.find(entry.name)
            assert after.version >= entry.version
            assert before is None or after.version >= before.version

    def test_an_expired_tombstone_is_not_accepted_again(self):
        catalog = Catalog()
        tombstone = _BASE.with_state(state=InstanceState.LEFT, wall_s=0)
        catalog.merge(tombstone, wall_s=0)
        catalog.expire(wall_s=TOMBSTONE_TTL_S + 1)
        assert not catalog.merge(tombstone, wall_s=TOMBSTONE_TTL_S + 1)
        assert not len(catalog)
        assert catalog.root == Catalog().root


class TestOwnAnnouncement:
    """Handling of announcements of the local name made by other processes."""

    def test_a_lost_announcement_is_refuted(self):
        view = LocalView(own=_BASE, now_s=0)
        claim = _BASE.with_state(state=InstanceState.LOST, wall_s=0)
        view.merge(claim, now_s=1)
        assert view.catalog.find(_BASE.name).is_working
        assert view.own.version > claim.version
        assert not view.is_superseded

    def test_a_refutation_keeps_the_state_draining(self):
        view = LocalView(own=_BASE, now_s=0)
        view.announce(InstanceState.DRAINING, now_s=0)
        view.merge(
            view.own.with_state(state=InstanceState.SUSPECT, wall_s=0), now_s=1
        )
        assert view.own.state is InstanceState.DRAINING
        assert view.catalog.find(_BASE.name) == view.own

    def test_a_resumed_process_is_superseded_by_its_successor(self):
        view = LocalView(own=_BASE, now_s=0)
        successor = announcement(
            0, place=_WHERE, incarnation=_BASE.incarnation + 1
        )
        view.merge(successor, now_s=1)
        view.announce(InstanceState.SERVING, now_s=2)
        assert view.is_superseded
        assert view.catalog.find(_BASE.name) == successor


@dataclasses.dataclass(frozen=True)
class _Change:
    key: str
    is_deletion: bool


_changes = st.lists(
    st.builds(_Change, st.sampled_from('abcdef'), st.booleans()), max_size=40
)


def _state(log: DocumentLog) -> dict[str, str]:
    return {
        document.key: document.content
        for document in log.since(0)
        if document.content is not None
    }


def _assert_complete(log: DocumentLog, history: list[Document]) -> None:
    """Check that ``log`` has the last change of each key up to its revision."""
    expected = {
        change.key: change for change in history if change.revision <= log.held
    }
    for key, change in expected.items():
        present = log.find(key)
        is_expired_tombstone = present is None and change.content is None
        assert is_expired_tombstone or present.revision >= change.revision


def _exchange_transfers(logs: list[DocumentLog], data: st.DataObject) -> None:
    for _ in range(data.draw(st.integers(0, 4))):
        source, target = data.draw(st.permutations(logs))[:2]
        limit_bytes = data.draw(st.sampled_from((60, 120, 10_000)))
        before = target.held
        target.apply(
            source.export(after=target.cursor, limit_bytes=limit_bytes)
        )
        assert target.held >= before


class TestDocumentLog:
    """A log that holds a revision has all changes up to that revision."""

    @_REPEATABLE
    @given(_changes, st.data())
    def test_held_state_is_complete_for_any_pieces(self, changes, data):
        logs = [DocumentLog(tombstone_limit=2) for _ in range(4)]
        history = []
        for revision, change in enumerate(changes, start=1):
            content = None if change.is_deletion else f'{change.key}{revision}'
            document = Document(
                key=change.key, revision=revision, content=content
            )
            history.append(document)
            logs[0].apply(
                Transfer(
                    after=revision - 1,
                    upto=revision,
                    goal=revision,
                    documents=(document,),
                )
            )
            _exchange_transfers(logs, data)
            for log in logs:
                _assert_complete(log, history)

    def test_a_whole_copy_deletes_missing_documents(self):
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

    def test_an_older_whole_copy_changes_nothing(self):
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
