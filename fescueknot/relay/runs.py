"""Calls that this host's target works on, as parents of calls it makes.

Many targets name a call after the run that made it: the id of the run, a dot
and more. Where they don't, the time tells: a call expires with its run, and
the node knows when each run expires. So targets need to pass on no header.
"""

import bisect
import collections
import itertools

import msgspec

from fescueknot.calls import Importance

# What the two hops of loopback and rounding to milliseconds may add.
_LATE_S = 0.012
_EARLY_S = 0.003
# How many requests it takes at the most to learn a route anew.
_MOST_LEAD = 20
# Targets that name their calls after the run add to its id behind this.
_ID_SEPARATOR = '.'
# Runs that fail make fewer calls: the longest ones fade this slowly.
_CALLS_MEMORY = 0.999


class Lineage(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    rename={'root': 'o', 'importance': 'm', 'depth': 'd', 'repeat': 'r'},
):
    """What calls inherit: the root request and its class.

    ``repeat`` marks work that was begun before by another target.
    """

    root: str
    importance: Importance
    depth: int = 0
    repeat: bool = False


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """One call at the target; ``expires_s`` is what the target was told."""

    attempt: str
    route: str
    lineage: Lineage
    expires_s: float


class LocalRuns:
    """Runs in progress, and which routes their calls were seen to take."""

    def __init__(self) -> None:
        self._by_expiry: list[tuple[float, int]] = []
        self._runs: dict[int, Run] = {}
        self._by_attempt: dict[str, Run] = {}
        self._numbers = itertools.count()
        self._below: dict[str, frozenset[str]] = {}
        self._calls_made: collections.Counter[str] = collections.Counter()
        self._usual_calls: dict[str, float] = {}
        self._failed: set[str] = set()
        self._inner_lead: dict[str, int] = {}

    def begin(self, run: Run) -> int:
        """Remember a run; return its number."""
        number = next(self._numbers)
        self._runs[number] = run
        self._by_attempt[run.attempt] = run
        bisect.insort(self._by_expiry, (run.expires_s, number))
        return number

    def end(self, number: int) -> bool:
        """Forget a run; return whether a call that it made has failed."""
        run = self._runs.pop(number)
        self._learn_calls(run)
        failed = run.attempt in self._failed
        self._failed.discard(run.attempt)
        self._by_attempt.pop(run.attempt, None)
        entry = (run.expires_s, number)
        index = bisect.bisect_left(self._by_expiry, entry)
        self._by_expiry.pop(index)
        return failed

    def lineage(self, own: Lineage, route: str, expires_s: float) -> Lineage:
        """Return what a request on ``route`` inherits.

        ``own`` has the id of the request as its root. Callers share the
        address of the target, so where an id doesn't tell the route decides:
        one whose requests mostly have a parent here is taken by targets.
        """
        named = self._named_parent(own.root)
        parent = named or self.parent_of(expires_s)
        step = 1 if parent else -1
        lead = self._inner_lead.get(route, 0) + step
        self._inner_lead[route] = max(-_MOST_LEAD, min(lead, _MOST_LEAD))
        if lead < 0 and named is None:
            return own
        if parent is None:
            return msgspec.structs.replace(own, depth=1)
        self._calls_made[parent.attempt] += 1
        known = self._below.get(parent.route, frozenset())
        if route not in known:
            self._below[parent.route] = known | {route}
        above = parent.lineage
        return Lineage(
            root=above.root,
            importance=above.importance,
            depth=above.depth + 1,
            repeat=above.repeat,
        )

    def call_failed(self, call: str, expires_s: float) -> None:
        """Take note that a call failed, for the run that made it."""
        parent = self._parent(call, expires_s)
        if parent is not None:
            self._failed.add(parent.attempt)

    def progress(self, call: str, expires_s: float) -> float:
        """Return how far the run that made a call has come, from 0 to 1.

        It is the share of the calls that runs of its route usually make, this
        one included; 0 for a call without a parent.
        """
        parent = self._parent(call, expires_s)
        if parent is None:
            return 0
        made = self._calls_made[parent.attempt]
        return min(1, made / self._usual_calls.get(parent.route, 1))

    def parent_of(self, expires_s: float) -> Run | None:
        """Return the run whose expiry is nearest, if one is near."""
        start = bisect.bisect_left(self._by_expiry, (expires_s - _LATE_S, 0))
        best: tuple[float, int] | None = None
        for found_s, number in self._by_expiry[start:]:
            if found_s > expires_s + _EARLY_S:
                break
            distance = (abs(expires_s - found_s), number)
            best = min(best or distance, distance)
        return None if best is None else self._runs[best[1]]

    def below(self, route: str) -> tuple[str, ...]:
        """Return the routes that runs of ``route`` make calls on."""
        return tuple(self._below.get(route, ()))

    def _parent(self, call: str, expires_s: float) -> Run | None:
        """Return the run that made a call."""
        return self._named_parent(call) or self.parent_of(expires_s)

    def _named_parent(self, call: str) -> Run | None:
        return self._by_attempt.get(call.rpartition(_ID_SEPARATOR)[0])

    def _learn_calls(self, run: Run) -> None:
        """Remember how many calls the longest runs of a route make."""
        made = self._calls_made.pop(run.attempt, 0)
        if made:
            faded = self._usual_calls.get(run.route, 0) * _CALLS_MEMORY
            self._usual_calls[run.route] = max(made, faded)
