"""Picking targets while nodes are unreachable or removed."""

from fescueknot.calls import Importance
from fescueknot.identity import Address, InstanceId, Place
from fescueknot.randomness import seeded
from fescueknot.relay.messages import AnswerHead, Ending, RefusedFor, Reply
from fescueknot.relay.runs import Lineage
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.targets.directory import TargetDirectory
from tests.relay.fakes import target_document, target_documents
from tests.relay.selectors import make_selector

_PLACE = Place(region='sierra', failure_domain='sierra-a')
_LINEAGE = Lineage(root='r', importance=Importance.NORMAL)
_UNREACHABLE = Reply(
    head=AnswerHead(ending=Ending.REFUSED, refused_for=RefusedFor.UNREACHABLE)
)


class _FakeReachability:
    """Reachability of nodes, set by the test."""

    def __init__(self):
        self.unreachable = set()

    def is_unreachable(self, node):
        return node in self.unreachable

    def mark_unreachable(self, node):
        self.unreachable.add(node)

    def retain(self, listed):
        self.unreachable &= listed


def _selector(*ports):
    directory = TargetDirectory()
    reachability = _FakeReachability()
    rng = seeded(seed=1)
    selector = make_selector(
        name='me',
        place=_PLACE,
        directory=directory,
        routes=RoutesInForce(rng=rng),
        reachability=reachability,
        rng=rng,
    )
    selector.refresh(
        directory.apply_changes(target_documents(_PLACE, *ports)), 0
    )
    return selector, directory, reachability


_NONE = frozenset()


def _pick_target(selector, tried=_NONE):
    return selector.pick('entries', 0, tried, lineage=_LINEAGE, remaining_s=1)


class TestUnreachableNodes:
    """Nodes that accept no connections."""

    def test_targets_of_unreachable_nodes_are_picked_last(self):
        selector, _, reachability = _selector(1, 2)
        reachability.mark_unreachable(Address(host='10.0.0.1', port=1))
        assert {_pick_target(selector).node.port for _ in range(20)} == {2}
        tried = frozenset((InstanceId(name='i-2', incarnation=1),))
        assert _pick_target(selector, tried).node.port == 1

    def test_a_call_may_finish_after_its_target_was_removed(self):
        selector, directory, reachability = _selector(1, 2)
        instance = InstanceId(name='i-1', incarnation=1)
        selector.started('entries', instance, 0)
        removal = target_document('n1', None, revision=2)
        selector.refresh(directory.apply_changes((removal,)), 1)
        selector.finished('entries', instance, _UNREACHABLE, 0.1, 1)
        assert not reachability.unreachable
