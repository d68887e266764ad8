"""A state machine of operators, a faulty store, and nodes that read the log.

All of them must see the same history of the rules.
"""

import itertools

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from msgspec.structs import replace

from fescueknot.clock import ManualClock
from fescueknot.objectapi.errors import ObjectApiError
from fescueknot.objectapi.faults import FaultPlan
from fescueknot.objectapi.memory_store import MemoryStore
from fescueknot.objectapi.store import ObjectStore
from fescueknot.rules import errors
from fescueknot.rules.edit import Applied, Edit
from fescueknot.rules.in_force import RulesInForce
from fescueknot.rules.log_entry import LogMessage
from fescueknot.rules.log_view import (
    LogLayout,
    LogView,
    messages_of,
    view_of,
)
from fescueknot.rules.past_versions import lines_at
from fescueknot.rules.publisher import RulesPublisher
from tests.rules.racing_store import RacingStore

_PLANS = (
    FaultPlan(),
    FaultPlan(lost_answers_ratio=1),
    FaultPlan(lost_writes_ratio=1),
    FaultPlan(lost_answers_ratio=0.5, lost_writes_ratio=0.5),
    FaultPlan(down=True),
)
_NOT_APPLIED = (
    errors.BaseMoved,
    errors.RaceLost,
    errors.LogUnavailable,
)
_NODES = 3
_LAYOUT = LogLayout(slots=8, versions_per_snapshot=2)
_rule_numbers = strategies.integers(0, 99)
_node_numbers = strategies.integers(0, _NODES - 1)


class RulesLogMachine(RuleBasedStateMachine):
    """Checks nodes and operators against the log stored without faults."""

    @initialize()
    def start(self) -> None:
        self.memory = MemoryStore()
        self.store = RacingStore(inner=self.memory)
        self.nodes = [RulesInForce() for _ in range(_NODES)]
        self.min_versions = [0 for _ in range(_NODES)]
        self.accepted: dict[int, tuple[str, ...]] = {0: ()}
        self.accepted_messages: list[LogMessage] = []
        self.ids = map(str, itertools.count())

    @rule(is_stale=strategies.booleans())
    def set_stale_reads(self, is_stale: bool) -> None:
        self.store.set_plan(FaultPlan(stale_reads=is_stale))

    @rule(
        number=_rule_numbers,
        base_age=strategies.integers(0, 1),
        plan=strategies.sampled_from(_PLANS),
        concurrent_number=strategies.none() | _rule_numbers,
    )
    def apply(
        self,
        number: int,
        base_age: int,
        plan: FaultPlan,
        concurrent_number: int | None,
    ) -> None:
        edit = self._edit(number, base_age)
        if concurrent_number is not None:
            concurrent_edit = self._edit(concurrent_number, 0)
            self.store.before_write = lambda: self._apply_without_faults(
                concurrent_edit
            )
        is_stale = self.store.plan.stale_reads
        self.store.set_plan(replace(plan, stale_reads=is_stale))
        self._apply_with_faults(edit, next(self.ids))
        self.store.set_plan(FaultPlan(stale_reads=is_stale))
        self.store.before_write = None

    @rule(node=_node_numbers, is_faulty=strategies.booleans())
    def read_store(self, node: int, is_faulty: bool) -> None:
        store = self.store if is_faulty else self.memory
        try:
            listing = store.list('rules/')
        except ObjectApiError:
            return
        for message in messages_of(listing):
            self.nodes[node].offer(message)

    @rule(node=_node_numbers, random_source=strategies.randoms())
    def receive_from_peer(self, node: int, random_source) -> None:
        if self.accepted_messages:
            self.nodes[node].offer(random_source.choice(self.accepted_messages))

    @rule(node=_node_numbers, peer=_node_numbers)
    def receive_snapshot_of_peer(self, node: int, peer: int) -> None:
        if self.nodes[peer].version:
            self.nodes[node].offer(self.nodes[peer].head.snapshot())

    @rule(node=_node_numbers)
    def restart(self, node: int) -> None:
        self.nodes[node] = RulesInForce()
        self.min_versions[node] = 0

    @invariant()
    def versions_never_decrease(self) -> None:
        for number, node in enumerate(self.nodes):
            assert node.version >= self.min_versions[number]
            assert node.rules.lines == self.accepted[node.version]
            self.min_versions[number] = node.version

    def teardown(self) -> None:
        view = self._stored_log()
        for node in self.nodes:
            for message in messages_of(self.memory.list('rules/')):
                node.offer(message)
            assert node.version == view.head.version

    def _edit(self, number: int, base_age: int) -> Edit:
        head = self._stored_log().head
        lines = dict.fromkeys(head.lines[-3:])
        lines[_line(number)] = None
        return Edit(
            text='\n'.join(lines),
            file='f.rules',
            author='x',
            base_version=max(0, head.version - base_age),
        )

    def _apply_without_faults(self, edit: Edit) -> None:
        self._publisher(self.memory, next(self.ids)).apply(edit)
        self._check_history()

    def _apply_with_faults(self, edit: Edit, change_id: str) -> None:
        try:
            result = self._publisher(self.store, change_id).apply(edit)
        except _NOT_APPLIED:
            assert change_id not in self._change_ids()
        except errors.ApplyUnknown:
            assert self.store.plan != FaultPlan()
        else:
            applied = isinstance(result, Applied)
            assert applied == (change_id in self._change_ids())
        self._check_history()

    def _publisher(self, store: ObjectStore, change_id: str) -> RulesPublisher:
        return RulesPublisher(
            store=store,
            clock=ManualClock(),
            change_ids=lambda: change_id,
            layout=_LAYOUT,
        )

    def _stored_log(self) -> LogView:
        return view_of(self.memory.list('rules/'))

    def _change_ids(self) -> set[str]:
        return {entry.change_id for entry in self._stored_log().entries}

    def _check_history(self) -> None:
        """Record accepted versions; check that none is changed or lost."""
        view = self._stored_log()
        head = view.head
        recorded_lines = self.accepted.setdefault(head.version, head.lines)
        assert recorded_lines == head.lines
        for entry in view.entries:
            assert lines_at(view, entry.version) == self.accepted[entry.version]
        self.accepted_messages += view.entries[-2:]
        assert head.version == max(self.accepted)
        if head.version:
            self.accepted_messages.append(head.snapshot())


def _line(number: int) -> str:
    return f's{number} GET /x/{number} class=low # x'


TestRulesLog = RulesLogMachine.TestCase
TestRulesLog.settings = settings(
    max_examples=200,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
)
