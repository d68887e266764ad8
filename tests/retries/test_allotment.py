"""The bound on attempts over the whole call tree of a root request."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fescueknot.retries.allotment import AllotmentShare, RetryAllotment
from fescueknot.retries.errors import AllotmentError


class CallNode(msgspec.Struct, frozen=True, kw_only=True):
    """A call: number of failed attempts, lost answer, downstream calls."""

    failures: int
    answer_lost: bool = False
    downstream: tuple['CallNode', ...] = ()


def _call_nodes(children):
    return st.builds(
        CallNode,
        failures=st.integers(0, 6),
        answer_lost=st.booleans(),
        downstream=st.lists(children, max_size=4).map(tuple),
    )


_LEAVES = st.builds(CallNode, failures=st.integers(0, 6))
_TREES = st.recursive(_LEAVES, _call_nodes, max_leaves=30)


class TreeRun:
    """Runs a call tree; retries as often as the allotment allows."""

    def __init__(self):
        self.calls = 0
        self.attempts = 0

    def call(self, node, allotment, calls_to_come=1):
        self.calls += 1
        self._attempt(node, allotment, calls_to_come)
        for _ in range(node.failures):
            if not allotment.spend():
                return
            self._attempt(node, allotment, calls_to_come)

    def _attempt(self, node, allotment, calls_to_come):
        self.attempts += 1
        lent = allotment.lend(calls_to_come)
        downstream = RetryAllotment(attempts=lent.attempts)
        for index, child in enumerate(node.downstream):
            self.call(child, downstream, len(node.downstream) - index)
        if not node.answer_lost:
            allotment.give_back(AllotmentShare(attempts=downstream.held))


def _size(node):
    return 1 + sum(_size(child) for child in node.downstream)


def _naive_attempts(node):
    downstream = sum(_naive_attempts(child) for child in node.downstream)
    return (node.failures + 1) * (1 + downstream)


class TestTreeBound:
    """attempts <= calls + R, hence attempts <= size * (1 + R)."""

    @given(tree=_TREES, extra=st.integers(0, 10))
    @settings(max_examples=300, derandomize=True, deadline=None)
    def test_bound_holds_for_any_tree_and_failures(self, tree, extra):
        run = TreeRun()
        run.call(tree, RetryAllotment(attempts=extra))
        assert run.attempts <= run.calls + extra
        assert run.attempts <= _size(tree) * (1 + extra)

    @pytest.mark.parametrize('depth', [1, 5, 13])
    def test_chain_does_not_multiply_attempts(self, depth):
        chain = CallNode(failures=2)
        for _ in range(depth - 1):
            chain = CallNode(failures=2, downstream=(chain,))
        run = TreeRun()
        run.call(chain, RetryAllotment(attempts=3))
        assert run.attempts <= depth * 4
        assert _naive_attempts(chain) >= 3**depth


class TestSharing:
    """Shares that are lent and returned."""

    def test_unspent_share_is_returned(self):
        allotment = RetryAllotment(attempts=3)
        share = allotment.lend(2)
        assert (share.attempts, allotment.held) == (2, 1)
        allotment.give_back(AllotmentShare(attempts=1))
        assert allotment.held == 2

    def test_give_back_rejects_more_than_was_lent(self):
        allotment = RetryAllotment(attempts=3)
        allotment.lend()
        with pytest.raises(AllotmentError):
            allotment.give_back(AllotmentShare(attempts=4))
