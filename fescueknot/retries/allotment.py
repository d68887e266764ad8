"""Extra attempts shared by the whole call tree of one root request.

The root request gets R extra attempts. A parent lends each child call a share
of its available extra attempts. The answer returns what the child and its
descendants did not spend; if the answer is lost, the share is lost too. Each
retry spends one extra attempt of the call that makes it. Extra attempts are
never created, so over the whole tree

    attempts <= calls + R

where calls counts each call once, however often it was attempted.
"""

import msgspec

from fescueknot.retries.errors import AllotmentError

_ATTEMPT_SHARES = 2


class AllotmentShare(msgspec.Struct, frozen=True, kw_only=True):
    """Extra attempts lent to a child call or returned by it."""

    attempts: int


class RetryAllotment:
    """The extra attempts of one call in progress."""

    def __init__(self, *, attempts: int) -> None:
        if attempts < 0:
            raise AllotmentError('an allotment cannot be negative')
        self._available = attempts
        self._lent = 0

    @property
    def held(self) -> int:
        """Return the extra attempts that can be spent or lent now."""
        return self._available

    def spend(self) -> bool:
        """Spend one extra attempt; return whether one was available."""
        if self._available == 0:
            return False
        self._available -= 1
        return True

    def lend(self, calls_to_come: int = 1) -> AllotmentShare:
        """Lend a child call an equal share, rounded up.

        ``calls_to_come`` is the number of calls among which the available
        extra attempts are divided: this one and those that follow.
        """
        if calls_to_come < 1:
            raise AllotmentError('calls_to_come must be at least 1')
        share = -(-self._available // calls_to_come)
        self._available -= share
        self._lent += share
        return AllotmentShare(attempts=share)

    def lend_to_attempt(self) -> AllotmentShare:
        """Lend an attempt half of the extra attempts, rounded up.

        A lost answer returns nothing; the rest is kept to pay for a retry.
        """
        return self.lend(_ATTEMPT_SHARES)

    def give_back(self, share: AllotmentShare) -> None:
        """Return the extra attempts that a child call did not spend.

        Raises :class:`AllotmentError` for more than was lent.
        """
        if not 0 <= share.attempts <= self._lent:
            raise AllotmentError(
                f'{share.attempts} returned, but {self._lent} lent'
            )
        self._lent -= share.attempts
        self._available += share.attempts
