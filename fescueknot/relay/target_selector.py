"""The targets that this node may call, and which of them it picks."""

import random
import types

import msgspec

from fescueknot.admission.rank import rank_of, root_position
from fescueknot.identity import Address, InstanceId, Place
from fescueknot.relay.messages import AnswerHead, Ending, RefusedFor, Reply
from fescueknot.relay.reachability import Reachability
from fescueknot.relay.runs import Lineage
from fescueknot.retries.shared_budget import (
    SharedBudget,
    SharedBudgetSettings,
)
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.routing.ejection import EjectionSettings
from fescueknot.routing.messages import (
    CallResult,
    LoadReport,
    NoTarget,
    ResultKind,
    Tier,
)
from fescueknot.routing.picker import PickerSettings, TargetPicker
from fescueknot.routing.preference import CostSettings, LeastCost
from fescueknot.routing.record import RecordSettings
from fescueknot.routing.subset import SubsetSettings, Viewpoint
from fescueknot.targets.directory import TargetDirectory

_MS_PER_S = 1000
# Bytes between regions are slow and paid for: once for a root request, once
# for each of the many calls that it makes.
_ROOT_WAY_S = types.MappingProxyType(
    {
        Tier.LOCAL_HOST: 0,
        Tier.FAILURE_DOMAIN: 0.002,
        Tier.REGION: 0.012,
        Tier.ELSEWHERE: 0.2,
    }
)
_INNER_WAY_S = types.MappingProxyType({**_ROOT_WAY_S, Tier.ELSEWHERE: 0.12})
_HURRIED_WAY_S = types.MappingProxyType({**_ROOT_WAY_S, Tier.ELSEWHERE: 0.05})
_SHED_S = 0.3
_ROOT = LeastCost(
    settings=CostSettings(tier_cost_s=_ROOT_WAY_S, shed_cost_s=_SHED_S)
)
_INNER = LeastCost(settings=CostSettings(tier_cost_s=_INNER_WAY_S))
_HURRIED = LeastCost(settings=CostSettings(tier_cost_s=_HURRIED_WAY_S))
# A call with less time left can't afford to wait for a near target.
_HURRIED_LEFT_S = 0.5
_PICKER = PickerSettings(
    subset=SubsetSettings(max_size=24),
    record=RecordSettings(
        max_report_age_s=1.5,
        max_fault_load=2,
        ramp_s=3,
        ramp_start=0.3,
        ejection=EjectionSettings(
            consecutive_unreachable=1, base_ejection_s=0.4, max_ejection_s=4
        ),
    ),
)

_KIND_BY_REFUSAL = types.MappingProxyType(
    {
        RefusedFor.OVERLOAD: ResultKind.REFUSED,
        RefusedFor.EXPIRED: ResultKind.CANCELLED,
    }
)
_KIND_BY_ENDING = types.MappingProxyType(
    {
        Ending.TURNED_AWAY: ResultKind.TURNED_AWAY,
        Ending.UNKNOWN: ResultKind.FAILED,
    }
)


class Destination(msgspec.Struct, frozen=True, kw_only=True):
    """A target that was picked, and the node beside it."""

    instance: InstanceId
    node: Address


class TargetSelector:
    """One picker and one retry budget for each service."""

    def __init__(
        self,
        *,
        directory: TargetDirectory,
        routes: RoutesInForce,
        viewpoint: Viewpoint,
        retry_budget: SharedBudgetSettings,
        reachability: Reachability,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._routes = routes
        self._viewpoint = viewpoint
        self._budget = retry_budget
        self._reachability = reachability
        self._rng = rng
        self._pickers: dict[str, TargetPicker] = {}
        self._budgets: dict[str, SharedBudget] = {}

    def refresh(self, services: set[str], now_s: float) -> None:
        """Take what the directory says of some services."""
        self._reachability.retain(self._directory.addresses())
        for service in services.intersection(self._pickers):
            self._update(service, now_s)

    def pick(
        self,
        service: str,
        now_s: float,
        tried: frozenset[InstanceId],
        *,
        lineage: Lineage,
        left_s: float,
    ) -> Destination | None:
        """Return a target for a call with ``left_s`` to go, or ``None``.

        Targets of nodes that take no connections are the last resort.
        """
        picker = self._picker(service, now_s)
        lost = frozenset(
            instance
            for instance in picker.subset()
            if self._has_unreachable_node(instance)
        )
        rank = rank_of(lineage.importance, root_position(lineage.root))
        preference = _preference(lineage, left_s)
        chosen = picker.pick(now_s, self._rng, tried | lost, rank, preference)
        if isinstance(chosen, NoTarget) and lost:
            chosen = picker.pick(now_s, self._rng, tried, rank, preference)
        if isinstance(chosen, NoTarget):
            return None
        node = self._directory.address_of(chosen.instance)
        if node is None:
            return None
        return Destination(instance=chosen.instance, node=node)

    def started(self, service: str, instance: InstanceId, now_s: float) -> None:
        """Count a call that is sent."""
        self._picker(service, now_s).started(instance)

    def finished(
        self,
        service: str,
        instance: InstanceId,
        reply: Reply | None,
        latency_s: float,
        now_s: float,
    ) -> None:
        """Take the end of a call; ``None`` for one that was cancelled."""
        kind = ResultKind.CANCELLED if reply is None else _kind(reply)
        # The target may have been taken off the list meanwhile.
        node = self._directory.address_of(instance)
        if node and reply and _is_unreachable(reply):
            self._reachability.mark_unreachable(node)
        call_result = CallResult(
            kind=kind,
            latency_s=latency_s,
            report=_report(reply.head) if reply else None,
        )
        self._picker(service, now_s).finished(instance, call_result, now_s)

    @property
    def node_count(self) -> int:
        """Return how many nodes are listed."""
        return len(self._directory)

    def retry_budget(self, service: str) -> SharedBudget:
        """Return the budget of repeats to a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = SharedBudget(settings=self._budget)
            self._budgets[service] = budget
        return budget

    def _has_unreachable_node(self, instance: InstanceId) -> bool:
        node = self._directory.address_of(instance)
        return node is None or self._reachability.is_unreachable(node)

    def _picker(self, service: str, now_s: float) -> TargetPicker:
        if service not in self._pickers:
            self._update(service, now_s)
        return self._pickers[service]

    def _update(self, service: str, now_s: float) -> None:
        picker = self._pickers.get(service)
        if picker is None:
            picker = TargetPicker(viewpoint=self._viewpoint, settings=_PICKER)
            self._pickers[service] = picker
        limit = self._routes.service(service).connection_limit
        picker.update(
            self._directory.candidates(service, limit, now_s),
            callers=len(self._directory),
        )


def _is_unreachable(reply: Reply) -> bool:
    return reply.head.refused_for is RefusedFor.UNREACHABLE


def _preference(lineage: Lineage, left_s: float) -> LeastCost:
    if not lineage.depth:
        return _ROOT
    return _HURRIED if left_s < _HURRIED_LEFT_S else _INNER


def viewpoint_of(*, name: str, place: Place) -> Viewpoint:
    """Return where a node stands."""
    return Viewpoint(node=InstanceId(name=name, incarnation=0), place=place)


def _kind(reply: Reply) -> ResultKind:
    head = reply.head
    if head.ending is Ending.ANSWERED:
        return ResultKind.OK if reply.is_success else ResultKind.FAILED
    if head.ending is Ending.REFUSED:
        return _KIND_BY_REFUSAL.get(head.refused_for, ResultKind.UNREACHABLE)
    return _KIND_BY_ENDING[head.ending]


def _report(head: AnswerHead) -> LoadReport | None:
    if not head.limit:
        return None
    return LoadReport(
        limit=head.limit,
        in_flight=head.in_flight,
        waiting=head.waiting,
        level_rank=head.level_rank,
        service_s=head.service_ms / _MS_PER_S,
    )
