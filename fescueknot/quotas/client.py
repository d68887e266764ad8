"""Requests tokens from the owners, the one of the own region first."""

import itertools
import random
from collections.abc import Iterable

import msgspec

from fescueknot.accounts.messages import Account
from fescueknot.quotas.admission import QuotaDecision
from fescueknot.quotas.candidates import QuotaNodes, shard_of
from fescueknot.quotas.holds import Holds
from fescueknot.quotas.messages import QuotaAnswer
from fescueknot.quotas.owner_link import OwnerLink, SendQuery, Verdict
from fescueknot.quotas.wait import Wait

# Without an owner; another node acquires the lease within seconds.
_UNKNOWN_RETRY_AFTER_S = 0.5
_GRANTED = QuotaDecision(is_granted=True)
_UNKNOWN = QuotaDecision(
    is_granted=False, retry_after_s=_UNKNOWN_RETRY_AFTER_S, is_known=False
)


class QuotaScope(msgspec.Struct, frozen=True, kw_only=True):
    """A node's region, all regions with an owner, and shards per region."""

    region: str
    regions: tuple[str, ...]
    shards: int


class QuotaClient:
    """Asks owners for tokens; all its methods take the current time.

    ``start`` distinguishes the starts of this node, ``send`` sends a query to
    a node. Each request asks each owner at most once.
    """

    def __init__(
        self,
        *,
        scope: QuotaScope,
        start: int,
        nodes: QuotaNodes,
        send: SendQuery,
        rng: random.Random,
    ) -> None:
        self.granted = 0
        self.refused = 0
        self.unknown = 0
        self._shards = scope.shards
        self._regions = _region_order(scope, rng)
        numbers = itertools.count(1)
        self._links = {
            (one, shard): OwnerLink(
                region=one,
                shard=shard,
                start=start,
                numbers=numbers,
                nodes=nodes,
                send=send,
            )
            for one in self._regions
            for shard in range(scope.shards)
        }
        self._holds = Holds()

    @property
    def queries_sent(self) -> int:
        """Return the number of queries sent, repeats included."""
        return sum(link.queries_sent for link in self._links.values())

    @property
    def due_s(self) -> float:
        """Return when :meth:`advance` has something to do next."""
        return min(link.due_s for link in self._links.values())

    def take(self, account: Account, deadline_s: float, now_s: float) -> Wait:
        """Request a token; the wait has a decision at once or later."""
        wait = Wait(account=account, deadline_s=deadline_s)
        self._place(wait, now_s)
        return wait

    def cancel(self, wait: Wait, now_s: float) -> None:
        """Give up a wait; a token granted to it is returned."""
        if wait.decision is None:
            wait.is_cancelled = True
        elif wait.decision.is_granted:
            self.give_back(wait.account, now_s)

    def give_back(self, account: Account, now_s: float) -> None:
        """Return the token of a request that has not run."""
        for link in self._links_of(account):
            if link.can_ask:
                link.give_back(account.name, now_s)
                self._holds.lift(link.region, account.name)
                return

    def receive(self, answer: QuotaAnswer, now_s: float) -> None:
        """Apply an answer, unless it belongs to no outstanding query."""
        for region in self._regions:
            link = self._links.get((region, answer.shard))
            if link is not None:
                self._settle(link, link.receive(answer, now_s), now_s)

    def advance(self, now_s: float) -> None:
        """Repeat and give up queries that have no answer yet."""
        for link in self._links.values():
            if link.due_s <= now_s:
                self._settle(link, link.advance(now_s), now_s)

    def _links_of(self, account: Account) -> Iterable[OwnerLink]:
        shard = shard_of(account.name, self._shards)
        return (self._links[region, shard] for region in self._regions)

    def _place(self, wait: Wait, now_s: float) -> None:
        """Ask the next owner; decide if there is none left."""
        is_late = bool(wait.asked) and now_s >= wait.deadline_s
        if not is_late and self._is_asked(wait, now_s):
            return
        self._decide(wait, now_s)

    def _is_asked(self, wait: Wait, now_s: float) -> bool:
        """Return whether one of the owners not asked yet could be asked."""
        return any(
            self._ask(link, wait, now_s)
            for link in self._links_of(wait.account)
            if link.region not in wait.asked
        )

    def _ask(self, link: OwnerLink, wait: Wait, now_s: float) -> bool:
        """Ask one owner, unless it can't be asked or has refused lately."""
        if not link.can_ask:
            link.probe(now_s)
            return False
        wait.asked.add(link.region)
        if self._holds.refuses(link.region, wait, now_s):
            return False
        link.add(wait, now_s)
        return True

    def _settle(
        self, link: OwnerLink, verdicts: Iterable[Verdict], now_s: float
    ) -> None:
        for verdict in verdicts:
            for granted in verdict.waits[: verdict.granted]:
                self._grant(granted, now_s)
            refused = verdict.waits[verdict.granted :]
            if verdict.after_s is not None and refused:
                self._holds.record(link.region, refused, verdict.after_s, now_s)
            self._place_again(refused, now_s)

    def _place_again(self, waits: tuple[Wait, ...], now_s: float) -> None:
        for wait in waits:
            if not wait.is_cancelled:
                self._place(wait, now_s)

    def _grant(self, wait: Wait, now_s: float) -> None:
        if wait.is_cancelled:
            self.give_back(wait.account, now_s)
            return
        self.granted += 1
        wait.resolve(_GRANTED)

    def _decide(self, wait: Wait, now_s: float) -> None:
        """Refuse: for lack of tokens if an owner has said so, else unknown."""
        if wait.retry_at_s is None:
            self.unknown += 1
            wait.resolve(_UNKNOWN)
            return
        self.refused += 1
        retry_after_s = max(0, wait.retry_at_s - now_s)
        wait.resolve(
            QuotaDecision(is_granted=False, retry_after_s=retry_after_s)
        )


def _region_order(scope: QuotaScope, rng: random.Random) -> tuple[str, ...]:
    """Return the regions in the order in which their owners are asked.

    Each node has the others in an order of its own, so that no owner is asked
    by all nodes of a region.
    """
    others = [region for region in scope.regions if region != scope.region]
    rng.shuffle(others)
    is_listed = scope.region in scope.regions
    return (scope.region, *others) if is_listed else tuple(others)
