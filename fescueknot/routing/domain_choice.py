"""Decides which calls leave the failure domain, for one service."""

import random
import types
from collections.abc import Iterator

from fescueknot.routing.domain_share import (
    DomainShare,
    MeasuredDelay,
    ShareSettings,
)
from fescueknot.routing.messages import CallResult, ResultKind, Tier
from fescueknot.routing.preference import LeastCost, Preference, usual_work_s
from fescueknot.routing.record import TargetRecord

# Delay of a call by the network, in both directions, that the costs of a tier
# contain already.
_USUAL_DELAY_S = types.MappingProxyType(
    {Tier.REGION: 0.002, Tier.ELSEWHERE: 0.04}
)
# The queue of a target changes while a call waits, so that the difference to
# its report at the end varies by about as much as a call may wait.
_UNUSUAL_DELAY_S = 0.15
# Exceeded by two failures in a row. Failures of a lost domain come late, after
# their time limit; waiting for more of them loses more calls.
_LOST_FAULT_RATIO = 0.09
_FAILURES = frozenset(
    (ResultKind.FAILED, ResultKind.TIMEOUT, ResultKind.UNREACHABLE)
)
_REFUSALS = frozenset((ResultKind.REFUSED, ResultKind.TURNED_AWAY))


class DomainShares:
    """Shares of one service that may leave, for each tier outside."""

    def __init__(self, *, settings: ShareSettings | None = None) -> None:
        used = settings or ShareSettings()
        self.by_tier = types.MappingProxyType(
            {tier: DomainShare(settings=used) for tier in _USUAL_DELAY_S}
        )
        self._delays = types.MappingProxyType(
            {tier: MeasuredDelay(settings=used) for tier in _USUAL_DELAY_S}
        )

    def observe(self, tier: Tier, gap_s: float, now_s: float) -> None:
        """Record by how much a call costs more at home than in a tier.

        A narrow link does not show in what the gates behind it report, so
        that the measured delay is added if it is unusual.
        """
        delay_s = self._delays[tier].mean_s(now_s)
        if delay_s > _USUAL_DELAY_S[tier] + _UNUSUAL_DELAY_S:
            gap_s -= delay_s
        self.by_tier[tier].observe(gap_s, now_s)

    def finished(self, tier: Tier, result: CallResult, now_s: float) -> None:
        """Record the end of a call to a target of a tier."""
        share = self.by_tier.get(tier)
        if share is None:
            return
        if result.kind in _FAILURES:
            share.failed(now_s)
        elif result.kind in _REFUSALS:
            share.refused(now_s)
        elif result.kind is ResultKind.OK:
            share.answered()
            self._delays[tier].add(_delay_s(result), now_s)


def _delay_s(result: CallResult) -> float:
    """Return the time of a call beyond the reported wait and work."""
    report = result.report
    if report is None:
        return 0
    load = (report.in_flight + report.waiting) / max(1, report.limit)
    return result.latency_s - report.work_s * max(1, load)


class DomainPreference(Preference):
    """The cheapest target at home, or outside if the call may leave.

    ``least_cost`` has the costs of the call; it decides alone while no target
    reports its work. If there is no target at home, or they fail, all calls
    leave. ``is_adaptive`` says whether the shares have decided.
    """

    def __init__(
        self, *, least_cost: LeastCost, shares: DomainShares, rng: random.Random
    ) -> None:
        self._least_cost = least_cost
        self._shares = shares
        self._rng = rng
        self.is_adaptive = False

    def choose(
        self, best: Iterator[TargetRecord], rank: float, now_s: float
    ) -> TargetRecord | None:
        """Return the target of a call."""
        candidates = tuple(best)
        work_s = usual_work_s(candidates, now_s)
        if not work_s:
            return self._least_cost.choose(iter(candidates), rank, now_s)
        self.is_adaptive = True
        priced = [
            (self._least_cost.cost_s(record, rank, now_s, work_s), record)
            for record in candidates
        ]
        chosen = min(self._allowed(priced, now_s), key=_cost_of)[1]
        share = self._shares.by_tier.get(chosen.tier)
        if share is not None:
            share.reach.sent(now_s)
        return chosen

    def avoids(self, record: TargetRecord, now_s: float) -> bool:
        """Return whether any other target of the tier is better."""
        return self._least_cost.avoids(record, now_s)

    def _allowed(
        self, priced: list[tuple[float, TargetRecord]], now_s: float
    ) -> list[tuple[float, TargetRecord]]:
        """Return the targets that the call may be sent to."""
        by_tier = self._shares.by_tier
        home = [pair for pair in priced if pair[1].tier not in by_tier]
        if not home:
            return priced
        home_s, nearest = min(home, key=_cost_of)
        is_lost = nearest.fault_ratio(now_s) > _LOST_FAULT_RATIO
        allowed = home.copy()
        for cost_s, record in priced[len(home) :]:
            self._shares.observe(record.tier, home_s - cost_s, now_s)
            if is_lost or by_tier[record.tier].may_leave(now_s, self._rng):
                allowed.append((cost_s, record))
        return allowed


def _cost_of(priced: tuple[float, TargetRecord]) -> float:
    return priced[0]
