"""The fleet's pickers while targets come and go."""

from fescueknot.calls import Importance
from fescueknot.identity import Address, InstanceId, Place
from fescueknot.randomness import seeded
from fescueknot.relay.messages import AnswerHead, Ending, RefusedFor, Reply
from fescueknot.relay.runs import Lineage
from fescueknot.relay.target_selector import TargetSelector, viewpoint_of
from fescueknot.retries.shared_budget import SharedBudgetSettings
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.targets.directory import TargetDirectory
from tests.relay.fakes import target_document, target_documents

_PLACE = Place(region='sierra', failure_domain='sierra-a')
_LINEAGE = Lineage(root='r', importance=Importance.NORMAL)
_UNREACHABLE = Reply(
    head=AnswerHead(ending=Ending.REFUSED, refused_for=RefusedFor.UNREACHABLE)
)


class _Nodes:
    """Stands for the reachability of nodes."""

    def __init__(self):
        self.gone = set()

    def is_unreachable(self, node):
        return node in self.gone

    def mark_unreachable(self, node):
        self.gone.add(node)

    def retain(self, known):
        self.gone &= known


def _selector(*ports):
    directory = TargetDirectory()
    nodes = _Nodes()
    rng = seeded(seed=1)
    selector = TargetSelector(
        directory=directory,
        routes=RoutesInForce(rng=rng),
        viewpoint=viewpoint_of(name='me', place=_PLACE),
        retry_budget=SharedBudgetSettings(),
        reachability=nodes,
        rng=rng,
    )
    selector.refresh(
        directory.apply_changes(target_documents(_PLACE, *ports)), 0
    )
    return selector, directory, nodes


_NONE = frozenset()


def _pick(fleet, tried=_NONE):
    return fleet.pick('entries', 0, tried, lineage=_LINEAGE, left_s=1)


class TestLostNodes:
    """Nodes that take no connections."""

    def test_they_are_the_last_resort(self):
        fleet, _, nodes = _selector(1, 2)
        nodes.mark_unreachable(Address(host='10.0.0.1', port=1))
        assert {_pick(fleet).node.port for _ in range(20)} == {2}
        tried = frozenset((InstanceId(name='i-2', incarnation=1),))
        assert _pick(fleet, tried).node.port == 1

    def test_a_call_that_outlived_its_target_ends(self):
        fleet, directory, nodes = _selector(1, 2)
        instance = InstanceId(name='i-1', incarnation=1)
        fleet.started('entries', instance, 0)
        gone = target_document('n1', None, revision=2)
        fleet.refresh(directory.apply_changes((gone,)), 1)
        fleet.finished('entries', instance, _UNREACHABLE, 0.1, 1)
        assert not nodes.gone
