"""Picks a target for each call to one service."""

import random

import msgspec

from fescueknot.identity import InstanceId
from fescueknot.routing.ejection import Health
from fescueknot.routing.errors import DuplicateCandidateError
from fescueknot.routing.messages import (
    CallResult,
    Candidate,
    CandidateState,
    NoTarget,
    NoTargetReason,
    Pick,
    Tier,
)
from fescueknot.routing.preference import NearestWithCapacity, Preference
from fescueknot.routing.record import RecordSettings, TargetRecord
from fescueknot.routing.sampling import BetterOfTwo, Sampling
from fescueknot.routing.subset import (
    SubsetSettings,
    Viewpoint,
    choose_subset,
    tier_of,
)

_NONE_EXCLUDED: frozenset[InstanceId] = frozenset()


class PickerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the subset and of the target records."""

    subset: SubsetSettings = SubsetSettings()
    record: RecordSettings = RecordSettings()


class TargetPicker:
    """Picks a target for each call.

    Within a tier ``sampling`` chooses a target, the better of two random ones
    by default; a preference then chooses among the tiers. The cost of a pick
    does not depend on the number of candidates: the subset is bounded, and
    only ``update`` iterates over all candidates.
    """

    def __init__(
        self,
        *,
        viewpoint: Viewpoint,
        settings: PickerSettings | None = None,
        preference: Preference | None = None,
        sampling: Sampling | None = None,
    ) -> None:
        self._viewpoint = viewpoint
        self._settings = settings or PickerSettings()
        self._preference = preference or NearestWithCapacity()
        self._sampling = sampling or BetterOfTwo()
        self._records: dict[InstanceId, TargetRecord] = {}
        self._tiers: tuple[tuple[TargetRecord, ...], ...] = ()

    def update(
        self, candidates: tuple[Candidate, ...], callers: int | None = None
    ) -> None:
        """Replace the candidates; draining instances get no new calls.

        ``callers`` is the number of nodes that call the service. Raises
        :class:`DuplicateCandidateError`.
        """
        if callers is not None:
            self._viewpoint = msgspec.structs.replace(
                self._viewpoint, callers=callers
            )
        instances = {candidate.instance for candidate in candidates}
        if len(instances) < len(candidates):
            raise DuplicateCandidateError(f'{len(candidates)} candidates')
        serving = tuple(
            candidate
            for candidate in candidates
            if candidate.state is CandidateState.SERVING
        )
        subset = choose_subset(self._viewpoint, serving, self._settings.subset)
        self._records = {
            candidate.instance: self._record_of(candidate)
            for candidate in subset
        }
        self._tiers = tuple(self._records_of(tier) for tier in Tier)

    def pick(
        self,
        now_s: float,
        rng: random.Random,
        exclude: frozenset[InstanceId] = _NONE_EXCLUDED,
        rank: float = 0,
        preference: Preference | None = None,
    ) -> Pick | NoTarget:
        """Return the target for a call.

        ``rank`` is defined in :mod:`fescueknot.admission.rank`. ``preference``
        overrides that of the picker.
        """
        if not self._records:
            return NoTarget(reason=NoTargetReason.NONE_KNOWN)
        active_preference = preference or self._preference
        usable_tiers = (
            self._usable(records, now_s, exclude, active_preference)
            for records in self._tiers
        )
        best = (
            self._sampling.choose(usable, now_s, rng)
            for usable in usable_tiers
            if usable
        )
        chosen = active_preference.choose(best, rank, now_s)
        if chosen is None:
            return self._pick_fewest_in_flight(now_s, exclude)
        return self._to_pick(chosen, now_s)

    def started(self, instance: InstanceId) -> None:
        """Record a call that is sent to ``instance``."""
        record = self._records.get(instance)
        if record is not None:
            record.started()

    def finished(
        self, instance: InstanceId, result: CallResult, now_s: float
    ) -> None:
        """Record the end of a call that was recorded by ``started``."""
        record = self._records.get(instance)
        if record is not None:
            record.finished(result, now_s)

    def tier(self, instance: InstanceId) -> Tier | None:
        """Return the tier of a target of the subset, else ``None``."""
        record = self._records.get(instance)
        return None if record is None else record.tier

    def subset(self) -> tuple[InstanceId, ...]:
        """Return the targets that the local node keeps connections to."""
        return tuple(self._records)

    def _record_of(self, candidate: Candidate) -> TargetRecord:
        record = self._records.get(candidate.instance)
        if record is not None:
            record.candidate = candidate
            return record
        return TargetRecord(
            candidate=candidate,
            tier=tier_of(self._viewpoint, candidate),
            settings=self._settings.record,
        )

    def _records_of(self, tier: Tier) -> tuple[TargetRecord, ...]:
        return tuple(
            record for record in self._records.values() if record.tier is tier
        )

    def _usable(
        self,
        records: tuple[TargetRecord, ...],
        now_s: float,
        exclude: frozenset[InstanceId],
        preference: Preference,
    ) -> list[TargetRecord]:
        """Return the records that may be called, the avoided ones if alone."""
        preferred = []
        avoided = []
        for record in records:
            if not record.ejection.is_usable(now_s):
                continue
            if record.candidate.instance not in exclude:
                is_avoided = preference.avoids(record, now_s)
                (avoided if is_avoided else preferred).append(record)
        return preferred or avoided

    def _to_pick(self, record: TargetRecord, now_s: float) -> Pick:
        trial = record.ejection.health(now_s) is not Health.HEALTHY
        if trial:
            record.ejection.begin_trial()
        return Pick(
            instance=record.candidate.instance,
            tier=record.tier,
            trial=trial,
        )

    def _pick_fewest_in_flight(
        self, now_s: float, exclude: frozenset[InstanceId]
    ) -> Pick | NoTarget:
        remaining = [
            record
            for instance, record in self._records.items()
            if instance not in exclude
        ]
        if not remaining:
            return NoTarget(reason=NoTargetReason.ALL_EXCLUDED)
        best = min(remaining, key=lambda record: record.in_flight)
        return self._to_pick(best, now_s)
