"""An owner: the token buckets of one region and shard.

Nothing here knows whether the node still holds the lease; the caller asks the
owner only while it does.
"""

import collections
from collections.abc import Iterable

import msgspec

from fescueknot.accounts.messages import Account
from fescueknot.quotas.bucket import TokenBucket, bucket_limit
from fescueknot.quotas.messages import (
    NOT_LIMITED,
    Grant,
    Need,
    QuotaAnswer,
    QuotaQuery,
)

_MS_PER_S = 1000
# Starts of nodes whose last query is remembered, enough for a fleet of 14,000
# nodes. Beyond that, the one that asked longest ago is forgotten.
_MAX_REMEMBERED = 16_384
_NOT_LIMITED_GRANT = Grant(tokens=NOT_LIMITED)


class _LastQuery(msgspec.Struct, frozen=True, kw_only=True):
    """The highest number of one start of a node, and what it was answered."""

    number: int
    answer: QuotaAnswer


class QuotaOwner:
    """Grants tokens of the limited accounts; starts with empty buckets.

    ``regions`` is the number of regions that share each limit.
    """

    def __init__(self, *, regions: int, now_s: float) -> None:
        self._regions = regions
        self._since_s = now_s
        self._buckets: dict[str, TokenBucket] = {}
        self._accounts: dict[str, Account] = {}
        self._last_queries: collections.OrderedDict[
            tuple[str, int], _LastQuery
        ] = collections.OrderedDict()

    def restart(self, now_s: float) -> None:
        """Empty all buckets, as another owner may have granted meanwhile."""
        self._since_s = now_s
        accounts = self._accounts.values()
        self._buckets = {}
        self._accounts = {}
        self.set_accounts(accounts, now_s)

    def set_accounts(self, accounts: Iterable[Account], now_s: float) -> None:
        """Apply the limits of the configuration in force."""
        limited = {one.name: one for one in accounts if one.rate_per_s}
        for name in self._buckets.keys() - limited.keys():
            self._buckets.pop(name)
        for account in limited.values():
            self._apply(account, now_s)
        self._accounts = limited

    def answer(
        self, query: QuotaQuery, source: str, now_s: float
    ) -> QuotaAnswer | None:
        """Answer a query of the node at ``source``.

        A repeat gets the same answer, an earlier number none.
        """
        key = (source, query.start)
        last = self._last_queries.get(key)
        if last is not None and query.number <= last.number:
            return last.answer if query.number == last.number else None
        answer = QuotaAnswer(
            start=query.start,
            number=query.number,
            shard=query.shard,
            is_owner=True,
            grants=tuple(self._grant(need, now_s) for need in query.needs),
        )
        self._last_queries[key] = _LastQuery(number=query.number, answer=answer)
        self._last_queries.move_to_end(key)
        if len(self._last_queries) > _MAX_REMEMBERED:
            self._last_queries.popitem(last=False)
        return answer

    def _apply(self, account: Account, now_s: float) -> None:
        before = self._accounts.get(account.name)
        limit = bucket_limit(
            rate_per_s=account.rate_per_s,
            burst=account.burst,
            regions=self._regions,
        )
        bucket = self._buckets.get(account.name)
        if bucket is None:
            # An account that is new, and one that was not limited before.
            self._buckets[account.name] = TokenBucket(limit=limit, now_s=now_s)
        elif before != account:
            bucket.set_limit(limit, now_s)

    def _grant(self, need: Need, now_s: float) -> Grant:
        bucket = self._buckets.get(need.account)
        if bucket is None:
            return _NOT_LIMITED_GRANT
        if need.returned:
            bucket.put_back(need.returned, now_s)
        granted = bucket.take(need.tokens, now_s)
        refused = need.tokens - granted
        if not refused:
            return Grant(tokens=granted)
        after_s = bucket.promise(refused, now_s)
        return Grant(tokens=granted, after_ms=int(after_s * _MS_PER_S) + 1)
