"""Each edit is accepted at most once, and never overwritten silently."""

import itertools

import pytest

from fescueknot.clock import ManualClock
from fescueknot.objectapi.faults import FaultPlan, FaultyStore
from fescueknot.objectapi.memory_store import MemoryStore
from fescueknot.objectapi.store import ObjectStore
from fescueknot.rules import errors
from fescueknot.rules.edit import Applied, ApplyResult, Edit, Unchanged
from fescueknot.rules.in_force import RulesInForce
from fescueknot.rules.log_view import LogLayout, messages_of
from fescueknot.rules.problems import InvalidRules
from fescueknot.rules.publisher import RulesPublisher
from fescueknot.rules.restore import LogRestorer
from tests.rules.racing_store import RacingStore

_LAYOUT = LogLayout(slots=32, versions_per_snapshot=8)


class _LogFixture:
    """A rules log in a faulty store, and publishers that write to it."""

    def __init__(self) -> None:
        self.memory = MemoryStore()
        self.store = FaultyStore(inner=self.memory, sleep=lambda _delay_s: None)
        self._ids = map(str, itertools.count())

    def publisher(self, store: ObjectStore | None = None) -> RulesPublisher:
        return RulesPublisher(
            store=store or self.store,
            clock=ManualClock(),
            change_ids=lambda: next(self._ids),
            layout=_LAYOUT,
        )

    def apply(self, name: str, base: int) -> ApplyResult:
        return self.publisher().apply(_edit(name, base))

    def head(self) -> tuple[int, tuple[str, ...]]:
        """Return the version and the lines in the store, without faults."""
        view = self.publisher(self.memory).read()
        return view.head.version, view.head.lines

    def apply_edits(self, versions: int) -> None:
        start = self.head()[0]
        for version in range(start, start + versions):
            self.apply(f'p{version}', version)


def _line(name: str) -> str:
    return f'a GET /{name} class=low # {name}'


def _edit(name: str, base: int) -> Edit:
    return Edit(
        text=_line(name), file='f.rules', author=name, base_version=base
    )


@pytest.fixture
def log() -> _LogFixture:
    return _LogFixture()


class TestApply:
    """A store without faults."""

    def test_versions_are_consecutive(self, log: _LogFixture) -> None:
        assert isinstance(log.apply('marta', 0), Applied)
        assert isinstance(log.apply('andres', 1), Applied)
        assert log.head() == (2, (_line('andres'),))

    def test_no_change_writes_nothing(self, log: _LogFixture) -> None:
        log.apply('marta', 0)
        assert log.apply('marta', 0) == Unchanged(version=1)
        assert log.head()[0] == 1

    def test_invalid_rules_are_not_written(self, log: _LogFixture) -> None:
        with pytest.raises(InvalidRules):
            log.publisher().apply(
                Edit(text='a', file='f', author='x', base_version=0)
            )
        assert log.head()[0] == 0

    def test_edit_based_on_an_older_version(self, log: _LogFixture) -> None:
        log.apply('marta', 0)
        with pytest.raises(errors.BaseMoved, match='marta'):
            log.apply('andres', 0)

    def test_lost_race_names_the_other_author(self, log: _LogFixture) -> None:
        store = RacingStore(inner=log.memory)
        store.before_write = lambda: log.apply('marta', 0)
        racing_publisher = log.publisher(store)
        with pytest.raises(errors.RaceLost, match='marta'):
            racing_publisher.apply(_edit('andres', 0))
        assert log.head() == (1, (_line('marta'),))

    def test_large_edit(self, log: _LogFixture) -> None:
        names = [f'{number:x}' for number in range(3000)]
        text = '\n'.join(map(_line, names))
        edit = Edit(text=text, file='f', author='x', base_version=0)
        log.publisher().apply(edit)
        assert len(log.head()[1]) == len(names)


class TestLostAnswers:
    """A store that is down, or loses writes or answers."""

    def test_lost_answer_is_resolved_by_reading_back(
        self, log: _LogFixture
    ) -> None:
        log.store.set_plan(FaultPlan(lost_answers_ratio=1))
        result = log.apply('marta', 0)
        assert isinstance(result, Applied)
        assert log.head() == (1, (_line('marta'),))

    def test_lost_write_is_unknown_and_can_be_retried(
        self, log: _LogFixture
    ) -> None:
        log.store.set_plan(FaultPlan(lost_writes_ratio=1))
        with pytest.raises(errors.ApplyUnknown):
            log.apply('marta', 0)
        assert log.head()[0] == 0
        log.store.set_plan(FaultPlan())
        assert isinstance(log.apply('marta', 0), Applied)

    def test_lost_answer_with_stale_reads(self, log: _LogFixture) -> None:
        log.store.set_plan(FaultPlan(stale_reads=True))
        log.store.set_plan(FaultPlan(stale_reads=True, lost_answers_ratio=1))
        with pytest.raises(errors.ApplyUnknown):
            log.apply('marta', 0)
        assert log.head()[0] == 1
        log.store.set_plan(FaultPlan())
        assert log.apply('marta', 0) == Unchanged(version=1)

    @pytest.mark.parametrize(
        'plan', [FaultPlan(down=True), FaultPlan(rate_limited=True)]
    )
    def test_refused_call_changes_nothing(
        self, log: _LogFixture, plan: FaultPlan
    ) -> None:
        log.store.set_plan(plan)
        with pytest.raises(errors.LogUnavailable):
            log.apply('marta', 0)
        assert log.head()[0] == 0


class TestRing:
    """The ring of log slots: bounded, and protected from stale writers."""

    @pytest.mark.parametrize(
        'new_versions', [3, _LAYOUT.slots, _LAYOUT.slots + 3]
    )
    def test_operator_with_stale_reads(
        self, log: _LogFixture, new_versions: int
    ) -> None:
        log.apply_edits(2)
        log.store.set_plan(FaultPlan(stale_reads=True))
        fresh_publisher = log.publisher(log.memory)
        for version in range(2, 2 + new_versions):
            fresh_publisher.apply(_edit(f'p{version}', version))
        with pytest.raises(errors.RaceLost):
            log.apply('old', 2)
        assert log.head()[0] == 2 + new_versions

    def test_log_size_is_bounded(self, log: _LogFixture) -> None:
        log.apply_edits(2 * _LAYOUT.slots + _LAYOUT.versions_per_snapshot + 5)
        listing = log.memory.list('rules/')
        assert len(listing.objects) <= _LAYOUT.slots + 2
        oldest = messages_of(listing)[0]
        assert (
            log.head()[0] - oldest.version <= 2 * _LAYOUT.versions_per_snapshot
        )

    def test_overdue_snapshot_is_written_by_a_later_edit(
        self, log: _LogFixture
    ) -> None:
        log.store.set_plan(FaultPlan(down=True, prefix='rules/snapshot'))
        with pytest.raises(errors.LogUnavailable, match='snapshot'):
            log.apply_edits(_LAYOUT.slots)
        accepted_version = log.head()[0]
        assert accepted_version > 2 * _LAYOUT.versions_per_snapshot
        log.store.set_plan(FaultPlan())
        log.apply_edits(1)
        assert log.head()[0] == accepted_version + 1


class TestRestore:
    """The log of a store that lost its state is restored from a node."""

    @pytest.mark.parametrize('versions_before_loss', [0, 2])
    def test_versions_continue_after_a_restore(
        self, log: _LogFixture, versions_before_loss: int
    ) -> None:
        log.apply_edits(5)
        node = RulesInForce()
        node.offer(log.publisher().read().head.snapshot())
        reset_log = _LogFixture()
        reset_log.apply_edits(versions_before_loss)
        reset_log.apply('other', versions_before_loss)
        restorer = LogRestorer(store=reset_log.store)
        restorer.restore(node.messages_after(0)[0])
        assert reset_log.head()[0] == 5
        applied = reset_log.apply('next', 5)
        node.offer(applied.entry)
        assert node.version == 6
        with pytest.raises(errors.BaseMoved):
            restorer.restore(node.messages_after(0)[0])
