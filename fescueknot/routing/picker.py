"""Choice of a target for each call to one service."""

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
from fescueknot.routing.preference import NearestWithRoom, Preference
from fescueknot.routing.record import RecordSettings, TargetRecord
from fescueknot.routing.subset import (
    SubsetSettings,
    Viewpoint,
    choose_subset,
    tier_of,
)

_NOTHING_EXCLUDED: frozenset[InstanceId] = frozenset()


class PickerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the parts of a picker."""

    subset: SubsetSettings = SubsetSettings()
    record: RecordSettings = RecordSettings()


class TargetPicker:
    """Picks a target; a preference weighs near ones against far ones.

    Within a tier the better of two random targets is taken (power of two
    choices). A pick costs the same however many candidates are known: the
    subset is bounded, and only ``update`` walks over all candidates.
    """

    def __init__(
        self,
        *,
        viewpoint: Viewpoint,
        settings: PickerSettings | None = None,
        preference: Preference | None = None,
    ) -> None:
        self._viewpoint = viewpoint
        self._settings = settings or PickerSettings()
        self._preference = preference or NearestWithRoom()
        self._records: dict[InstanceId, TargetRecord] = {}
        self._tiers: tuple[tuple[TargetRecord, ...], ...] = ()

    def update(
        self, candidates: tuple[Candidate, ...], callers: int | None = None
    ) -> None:
        """Take the instances known now; draining ones get no new call.

        ``callers`` is the number of nodes that call the service. Raises
        :class:`DuplicateCandidateError`.
        """
        if callers is not None:
            self._viewpoint = msgspec.structs.replace(
                self._viewpoint, callers=callers
            )
        known = {candidate.instance for candidate in candidates}
        if len(known) < len(candidates):
            raise DuplicateCandidateError(f'{len(candidates)} candidates')
        serving = tuple(
            candidate
            for candidate in candidates
            if candidate.state is CandidateState.SERVING
        )
        subset = choose_subset(self._viewpoint, serving, self._settings.subset)
        self._records = {
            candidate.instance: self._record(candidate) for candidate in subset
        }
        self._tiers = tuple(self._members(tier) for tier in Tier)

    def pick(
        self,
        now_s: float,
        rng: random.Random,
        exclude: frozenset[InstanceId] = _NOTHING_EXCLUDED,
        rank: float = 0,
        preference: Preference | None = None,
    ) -> Pick | NoTarget:
        """Return the target for a call of ``rank`` (see admission).

        ``preference`` goes before the usual one.
        """
        if not self._records:
            return NoTarget(reason=NoTargetReason.NONE_KNOWN)
        best = (
            record
            for members in self._tiers
            if (record := self._better_of_two(members, now_s, rng, exclude))
        )
        weighing = preference or self._preference
        chosen = weighing.choose(best, rank, now_s)
        if chosen is None:
            return self._last_resort(now_s, exclude)
        return self._picked(chosen, now_s)

    def started(self, instance: InstanceId) -> None:
        """Count a call that was sent to ``instance``."""
        record = self._records.get(instance)
        if record is not None:
            record.started()

    def finished(
        self, instance: InstanceId, result: CallResult, now_s: float
    ) -> None:
        """Take the end of a call that was counted by ``started``."""
        record = self._records.get(instance)
        if record is not None:
            record.finished(result, now_s)

    def subset(self) -> tuple[InstanceId, ...]:
        """Return the targets that this node keeps connections to."""
        return tuple(self._records)

    def _record(self, candidate: Candidate) -> TargetRecord:
        record = self._records.get(candidate.instance)
        if record is not None:
            record.candidate = candidate
            return record
        return TargetRecord(
            candidate=candidate,
            tier=tier_of(self._viewpoint, candidate),
            settings=self._settings.record,
        )

    def _members(self, tier: Tier) -> tuple[TargetRecord, ...]:
        return tuple(
            record for record in self._records.values() if record.tier is tier
        )

    def _better_of_two(
        self,
        members: tuple[TargetRecord, ...],
        now_s: float,
        rng: random.Random,
        exclude: frozenset[InstanceId],
    ) -> TargetRecord | None:
        usable = [
            record
            for record in members
            if record.ejection.is_usable(now_s)
            and record.candidate.instance not in exclude
        ]
        if len(usable) > 2:
            usable = rng.sample(usable, 2)
        if not usable:
            return None
        due = next((one for one in usable if one.is_due(now_s)), None)
        if due is not None:
            return due
        best = min(usable, key=lambda record: record.score(now_s))
        if rng.random() < best.warmth(now_s):
            return best
        return max(usable, key=lambda record: record.warmth(now_s))

    def _picked(self, record: TargetRecord, now_s: float) -> Pick:
        trial = record.ejection.health(now_s) is not Health.GOOD
        if trial:
            record.ejection.begin_trial()
        return Pick(
            instance=record.candidate.instance,
            tier=record.tier,
            trial=trial,
        )

    def _last_resort(
        self, now_s: float, exclude: frozenset[InstanceId]
    ) -> Pick | NoTarget:
        left = [
            record
            for instance, record in self._records.items()
            if instance not in exclude
        ]
        if not left:
            return NoTarget(reason=NoTargetReason.ALL_EXCLUDED)
        best = min(left, key=lambda record: record.in_flight)
        return self._picked(best, now_s)
