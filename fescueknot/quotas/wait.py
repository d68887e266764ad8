"""A request that waits for a token of its account."""

from collections.abc import Callable

from fescueknot.accounts.messages import Account
from fescueknot.quotas.admission import QuotaDecision


class Wait:
    """Collects what the owners say, until there is a decision.

    ``asked`` are the regions whose owners need not be asked (again),
    ``retry_at_s`` is the earliest time at which one of them is likely to have
    a token. ``notify`` is called once there is a decision.
    """

    __slots__ = (
        'account',
        'asked',
        'deadline_s',
        'decision',
        'is_cancelled',
        'notify',
        'retry_at_s',
    )

    def __init__(self, *, account: Account, deadline_s: float) -> None:
        self.account = account
        self.deadline_s = deadline_s
        self.asked: set[str] = set()
        self.retry_at_s: float | None = None
        self.decision: QuotaDecision | None = None
        self.is_cancelled = False
        self.notify: Callable[[], None] | None = None

    def record_refusal(self, retry_at_s: float) -> None:
        """Record when an owner is likely to have a token."""
        if self.retry_at_s is None or retry_at_s < self.retry_at_s:
            self.retry_at_s = retry_at_s

    def resolve(self, decision: QuotaDecision) -> None:
        """Set the decision."""
        self.decision = decision
        if self.notify is not None:
            self.notify()
