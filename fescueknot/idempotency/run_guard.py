"""Guard of the executing node: a token runs at most once and in time."""

import heapq

from fescueknot.idempotency.verdicts import RunToken


class RunGuard:
    """Stores the tokens that it has admitted until they expire.

    A token is used up by its first admission, even if the request is refused
    afterwards: a run cannot follow a refusal that was reported as "not run".
    """

    def __init__(self) -> None:
        self._used: set[RunToken] = set()
        self._expiries: list[tuple[float, int, RunToken]] = []
        self._sequence = 0

    def admit(
        self, token: RunToken, *, start_by_s: float, now_s: float
    ) -> bool:
        """Return whether the work may start now.

        ``start_by_s`` is on the clock of this host.
        """
        self._evict_expired(now_s)
        if now_s >= start_by_s or token in self._used:
            return False
        self._sequence += 1
        self._used.add(token)
        heapq.heappush(
            self._expiries,
            (start_by_s, self._sequence, token),
        )
        return True

    def _evict_expired(self, now_s: float) -> None:
        while self._expiries and self._expiries[0][0] <= now_s:
            expired = heapq.heappop(self._expiries)
            self._used.discard(expired[2])
