"""Random faults in a row: what holds always, and what holds afterwards."""

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from fescueknot.bench.fakenetwork import FakeNode, Link
from fescueknot.bench.gossipfleets import Fleet, places
from fescueknot.bench.gossipload import Load
from fescueknot.identity import Place
from fescueknot.membership.announcements import InstanceState

_SIZE = 12
_SETTLE_S = 60
_numbers = st.integers(0, _SIZE - 1)
_seeds = st.integers(0, 1000)
_loss_ratios = st.sampled_from((0, 0.1))


def _between_regions(source: Place, target: Place) -> bool:
    return source.region != target.region


def _may_replace(machine) -> bool:
    return len(machine.retired) < 3


class MembershipMachine(RuleBasedStateMachine):
    """Kills, pauses, restarts, cuts and changes, in any order."""

    @initialize(seed=_seeds, loss_ratio=_loss_ratios)
    def start(self, seed, loss_ratio):
        link = Link(loss_ratio=loss_ratio, jitter_s=0.1)
        where = places(regions=2, domains=4)
        self.fleet = Fleet(size=_SIZE, where=where, seed=seed, link=link)
        self.load = Load(fleet=self.fleet)
        self.nodes = list(self.fleet.nodes)
        self.retired: list[FakeNode] = []
        self.versions: dict[int, dict[str, tuple]] = {}
        self.held: dict[int, int] = {}
        self.revision = 0

    @rule(duration_s=st.sampled_from((0.3, 3, 12)))
    def run(self, duration_s):
        self.load.run(duration_s, rates=())

    @rule(number=_numbers)
    def pause(self, number):
        self.nodes[number].is_frozen = True

    @rule(number=_numbers)
    def wake(self, number):
        if self.nodes[number].is_frozen:
            self.fleet.network.thaw(self.nodes[number])

    @precondition(_may_replace)
    @rule(number=_numbers)
    def replace(self, number):
        """Start a successor while the process before it stands still."""
        old = self.nodes[number]
        own = old.view.own
        old.is_frozen = True
        self.retired.append(old)
        successor = msgspec.structs.replace(
            own,
            incarnation=own.incarnation + 100_000,
            sequence=1,
            state=InstanceState.SERVING,
            host=f'10.1.0.{len(self.retired)}',
        )
        self.nodes[number] = self.fleet.start(successor)

    @rule()
    def part(self):
        self.fleet.network.link.is_cut = _between_regions

    @rule()
    def join(self):
        self.fleet.network.link.is_cut = None

    @rule()
    def change_rule(self):
        self.revision = self.load.change_rule()

    @rule(number=_numbers, state=st.sampled_from(('serving', 'draining')))
    def announce(self, number, state):
        node = self.nodes[number]
        if not node.is_frozen:
            now_s = node.clock_s(self.fleet.network.now_s)
            core = node.core
            sent = core.announce(InstanceState(state), now_s=now_s)
            self.fleet.network.send(node, sent)

    @invariant()
    def nothing_reverts(self):
        for node in (*self.nodes, *self.retired):
            held = node.view.documents.held
            assert held >= self.held.get(id(node), 0)
            self.held[id(node)] = held
            before = self.versions.get(id(node), {})
            known = node.view.catalog.all_announcements()
            after = {one.name: one.version for one in known}
            assert all(after[name] >= before[name] for name in before)
            self.versions[id(node)] = after

    @invariant()
    def only_replaced_processes_are_superseded(self):
        assert not any(node.view.is_superseded for node in self.nodes)

    def teardown(self):
        """After the faults all agree, nobody is lost, the old ones yield."""
        self.fleet.network.link = Link()
        for node in (*self.nodes, *self.retired):
            if node.is_frozen:
                self.fleet.network.thaw(node)
        self.load.run(_SETTLE_S, rates=())
        assert len({node.view.catalog.root for node in self.nodes}) == 1
        assert all(node.view.is_superseded for node in self.retired)
        for node in self.nodes:
            assert node.view.documents.held >= self.revision
            states = {
                one.state for one in node.view.catalog.all_announcements()
            }
            assert states <= {InstanceState.SERVING, InstanceState.DRAINING}


TestMembershipMachine = MembershipMachine.TestCase
TestMembershipMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=25, stateful_step_count=20
)
