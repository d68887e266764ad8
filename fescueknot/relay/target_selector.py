"""Picks the target of each call, per service."""

import random
import types

import msgspec

from fescueknot.admission.rank import rank_of, root_position
from fescueknot.identity import Address, InstanceId, Place
from fescueknot.relay.call_preferences import preference_for
from fescueknot.relay.messages import AnswerHead, Ending, RefusedFor, Reply
from fescueknot.relay.reachability import Reachability
from fescueknot.relay.remembered_announcements import RememberedAnnouncements
from fescueknot.relay.runs import Lineage
from fescueknot.relay.service_domains import Domains, FixedCosts
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
)
from fescueknot.routing.picker import PickerSettings, TargetPicker
from fescueknot.routing.record import RecordSettings
from fescueknot.routing.subset import SubsetSettings, Viewpoint
from fescueknot.targets.departures import Departure, DepartureBook
from fescueknot.targets.directory import TargetDirectory

_MS_PER_S = 1000
_PICKER_SETTINGS = PickerSettings(
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
        RefusedFor.SUSPECTED: ResultKind.CANCELLED,
        RefusedFor.QUARANTINED: ResultKind.CANCELLED,
    }
)
_KIND_BY_ENDING = types.MappingProxyType(
    {
        Ending.TURNED_AWAY: ResultKind.TURNED_AWAY,
        Ending.UNKNOWN: ResultKind.FAILED,
    }
)


class Destination(msgspec.Struct, frozen=True, kw_only=True):
    """A picked target and the address of the node beside it.

    ``is_foreign``: the target is in another failure domain, and shares decide
    how many calls to its service leave.
    """

    instance: InstanceId
    node: Address
    is_foreign: bool = False


class TargetSelector:
    """Keeps one target picker and one retry budget per service.

    Targets in ``departures`` are left out, whatever the directory says.
    Without ``domains`` fixed costs decide which calls leave the failure domain.
    """

    def __init__(
        self,
        *,
        directory: TargetDirectory,
        routes: RoutesInForce,
        viewpoint: Viewpoint,
        retry_budget: SharedBudgetSettings,
        reachability: Reachability,
        rng: random.Random,
        departures: DepartureBook,
        domains: Domains | None = None,
    ) -> None:
        self._directory = directory
        self._departures = departures
        self._domains = domains or FixedCosts()
        self._routes = routes
        self._viewpoint = viewpoint
        self._budget_settings = retry_budget
        self._reachability = reachability
        self._rng = rng
        self._pickers: dict[str, TargetPicker] = {}
        self._budgets: dict[str, SharedBudget] = {}
        self.announcements = RememberedAnnouncements()

    def refresh(self, services: set[str], now_s: float) -> None:
        """Apply the directory's entries of ``services`` to their pickers."""
        self._reachability.retain(self._directory.addresses())
        for service in services.intersection(self._pickers):
            self._update(service, now_s)

    def exclude(self, departures: tuple[Departure, ...], now_s: float) -> None:
        """Stop picking targets that were added to the departures."""
        instances = {departure.instance for departure in departures}
        self.refresh(
            {
                entry.service
                for entry in self._directory.all_entries()
                if entry.instance in instances
            },
            now_s,
        )

    def pick(
        self,
        service: str,
        now_s: float,
        tried: frozenset[InstanceId],
        *,
        lineage: Lineage,
        remaining_s: float,
    ) -> Destination | None:
        """Return a target for a call, ``None`` if there is no target.

        The call expires in ``remaining_s``. The targets ``tried`` are
        excluded. Targets beside nodes that accept no connections are picked
        only if there is no other target.
        """
        picker = self._picker(service, now_s)
        unreachable = self._beside_unreachable(picker.subset())
        rank = rank_of(lineage.importance, root_position(lineage.root))
        preference = self._domains.preference(
            service,
            preference_for(lineage, remaining_s, is_first_attempt=not tried),
        )
        chosen = picker.pick(
            now_s, self._rng, tried | unreachable, rank, preference
        )
        if isinstance(chosen, NoTarget) and unreachable:
            chosen = picker.pick(now_s, self._rng, tried, rank, preference)
        if isinstance(chosen, NoTarget):
            return None
        node = self._directory.address_of(chosen.instance)
        if node is None:
            return None
        return Destination(
            instance=chosen.instance,
            node=node,
            is_foreign=self._domains.is_foreign(chosen, preference),
        )

    def started(self, service: str, instance: InstanceId, now_s: float) -> None:
        """Count a call that is sent to a target."""
        self._picker(service, now_s).started(instance)

    def finished(
        self,
        service: str,
        instance: InstanceId,
        reply: Reply | None,
        latency_s: float,
        now_s: float,
    ) -> None:
        """Record the result of a call.

        ``reply`` is ``None`` for a cancelled call.
        """
        kind = ResultKind.CANCELLED if reply is None else _result_kind(reply)
        # The target may have been removed from the directory meanwhile.
        node = self._directory.address_of(instance)
        if node and reply and _reports_unreachable_node(reply):
            self._reachability.mark_unreachable(node)
        if reply and self.announcements.record(instance, reply.head):
            self._update(service, now_s)
        call_result = CallResult(
            kind=kind,
            latency_s=latency_s,
            report=_load_report(reply.head) if reply else None,
        )
        picker = self._picker(service, now_s)
        picker.finished(instance, call_result, now_s)
        self._domains.finished(service, picker, instance, call_result, now_s)

    @property
    def node_count(self) -> int:
        """Return the number of nodes in the directory."""
        return len(self._directory)

    def retry_budget(self, service: str) -> SharedBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = SharedBudget(settings=self._budget_settings)
            self._budgets[service] = budget
        return budget

    def _beside_unreachable(
        self, instances: tuple[InstanceId, ...]
    ) -> frozenset[InstanceId]:
        """Return the instances whose node is unknown or unreachable."""
        address_of = self._directory.address_of
        is_unreachable = self._reachability.is_unreachable
        return frozenset(
            instance
            for instance in instances
            if (node := address_of(instance)) is None or is_unreachable(node)
        )

    def _is_leaving(self, instance: InstanceId) -> bool:
        return self.announcements.is_leaving(
            instance
        ) or self._departures.has_left(instance.name, instance.incarnation)

    def _picker(self, service: str, now_s: float) -> TargetPicker:
        if service not in self._pickers:
            self._update(service, now_s)
        return self._pickers[service]

    def _update(self, service: str, now_s: float) -> None:
        picker = self._pickers.get(service)
        if picker is None:
            picker = TargetPicker(
                viewpoint=self._viewpoint, settings=_PICKER_SETTINGS
            )
            self._pickers[service] = picker
        limit = self._routes.service(service).connection_limit
        candidates = self._directory.candidates(service, limit, now_s)
        picker.update(
            tuple(
                msgspec.structs.replace(
                    candidate,
                    is_rate_limited=self.announcements.is_limited(
                        candidate.instance
                    ),
                )
                for candidate in candidates
                if not self._is_leaving(candidate.instance)
            ),
            callers=len(self._directory),
        )


def _reports_unreachable_node(reply: Reply) -> bool:
    return reply.head.refused_for is RefusedFor.UNREACHABLE


def viewpoint_of(*, name: str, place: Place) -> Viewpoint:
    """Return the viewpoint from which a node picks targets."""
    return Viewpoint(node=InstanceId(name=name, incarnation=0), place=place)


def _result_kind(reply: Reply) -> ResultKind:
    head = reply.head
    if head.ending is Ending.ANSWERED:
        return ResultKind.OK if reply.is_success else ResultKind.FAILED
    if head.ending is Ending.REFUSED:
        return _KIND_BY_REFUSAL.get(head.refused_for, ResultKind.UNREACHABLE)
    return _KIND_BY_ENDING[head.ending]


def _load_report(head: AnswerHead) -> LoadReport | None:
    if not head.limit:
        return None
    return LoadReport(
        limit=head.limit,
        in_flight=head.in_flight,
        waiting=head.waiting,
        level_rank=head.level_rank,
        service_s=head.service_ms / _MS_PER_S,
        work_s=head.work_ms / _MS_PER_S,
        is_rate_limited=head.rate_limit_per_s is not None,
    )
