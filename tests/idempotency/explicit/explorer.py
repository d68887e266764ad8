"""Depth-first exploration of all interleavings of a scenario."""

import dataclasses
import hashlib

from tests.idempotency.explicit.copies import Signatures
from tests.idempotency.explicit.parts import Action, Violation
from tests.idempotency.explicit.world import World


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """Result of an exploration."""

    states: int
    steps: int
    reached: frozenset[str]
    violation: str = ''
    trace: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class _SearchNode:
    world: World
    trace: tuple[Action, ...]


class Explorer:
    """Visits each reachable state once, up to a maximum number of states."""

    def __init__(self, *, actions: tuple[Action, ...], max_states: int) -> None:
        self._actions = actions
        self._max_states = max_states
        self._signatures = Signatures()
        self._seen: set[bytes] = set()
        self._reached: set[str] = set()
        self._steps = 0

    def explore(self, world: World) -> Report:
        """Return a report with the first violation found, if any.

        Raise ``RuntimeError`` when there are more than ``max_states``: an
        incomplete exploration would prove nothing.
        """
        world.begin()
        stack = [_SearchNode(world=world, trace=())]
        while stack:
            node = stack.pop()
            for action in filter(node.world.allowed, self._actions):
                after = self._step(node, action)
                if isinstance(after, Report):
                    return after
                if after is not None:
                    stack.append(after)
        return self._report()

    def _step(
        self, node: _SearchNode, action: Action
    ) -> _SearchNode | Report | None:
        world = node.world.copy_for(action)
        self._steps += 1
        trace = (*node.trace, action)
        try:
            world.perform(action)
        except Violation as violation:
            return self._report(str(violation), trace)
        if not self._is_new(world):
            return None
        return _SearchNode(world=world, trace=trace)

    def _is_new(self, world: World) -> bool:
        self._reached |= world.reached
        world.reached.clear()
        state = world.sign(self._signatures)
        digest = hashlib.blake2b(state, digest_size=12).digest()
        if digest in self._seen:
            return False
        self._seen.add(digest)
        if len(self._seen) > self._max_states:
            raise RuntimeError(f'more than {self._max_states} reachable states')
        return True

    def _report(
        self, violation: str = '', trace: tuple[Action, ...] = ()
    ) -> Report:
        return Report(
            states=len(self._seen),
            steps=self._steps,
            reached=frozenset(self._reached),
            violation=violation,
            trace=tuple(map(str, trace)),
        )
