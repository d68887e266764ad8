"""Check of quotas: how many requests of an account run at all targets.

A request counts once, when it first runs: a repeat takes no further token.
"""

import collections

from tools.soak.account_versions import AccountVersions, Limit

_WINDOW_S = 5.0
_FACTOR = 1.1
_EXCESS_REQUESTS = 20
# A lower limit applies this long after its version is in force.
_LOWERED_AFTER_S = 5.0


class QuotaChecks:
    """Counts the runs of each account; off until switched on."""

    def __init__(self, *, versions: AccountVersions) -> None:
        self.is_on = False
        self._versions = versions
        self._counted: set[str] = set()
        self._runs_s: dict[str, collections.deque[float]] = (
            collections.defaultdict(collections.deque)
        )

    def breach(self, account: str, attempt: str, now_s: float) -> str:
        """Count a run; return how it breaks the bound, empty if it doesn't.

        The count begins again after a breach, so each one is reported once.
        """
        if not self.is_on or not account or attempt in self._counted:
            return ''
        self._counted.add(attempt)
        runs_s = self._runs_s[account]
        runs_s.append(now_s)
        while runs_s[0] <= now_s - _WINDOW_S:
            runs_s.popleft()
        bound = self._bound(account, now_s)
        if bound is None or len(runs_s) <= bound:
            return ''
        found = len(runs_s)
        runs_s.clear()
        return f'{account} ran {found} times in 5 s, the bound is {bound:.1f}'

    def _bound(self, account: str, now_s: float) -> float | None:
        """Return the widest bound that may apply, ``None`` for no limit.

        A lower limit binds the windows that end after the time in which it
        takes effect.
        """
        limits = [
            version.limits.get(account, Limit())
            for version in self._versions.possible(
                now_s, takes_effect_s=_LOWERED_AFTER_S
            )
        ]
        if not all(limit.rate_per_s for limit in limits):
            return None
        requests = max(
            limit.rate_per_s * _WINDOW_S + limit.burst for limit in limits
        )
        return requests * _FACTOR + _EXCESS_REQUESTS
