"""What presses the clients of one failure domain, by the words of a day."""

import random

from tools.site_rig.scene import Disruption

BURST = 'burst'
ABUSE = 'retry_abuse'
LEAVE = 'give_up'
SHIFT = 'shift'
# Clients that would leave stay, and don't retry.
ONCE = 'once'
_RETRIES = 1
CLIENT_TROUBLES = frozenset((BURST, ABUSE, LEAVE, SHIFT))
_MS_PER_S = 1000
_ENDLESS_PATIENCE_S = float('inf')


class ClientTroubles:
    """Says how clients behave now; a client has a place from 0 to 1."""

    def __init__(self, *, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._present: list[Disruption] = []

    def begin(self, disruption: Disruption) -> None:
        """Behave so from now on."""
        if disruption.zone in {'', self._zone}:
            self._present.append(disruption)

    def end(self, disruption: Disruption) -> None:
        """Behave so no more."""
        if disruption in self._present:
            self._present.remove(disruption)

    @property
    def rate_ratio(self) -> float:
        """Return how many times the usual traffic there is."""
        return max((found.ratio for found in self._of(BURST)), default=1)

    @property
    def shift(self) -> Disruption | None:
        """Return where some requests of the clients go now."""
        return next(
            (
                found
                for found in self._of(SHIFT)
                if self._rng.random() < found.share
            ),
            None,
        )

    def retries(self, place: float) -> int:
        """Return how often a client sends a failed request again."""
        left = self._of(LEAVE, place)
        is_once = any(found.how == ONCE for found in left)
        return 0 if is_once else _RETRIES + self.repeats(place)

    def repeats(self, place: float) -> int:
        """Return how many times more a client repeats, and at once."""
        times = [found.ratio for found in self._of(ABUSE, place)]
        return int(max(times, default=0))

    def patience_s(self, place: float, aim_ms: float) -> float:
        """Return how long a client waits at most."""
        within_ms = [
            found.ratio or aim_ms / 2
            for found in self._of(LEAVE, place)
            if found.how != ONCE
        ]
        if not within_ms:
            return _ENDLESS_PATIENCE_S
        return self._rng.uniform(0, min(within_ms)) / _MS_PER_S

    def _of(self, kind: str, place: float = 0) -> list[Disruption]:
        return [
            found
            for found in self._present
            if found.kind == kind and (kind == SHIFT or place < found.share)
        ]
