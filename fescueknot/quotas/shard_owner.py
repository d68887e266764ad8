"""One node's part in owning a shard of its region: lease and buckets."""

from collections.abc import Iterable

from fescueknot.accounts.messages import Account
from fescueknot.objectapi.messages import StoredObject
from fescueknot.quotas.lease import Lease
from fescueknot.quotas.messages import QuotaAnswer, QuotaQuery
from fescueknot.quotas.owner import QuotaOwner


class ShardOwner:
    """Answers queries while the lease is held, else names the holder."""

    def __init__(
        self, *, node: str, start: int, regions: int, now_s: float
    ) -> None:
        self.lease = Lease(node=node, start=start)
        self._buckets = QuotaOwner(regions=regions, now_s=now_s)

    def set_accounts(self, accounts: Iterable[Account], now_s: float) -> None:
        """Apply the limits of the configuration in force."""
        self._buckets.set_accounts(accounts, now_s)

    def write_confirmed(self, stored: StoredObject, now_s: float) -> None:
        """Record a write of the lease; a new owner has empty buckets."""
        was_held = self.lease.is_held(now_s)
        self.lease.write_confirmed(stored)
        if not was_held:
            self._buckets.restart(now_s)

    def answer(
        self, query: QuotaQuery, source: str, now_s: float
    ) -> QuotaAnswer | None:
        """Answer a query of the node at ``source``."""
        if self.lease.is_held(now_s):
            return self._buckets.answer(query, source, now_s)
        self.lease.prompt(now_s)
        return QuotaAnswer(
            start=query.start,
            number=query.number,
            shard=query.shard,
            is_owner=False,
            holder=self.lease.holder,
        )
