"""Makes the callers of a soak, each with the keys that it may send."""

import functools
import random

from tools.soak.accounts import STEADY, SoakAccounts
from tools.soak.caller import SoakCaller
from tools.soak.habits import PLAIN, Habit
from tools.soak.node import SoakNode
from tools.soak.promises import Promises


class Callers:
    """Makes callers; without accounts they send no keys."""

    def __init__(
        self,
        *,
        promises: Promises,
        rng: random.Random,
        accounts: SoakAccounts | None,
    ) -> None:
        self._promises = promises
        self._rng = rng
        self._accounts = accounts

    def of_any_account(self, node: SoakNode, habit: Habit) -> SoakCaller:
        """Return a caller that sends all kinds of keys, and none."""
        accounts = self._accounts
        return SoakCaller(
            node=node,
            promises=self._promises,
            rng=self._rng,
            habit=habit,
            credentials=None if accounts is None else accounts.draw,
        )

    def of_account(
        self, node: SoakNode, habit: Habit = PLAIN, account: str = STEADY
    ) -> SoakCaller:
        """Return a caller that sends keys of one account."""
        credentials = None
        if self._accounts is not None:
            credentials = functools.partial(self._accounts.of_account, account)
        return SoakCaller(
            node=node,
            promises=self._promises,
            rng=self._rng,
            habit=habit,
            credentials=credentials,
        )
