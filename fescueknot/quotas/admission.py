"""Admission of requests within the quotas of their accounts."""

import abc

import msgspec

from fescueknot.accounts.messages import Account


class QuotaDecision(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a request is within its account's quota.

    ``retry_after_s`` is the time after which a refused request is likely to be
    admitted. ``is_known`` is false if nobody could tell whether the request is
    within the quota.
    """

    is_granted: bool
    retry_after_s: float = 0
    is_known: bool = True


class QuotaAdmission(abc.ABC):
    """Admits requests of accounts within their quotas."""

    @abc.abstractmethod
    async def take(self, account: Account, deadline_s: float) -> QuotaDecision:
        """Decide about one request that expires at ``deadline_s``.

        The time is that of the event loop.
        """

    @abc.abstractmethod
    def give_back(self, account: Account) -> None:
        """Return the token of a request that has not run and never will."""


class UnlimitedAdmission(QuotaAdmission):
    """Grants every request."""

    async def take(self, account: Account, deadline_s: float) -> QuotaDecision:
        """Grant the request."""
        return QuotaDecision(is_granted=True)

    def give_back(self, account: Account) -> None:
        """Ignore the token."""
