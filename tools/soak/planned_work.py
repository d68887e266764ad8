"""When nodes were stopped, reloaded, configured and disrupted in a soak."""

import collections
import math
from collections.abc import Iterator

# Bounds of the users' rules, besides the grace period.
STABLE_S = 3.0
_AFTER_GRACE_S = 1.0
_IN_FORCE_S = 2.5
_AFTER_IN_FORCE_S = 1.0


class Disruption:
    """A span of unplanned trouble, without an end while it lasts."""

    def __init__(self, *, since_s: float, store_only: bool) -> None:
        self.since_s = since_s
        self.until_s = math.inf
        self.store_only = store_only

    def overlaps(self, since_s: float, until_s: float) -> bool:
        """Return whether a part of the span lies between two moments."""
        return self.since_s <= until_s and self.until_s >= since_s


class PlannedWork:
    """Planned work by node, and the disruptions beside it."""

    def __init__(self, *, grace_s: float) -> None:
        self.grace_s = grace_s
        self._stops_s: dict[str, list[float]] = collections.defaultdict(list)
        self._reloads_s: dict[str, list[float]] = collections.defaultdict(list)
        self._starts_s: dict[str, list[float]] = collections.defaultdict(list)
        self._configured_s: list[float] = []
        self._disruptions: list[Disruption] = []
        self._standstills_s: list[tuple[float, float]] = []

    def stopped(self, node: str, now_s: float) -> None:
        """Record a SIGTERM."""
        self._stops_s[node].append(now_s)

    def started(self, node: str, now_s: float) -> None:
        """Record a start."""
        self._starts_s[node].append(now_s)

    def reloaded(self, node: str, now_s: float) -> None:
        """Record a SIGHUP."""
        self._reloads_s[node].append(now_s)

    def configured(self, now_s: float) -> None:
        """Record a new configuration, which is acknowledged at once."""
        self._configured_s.append(now_s)

    def disrupt(self, now_s: float, *, store_only: bool = False) -> Disruption:
        """Record the begin of a disruption; the caller sets its end."""
        disruption = Disruption(since_s=now_s, store_only=store_only)
        self._disruptions.append(disruption)
        return disruption

    def stood_still(self, since_s: float, until_s: float) -> None:
        """Record that the soak itself did not run."""
        self._standstills_s.append((since_s, until_s))

    def standstill_s(self, since_s: float, until_s: float) -> float:
        """Return for how much of a time the soak itself did not run."""
        return sum(
            max(min(until_s, end_s) - max(since_s, begin_s), 0)
            for begin_s, end_s in self._standstills_s
        )

    def settled_s(
        self, moment_s: float, calm_s: float, *, store_only: bool
    ) -> float:
        """Return when a time without disruptions has passed since a moment.

        ``store_only`` counts the disruptions of the store alone.
        """
        begin_s = moment_s
        for disruption in self._disruptions:
            counts = disruption.store_only or not store_only
            if counts and disruption.overlaps(begin_s, begin_s + calm_s):
                begin_s = disruption.until_s
        end_s = begin_s + calm_s
        return end_s + self.standstill_s(moment_s, end_s)

    def stop_before(self, node: str, moment_s: float) -> float | None:
        """Return when the stop began that may end a connection at a moment."""
        length_s = self.grace_s + _AFTER_GRACE_S
        stops_s = self._stops_s[node]
        return next(_begun_before(stops_s, moment_s, length_s), None)

    def is_reload(self, node: str, sent_s: float, ended_s: float) -> bool:
        """Return whether a request was sent and ended around a SIGHUP."""
        return any(
            reload_s <= ended_s and sent_s <= reload_s + _IN_FORCE_S
            for reload_s in self._reloads_s[node]
        )

    def is_configuration(self, moment_s: float) -> bool:
        """Return whether a configuration may be coming into force."""
        length_s = _IN_FORCE_S + _AFTER_IN_FORCE_S
        begun_s = _begun_before(self._configured_s, moment_s, length_s)
        return next(begun_s, None) is not None

    def is_disrupted(self, since_s: float, until_s: float) -> bool:
        """Return whether anything but the store was disrupted meanwhile."""
        return any(
            disruption.overlaps(since_s, until_s)
            for disruption in self._disruptions
            if not disruption.store_only
        )

    def is_calm(self, node: str, since_s: float, until_s: float) -> bool:
        """Return whether a node was in touch, with a stable store."""
        is_disrupted = any(
            disruption.overlaps(since_s, until_s)
            for disruption in self._disruptions
        )
        signalled_s = (*self._stops_s[node], *self._starts_s[node])
        is_signalled = any(
            since_s <= moment_s <= until_s for moment_s in signalled_s
        )
        return not is_disrupted and not is_signalled


def _begun_before(
    begun_s: list[float], moment_s: float, length_s: float
) -> Iterator[float]:
    """Yield the begins of the spans that hold a moment, latest first."""
    for begin_s in reversed(begun_s):
        if begin_s <= moment_s <= begin_s + length_s:
            yield begin_s
