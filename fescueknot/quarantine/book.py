"""All evidence that one node has, by fingerprint."""

import collections
import enum
import math
from collections.abc import Iterable, Iterator

import msgspec

from fescueknot.quarantine.evidence import (
    SUSPECTED_CRASHES,
    Evidence,
    TargetStart,
)
from fescueknot.quarantine.fingerprint import is_fingerprint
from fescueknot.quarantine.messages import (
    NEVER_AGE_MS,
    Crash,
    SuspectRecord,
)
from fescueknot.quarantine.recent_successes import RecentSuccesses

MAX_FINGERPRINTS = 2048
# Part of the book that is dropped when it is full.
_DROPPED_FRACTION = 0.25
_MS_PER_S = 1000


class Standing(enum.StrEnum):
    """How requests with a fingerprint are treated."""

    CLEAR = 'clear'
    SUSPECTED = 'suspected'
    QUARANTINED = 'quarantined'


class HeldRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A fingerprint that is held back, and for how much longer."""

    fingerprint: str
    crashes: int
    left_s: float


class SuspectBook:
    """Bounded; if it is full, those with the fewest crashes are dropped."""

    def __init__(self, *, max_fingerprints: int = MAX_FINGERPRINTS) -> None:
        self._max_fingerprints = max_fingerprints
        self._successes = RecentSuccesses()
        self._evidence: collections.defaultdict[str, Evidence]
        self._evidence = collections.defaultdict(Evidence)

    def __len__(self) -> int:
        """Return the number of fingerprints."""
        return len(self._evidence)

    def standing(self, fingerprint: str, now_s: float) -> Standing:
        """Return how requests with a fingerprint are treated now."""
        evidence = self._evidence.get(fingerprint)
        if evidence is None or evidence.crashes < SUSPECTED_CRASHES:
            return Standing.CLEAR
        if evidence.is_held(now_s):
            return Standing.QUARANTINED
        return Standing.SUSPECTED

    def held_request(
        self, fingerprint: str, now_s: float
    ) -> HeldRequest | None:
        """Return how a fingerprint is held back, ``None`` if it is not."""
        evidence = self._evidence.get(fingerprint)
        if evidence is None or not evidence.is_held(now_s):
            return None
        return HeldRequest(
            fingerprint=fingerprint,
            crashes=evidence.crashes,
            left_s=evidence.hold.until_s - now_s,
        )

    def held(self, now_s: float) -> tuple[HeldRequest, ...]:
        """Return the fingerprints that are held back."""
        found = (self.held_request(one, now_s) for one in self._evidence)
        return tuple(one for one in found if one is not None)

    def record_crash(
        self, start: TargetStart, fingerprints: Iterable[str], now_s: float
    ) -> tuple[str, ...]:
        """Record a crash under requests; return the fingerprints changed."""
        changed = tuple(
            fingerprint
            for fingerprint in dict.fromkeys(fingerprints)
            if self._successes.time_s(fingerprint, now_s) is None
            and self._evidence[fingerprint].add_crash(start, now_s)
        )
        self._drop_weakest()
        return changed

    def record_success(self, fingerprint: str, now_s: float) -> bool:
        """Record an answer of a target; return whether it was a suspect."""
        self._successes.record(fingerprint, now_s)
        evidence = self._evidence.get(fingerprint)
        if evidence is None or not evidence.crashes:
            return False
        evidence.clear(now_s)
        return True

    def merge(
        self, records: Iterable[SuspectRecord], now_s: float
    ) -> tuple[str, ...]:
        """Add another node's records; return the fingerprints changed."""
        changed = tuple(
            record.fingerprint
            for record in records
            if self._merge_record(record, now_s)
        )
        self._drop_weakest()
        return changed

    def fingerprints(self, now_s: float, *, only_held: bool) -> list[str]:
        """Return fingerprints, those with the most, newest crashes first."""
        selected = sorted(
            self._selected(now_s, only_held=only_held),
            key=lambda pair: pair[1].weight,
            reverse=True,
        )
        return [fingerprint for fingerprint, _ in selected]

    def records_of(
        self, fingerprints: Iterable[str], now_s: float
    ) -> tuple[SuspectRecord, ...]:
        """Return the records of some fingerprints."""
        return tuple(
            _record(fingerprint, self._evidence[fingerprint], now_s)
            for fingerprint in fingerprints
            if fingerprint in self._evidence
        )

    def crashed_at(self, fingerprint: str) -> frozenset[TargetStart]:
        """Return the starts of targets that crashed under a fingerprint."""
        evidence = self._evidence.get(fingerprint)
        return frozenset(evidence.crash_times_s if evidence else ())

    def digest(self, now_s: float, *, only_held: bool) -> int:
        """Return a checksum of the evidence, equal at nodes that agree."""
        digest = 0
        for fingerprint, evidence in self._selected(now_s, only_held=only_held):
            digest ^= evidence.checksum ^ int(fingerprint, 16)
        return digest

    def prune(self, now_s: float) -> None:
        """Forget what is of no use any more."""
        for fingerprint, evidence in tuple(self._evidence.items()):
            if evidence.forget_at_s <= now_s:
                self._evidence.pop(fingerprint)

    def _selected(
        self, now_s: float, *, only_held: bool
    ) -> Iterator[tuple[str, Evidence]]:
        for fingerprint, evidence in self._evidence.items():
            if evidence.is_held(now_s) or not only_held:
                yield fingerprint, evidence

    def _merge_record(self, record: SuspectRecord, now_s: float) -> bool:
        if not is_fingerprint(record.fingerprint):
            return False
        evidence = self._evidence[record.fingerprint]
        changes = [
            evidence.add_crash(
                (crash.instance, crash.started_ms),
                now_s - max(0, crash.age_ms) / _MS_PER_S,
            )
            for crash in record.crashes
        ]
        if record.cleared_age_ms >= 0:
            cleared_at_s = now_s - record.cleared_age_ms / _MS_PER_S
            changes.append(evidence.clear(cleared_at_s))
        succeeded_s = self._successes.time_s(record.fingerprint, now_s)
        if succeeded_s is not None and evidence.crashes:
            changes.append(evidence.clear(succeeded_s))
        return any(changes)

    def _drop_weakest(self) -> None:
        if len(self._evidence) <= self._max_fingerprints:
            return
        by_weight = sorted(
            self._evidence, key=lambda one: self._evidence[one].weight
        )
        excess = len(self._evidence) - self._max_fingerprints
        dropped = excess + int(self._max_fingerprints * _DROPPED_FRACTION)
        for fingerprint in by_weight[:dropped]:
            self._evidence.pop(fingerprint)


def _record(
    fingerprint: str, evidence: Evidence, now_s: float
) -> SuspectRecord:
    return SuspectRecord(
        fingerprint=fingerprint,
        crashes=tuple(
            Crash(
                instance=instance,
                started_ms=started_ms,
                age_ms=_age_ms(crashed_s, now_s),
            )
            for (
                instance,
                started_ms,
            ), crashed_s in evidence.crash_times_s.items()
        ),
        cleared_age_ms=_age_ms(evidence.cleared_at_s, now_s),
    )


def _age_ms(at_s: float, now_s: float) -> int:
    if math.isinf(at_s):
        return NEVER_AGE_MS
    return max(0, round((now_s - at_s) * _MS_PER_S))
