"""Operators, a faulty store and nodes: one history for all of them."""

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
_LAYOUT = LogLayout(slots=8, snapshot_every=2)
_rule_numbers = strategies.integers(0, 99)
_node_numbers = strategies.integers(0, _NODES - 1)


class Agreement(RuleBasedStateMachine):
    """Checks each step against the log in the store."""

    @initialize()
    def start(self) -> None:
        self.memory = MemoryStore()
        self.store = RacingStore(inner=self.memory)
        self.nodes = [RulesInForce() for _ in range(_NODES)]
        self.versions = [0 for _ in range(_NODES)]
        self.accepted: dict[int, tuple[str, ...]] = {0: ()}
        self.seen: list[LogMessage] = []
        self.ids = map(str, itertools.count())

    @rule(is_stale=strategies.booleans())
    def hold_reads(self, is_stale: bool) -> None:
        self.store.set_plan(FaultPlan(stale_reads=is_stale))

    @rule(
        number=_rule_numbers,
        age=strategies.integers(0, 1),
        plan=strategies.sampled_from(_PLANS),
        rival=strategies.none() | _rule_numbers,
    )
    def apply(
        self, number: int, age: int, plan: FaultPlan, rival: int | None
    ) -> None:
        edit = self._edit(number, age)
        if rival is not None:
            rival_edit = self._edit(rival, 0)
            self.store.between = lambda: self._apply_quietly(rival_edit)
        is_stale = self.store.plan.stale_reads
        self.store.set_plan(replace(plan, stale_reads=is_stale))
        self._check_apply(edit, next(self.ids))
        self.store.set_plan(FaultPlan(stale_reads=is_stale))
        self.store.between = None

    @rule(node=_node_numbers, faulty=strategies.booleans())
    def read_store(self, node: int, faulty: bool) -> None:
        store = self.store if faulty else self.memory
        try:
            listing = store.list('rules/')
        except ObjectApiError:
            return
        for message in messages_of(listing):
            self.nodes[node].offer(message)

    @rule(node=_node_numbers, choice=strategies.randoms())
    def hear_from_a_peer(self, node: int, choice) -> None:
        if self.seen:
            self.nodes[node].offer(choice.choice(self.seen))

    @rule(node=_node_numbers, peer=_node_numbers)
    def ask_a_peer_for_its_text(self, node: int, peer: int) -> None:
        if self.nodes[peer].version:
            self.nodes[node].offer(self.nodes[peer].head.snapshot())

    @rule(node=_node_numbers)
    def restart(self, node: int) -> None:
        self.nodes[node] = RulesInForce()
        self.versions[node] = 0

    @invariant()
    def versions_only_go_up(self) -> None:
        for number, node in enumerate(self.nodes):
            assert node.version >= self.versions[number]
            assert node.rules.lines == self.accepted[node.version]
            self.versions[number] = node.version

    def teardown(self) -> None:
        view = self._truth()
        for node in self.nodes:
            for message in messages_of(self.memory.list('rules/')):
                node.offer(message)
            assert node.version == view.head.version

    def _edit(self, number: int, age: int) -> Edit:
        head = self._truth().head
        lines = dict.fromkeys(head.lines[-3:])
        lines[_line(number)] = None
        return Edit(
            text='\n'.join(lines),
            file='f.rules',
            author='x',
            base_version=max(0, head.version - age),
        )

    def _apply_quietly(self, edit: Edit) -> None:
        self._publisher(self.memory, next(self.ids)).apply(edit)
        self._record()

    def _check_apply(self, edit: Edit, change_id: str) -> None:
        try:
            result = self._publisher(self.store, change_id).apply(edit)
        except _NOT_APPLIED:
            assert change_id not in self._change_ids()
        except errors.ApplyUnknown:
            assert self.store.plan != FaultPlan()
        else:
            applied = isinstance(result, Applied)
            assert applied == (change_id in self._change_ids())
        self._record()

    def _publisher(self, store: ObjectStore, change_id: str) -> RulesPublisher:
        return RulesPublisher(
            store=store,
            clock=ManualClock(),
            change_ids=lambda: change_id,
            layout=_LAYOUT,
        )

    def _truth(self) -> LogView:
        return view_of(self.memory.list('rules/'))

    def _change_ids(self) -> set[str]:
        return {entry.change_id for entry in self._truth().entries}

    def _record(self) -> None:
        """Add the accepted versions; they never change, nor get lost."""
        view = self._truth()
        head = view.head
        known = self.accepted.setdefault(head.version, head.lines)
        assert known == head.lines
        for entry in view.entries:
            assert lines_at(view, entry.version) == self.accepted[entry.version]
        self.seen += view.entries[-2:]
        assert head.version == max(self.accepted)
        if head.version:
            self.seen.append(head.snapshot())


def _line(number: int) -> str:
    return f's{number} GET /x/{number} class=low # x'


TestAgreement = Agreement.TestCase
TestAgreement.settings = settings(
    max_examples=200,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
)
