"""The queries of a node to the owner of one region and shard."""

from collections.abc import Callable, Iterator

import msgspec

from fescueknot.quotas.candidates import QuotaNode, QuotaNodes
from fescueknot.quotas.messages import (
    MAX_NEEDS,
    NOT_LIMITED,
    Need,
    QuotaAnswer,
    QuotaQuery,
)
from fescueknot.quotas.wait import Wait

# A query is answered within 42 ms between regions; later it is probably lost.
_REPEAT_S = 0.06
_QUERY_TIMEOUT_S = 0.25
# How often a node looks for an owner that does not answer.
_PROBE_S = 0.5
# A token that is returned later is dropped; see ``bucket``.
_MAX_RETURN_AGE_S = 0.25
# Returned tokens wait that long for a query of a request to go with.
_RETURN_DELAY_S = 0.05

_MS_PER_S = 1000

SendQuery = Callable[[QuotaQuery, QuotaNode], None]


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """What a query has brought for one account.

    The first ``granted`` of the waits have a token. ``after_s`` is ``None`` if
    the owner told nothing about the account.
    """

    waits: tuple[Wait, ...]
    granted: int = 0
    after_s: float | None = None


class _Outstanding(msgspec.Struct, kw_only=True):
    """The query that has no answer yet.

    Without a ``node`` there was nobody to ask any more; it gets no answer.
    """

    query: QuotaQuery
    node: QuotaNode | None
    waits: dict[str, list[Wait]]
    sent_s: float
    is_repeated: bool = False
    is_redirected: bool = False

    def is_answered_by(self, answer: QuotaAnswer) -> bool:
        """Return whether an answer is to this query of this start."""
        expected = (self.query.start, self.query.number)
        return (answer.start, answer.number) == expected


class _Returned(msgspec.Struct, kw_only=True):
    """Tokens of one account to return, the oldest since ``since_s``."""

    tokens: int
    since_s: float


class OwnerLink:
    """Keeps at most one query outstanding; later requests share the next."""

    def __init__(
        self,
        *,
        region: str,
        shard: int,
        start: int,
        numbers: Iterator[int],
        nodes: QuotaNodes,
        send: SendQuery,
    ) -> None:
        self.region = region
        self.shard = shard
        self._is_up = True
        self.queries_sent = 0
        self._start = start
        self._numbers = numbers
        self._nodes = nodes
        self._send = send
        self._owner = ''
        self._probes = 0
        self._waiting: dict[str, list[Wait]] = {}
        self._returned: dict[str, _Returned] = {}
        self._outstanding: _Outstanding | None = None
        self._flush_s = float('inf')
        self._probe_s = float('-inf')

    @property
    def due_s(self) -> float:
        """Return when :meth:`advance` has something to do next."""
        outstanding = self._outstanding
        if outstanding is None:
            return self._flush_s
        limit_s = _QUERY_TIMEOUT_S if outstanding.is_repeated else _REPEAT_S
        return outstanding.sent_s + limit_s

    @property
    def can_ask(self) -> bool:
        """Return whether a query is likely to be answered by the owner."""
        return self._is_up and self._next_node() is not None

    def add(self, wait: Wait, now_s: float) -> None:
        """Request a token with the next query; see ``can_ask``."""
        self._waiting.setdefault(wait.account.name, []).append(wait)
        self._flush(now_s)

    def give_back(self, account: str, now_s: float) -> None:
        """Return a token with the next query, or alone after a while."""
        returned = self._returned.get(account)
        if returned is None:
            self._returned[account] = _Returned(tokens=1, since_s=now_s)
        else:
            returned.tokens += 1
        self._flush_s = min(self._flush_s, now_s + _RETURN_DELAY_S)

    def probe(self, now_s: float) -> None:
        """Look for an owner that did not answer, once in ``_PROBE_S``."""
        if self._is_up or self._outstanding is not None:
            return
        if now_s - self._probe_s >= _PROBE_S:
            self._probe_s = now_s
            self._probes += 1
            self._ask(now_s, needs=(), waits={})

    def receive(self, answer: QuotaAnswer, now_s: float) -> list[Verdict]:
        """Return what an answer brings; an answer to another query nothing."""
        outstanding = self._outstanding
        if outstanding is None or not outstanding.is_answered_by(answer):
            return []
        if now_s >= outstanding.sent_s + _QUERY_TIMEOUT_S:
            # This process was suspended; the tokens may be from long ago.
            return self.advance(now_s)
        self._outstanding = None
        if answer.is_owner and len(answer.grants) == len(
            outstanding.query.needs
        ):
            self._is_up = True
            self._owner = outstanding.node.name
            verdicts = list(_verdicts(outstanding, answer))
        else:
            verdicts = self._follow(outstanding, answer.holder, now_s)
        self._flush(now_s)
        return verdicts

    def advance(self, now_s: float) -> list[Verdict]:
        """Repeat or give up the query, send what is due."""
        outstanding = self._outstanding
        if outstanding is None:
            if now_s >= self._flush_s:
                self._flush(now_s)
            return []
        if now_s >= outstanding.sent_s + _QUERY_TIMEOUT_S:
            self._outstanding = None
            verdicts = self._fail(outstanding, now_s)
            self._flush(now_s)
            return verdicts
        is_repeat_due = now_s >= outstanding.sent_s + _REPEAT_S
        if is_repeat_due and not outstanding.is_repeated:
            outstanding.is_repeated = True
            self._transmit(outstanding)
        return []

    def _follow(
        self, outstanding: _Outstanding, holder: str, now_s: float
    ) -> list[Verdict]:
        """Ask the holder that a node has named instead of itself."""
        node = self._nodes.find(holder) if holder else None
        is_new = node is not None and node.name != outstanding.node.name
        if outstanding.is_redirected or not is_new:
            return self._fail(outstanding, now_s)
        outstanding.node = node
        # A late answer of the first node is not that of the holder.
        outstanding.query = msgspec.structs.replace(
            outstanding.query, number=next(self._numbers)
        )
        outstanding.is_redirected = True
        outstanding.is_repeated = False
        outstanding.sent_s = now_s
        self._outstanding = outstanding
        self._transmit(outstanding)
        return []

    def _fail(self, outstanding: _Outstanding, now_s: float) -> list[Verdict]:
        """Give up a query; all that wait for this owner ask another one."""
        if self._is_up:
            self._probe_s = now_s
        self._is_up = False
        self._owner = ''
        self._returned = {}
        failed = (*outstanding.waits.values(), *self._waiting.values())
        self._waiting = {}
        return [Verdict(waits=tuple(waits)) for waits in failed]

    def _flush(self, now_s: float) -> None:
        """Send what waits, unless a query is outstanding."""
        if self._outstanding is not None:
            return
        self._flush_s = float('inf')
        self._drop_old_returns(now_s)
        names = tuple({**self._waiting, **self._returned})[:MAX_NEEDS]
        if not names:
            return
        waits = {name: self._waiting.pop(name, []) for name in names}
        needs = tuple(
            Need(
                account=name,
                tokens=len(waits[name]),
                returned=self._pop_returned(name),
            )
            for name in names
        )
        self._ask(now_s, needs=needs, waits=waits)

    def _ask(
        self,
        now_s: float,
        *,
        needs: tuple[Need, ...],
        waits: dict[str, list[Wait]],
    ) -> None:
        query = QuotaQuery(
            start=self._start,
            number=next(self._numbers),
            shard=self.shard,
            needs=needs,
        )
        self._outstanding = _Outstanding(
            query=query, node=self._next_node(), waits=waits, sent_s=now_s
        )
        self._transmit(self._outstanding)

    def _transmit(self, outstanding: _Outstanding) -> None:
        if outstanding.node is not None:
            self.queries_sent += 1
            self._send(outstanding.query, outstanding.node)

    def _next_node(self) -> QuotaNode | None:
        """Return the owner, or the candidate that is to be asked instead."""
        owner = self._nodes.find(self._owner)
        if owner is not None:
            return owner
        candidates = self._nodes.candidates(self.region, self.shard)
        if not candidates:
            return None
        return candidates[self._probes % len(candidates)]

    def _pop_returned(self, account: str) -> int:
        returned = self._returned.pop(account, None)
        return returned.tokens if returned else 0

    def _drop_old_returns(self, now_s: float) -> None:
        self._returned = {
            account: returned
            for account, returned in self._returned.items()
            if now_s - returned.since_s <= _MAX_RETURN_AGE_S
        }


def _verdicts(
    outstanding: _Outstanding, answer: QuotaAnswer
) -> Iterator[Verdict]:
    pairs = zip(outstanding.query.needs, answer.grants, strict=True)
    for need, grant in pairs:
        waits = tuple(outstanding.waits[need.account])
        is_limited = grant.tokens != NOT_LIMITED
        yield Verdict(
            waits=waits,
            granted=min(grant.tokens, len(waits)) if is_limited else 0,
            after_s=grant.after_ms / _MS_PER_S if is_limited else None,
        )
