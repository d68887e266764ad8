"""Fingerprints that a target has answered a short time ago."""

import collections

from fescueknot.quarantine.evidence import SUCCESS_WINDOW_S

_MAX_FINGERPRINTS = 4096


class RecentSuccesses:
    """Times of the last successes, for as long as they speak for others."""

    def __init__(self) -> None:
        self._times_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of fingerprints."""
        return len(self._times_s)

    def record(self, fingerprint: str, now_s: float) -> None:
        """Record a success."""
        self._times_s[fingerprint] = now_s
        self._times_s.move_to_end(fingerprint)
        self._drop_old(now_s)

    def time_s(self, fingerprint: str, now_s: float) -> float | None:
        """Return when a fingerprint last succeeded, ``None`` if not lately."""
        self._drop_old(now_s)
        return self._times_s.get(fingerprint)

    def _drop_old(self, now_s: float) -> None:
        oldest_s = now_s - SUCCESS_WINDOW_S
        while self._times_s:
            fingerprint, at_s = next(iter(self._times_s.items()))
            if at_s >= oldest_s and len(self._times_s) <= _MAX_FINGERPRINTS:
                return
            self._times_s.pop(fingerprint)
