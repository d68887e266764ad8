"""Requests that are repeated while in progress or before Retry-After.

A request is identified by caller and idempotency key, or by caller and
fingerprint. A repeat is answered here while the first request is in progress
or its Retry-After has not passed, so that repeats cost at most one admission.
"""

import collections
import enum

import msgspec


class RepeatReason(enum.StrEnum):
    """Why a repeat is answered without admission."""

    IN_PROGRESS = 'an earlier one is in progress'
    TOO_EARLY = 'it was told to come back later'


class FirstSeen(msgspec.Struct, frozen=True, kw_only=True):
    """The request is no repeat and goes on to admission."""


class Repeated(msgspec.Struct, frozen=True, kw_only=True):
    """The request is a repeat: it is refused and not run."""

    reason: RepeatReason
    retry_after_s: float


class _Record(msgspec.Struct, frozen=True, kw_only=True):
    """A recorded request; repeats are refused until ``until_s``."""

    reason: RepeatReason
    until_s: float


def recognition_key(
    caller: str, idempotency_key: str | None, fingerprint: str
) -> str:
    """Return the key that identifies a request.

    ``fingerprint`` is a digest of method, path and body.
    """
    if idempotency_key is None:
        return f'{caller} fingerprint {fingerprint}'
    return f'{caller} key {idempotency_key}'


class HardRetryFilter:
    """Detects repeats of requests in progress and of refused requests.

    Stores at most ``most_entries`` requests. ``hint_s`` is the Retry-After for
    repeats of a request in progress.
    """

    def __init__(
        self, *, most_entries: int = 20_000, hint_s: float = 0.5
    ) -> None:
        self._max_entries = most_entries
        self._in_progress_retry_s = hint_s
        self._records: collections.OrderedDict[str, _Record] = (
            collections.OrderedDict()
        )

    def check(
        self, key: str, deadline_s: float, now_s: float
    ) -> FirstSeen | Repeated:
        """Look up a request; record a first one until its deadline."""
        record = self._records.get(key)
        if record is not None and record.until_s > now_s:
            wait_s = self._in_progress_retry_s
            if record.reason is RepeatReason.TOO_EARLY:
                wait_s = record.until_s - now_s
            return Repeated(reason=record.reason, retry_after_s=wait_s)
        self._store(key, RepeatReason.IN_PROGRESS, deadline_s)
        return FirstSeen()

    def answered(self, key: str) -> None:
        """Remove a request that was answered."""
        self._records.pop(key, None)

    def refused(self, key: str, retry_after_s: float, now_s: float) -> None:
        """Record a refused request until its Retry-After has passed."""
        until_s = now_s + retry_after_s
        self._store(key, RepeatReason.TOO_EARLY, until_s)

    def _store(self, key: str, reason: RepeatReason, until_s: float) -> None:
        self._records[key] = _Record(reason=reason, until_s=until_s)
        self._records.move_to_end(key)
        while len(self._records) > self._max_entries:
            self._records.popitem(last=False)
