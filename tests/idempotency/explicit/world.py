"""Model of members that runs the production code, for the explicit check.

Each action is one atomic step of one member or of the store. There are no
actions for a pause, a broken link, an unavailable store or a killed member:
these are the interleavings in which the steps concerned come late or never.
A message stays in flight until an action delivers it, so it may arrive after
any later message.
"""

import itertools

from tests.idempotency.explicit.parts import Action
from tests.idempotency.explicit.request_steps import RequestSteps

_UNLIMITED = 1


def _always(actor: str, other: str) -> bool:
    return True


class World(RequestSteps):
    """The state and all steps that the explorer may take."""

    def begin(self) -> None:
        """Bring the healthy members up to date before the first step."""
        self._exchange_state()

    def perform(self, action: Action) -> None:
        """Take one step; raise :class:`Violation` if it breaks a guarantee."""
        before = (self.now_s, self.store.version)
        getattr(self, f'do_{action.kind}')(action.actor, action.other)
        self._use_budget(action)
        if (self.now_s, self.store.version) != before:
            self._exchange_state()

    def allowed(self, action: Action) -> bool:
        """Return whether a step is possible and within its budget."""
        remaining = self._remaining_budget(action)
        if remaining == 0:
            return False
        is_possible = getattr(self, f'can_{action.kind}', _always)
        return is_possible(action.actor, action.other)

    def _exchange_state(self) -> None:
        """Let the healthy members read the store and send acknowledgements."""
        self.copy_hosts(self._healthy)
        for name in self._healthy:
            self.do_read_now(name, '')
        for sender, receiver in itertools.permutations(self._healthy, 2):
            self.do_acknowledge(sender, receiver)

    def _remaining_budget(self, action: Action) -> int:
        """Return how often an action may still be taken."""
        by_kind = self.budgets.get(action.kind, _UNLIMITED)
        return self.budgets.get(str(action), by_kind)

    def _use_budget(self, action: Action) -> None:
        names = (str(action), action.kind)
        limited = [name for name in names if name in self.budgets]
        for name in limited[:1]:
            self.budgets[name] -= 1
