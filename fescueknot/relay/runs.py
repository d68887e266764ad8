"""Runs of the target on this host, as parents of the calls that it makes.

Many targets derive the attempt id of a call from the run that makes it: the
attempt id of the run, a dot and a suffix. Otherwise the parent is found by
the deadline: a call expires together with its run, and the node knows when
each run expires. So targets need not propagate any header.
"""

import bisect
import collections
import itertools

import msgspec

from fescueknot.calls import Importance

# Tolerances between the expiry of a call and that of its run: two hops over
# loopback and rounding to milliseconds.
_MAX_EXPIRY_LAG_S = 0.012
_MAX_EXPIRY_LEAD_S = 0.003
# Bounds how many requests it takes to reclassify a route, as used by callers
# or by runs.
_MAX_SCORE = 20
# Separates the attempt id of the run from the suffix of its call.
_ID_SEPARATOR = '.'
# Decay of the maximum number of calls, per run. It is slow, because runs that
# fail make fewer calls.
_MAX_CALLS_DECAY = 0.999


class Lineage(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    rename={'root': 'o', 'importance': 'm', 'depth': 'd', 'repeat': 'r'},
):
    """Properties that calls inherit from their root request.

    ``root`` is the attempt id of the root request, ``depth`` the number of
    runs above the call. ``repeat`` marks a retry, and the calls of its run: an
    earlier attempt reached another target.
    """

    root: str
    importance: Importance
    depth: int = 0
    repeat: bool = False


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """One execution of a call at the target.

    ``expires_s`` is the deadline that was sent to the target.
    """

    attempt: str
    route: str
    lineage: Lineage
    expires_s: float


class LocalRuns:
    """Runs in progress, and the routes on which runs make calls."""

    def __init__(self) -> None:
        self._by_expiry: list[tuple[float, int]] = []
        self._runs: dict[int, Run] = {}
        self._by_attempt: dict[str, Run] = {}
        self._run_ids = itertools.count()
        self._downstream_routes: dict[str, frozenset[str]] = {}
        self._calls_made: collections.Counter[str] = collections.Counter()
        self._max_calls: dict[str, float] = {}
        self._runs_with_failed_call: set[str] = set()
        self._downstream_scores: dict[str, int] = {}

    def begin(self, run: Run) -> int:
        """Add a run; return its id."""
        run_id = next(self._run_ids)
        self._runs[run_id] = run
        self._by_attempt[run.attempt] = run
        bisect.insort(self._by_expiry, (run.expires_s, run_id))
        return run_id

    def end(self, run_id: int) -> bool:
        """Remove a run; return whether a call that it made has failed."""
        run = self._runs.pop(run_id)
        self._update_max_calls(run)
        failed = run.attempt in self._runs_with_failed_call
        self._runs_with_failed_call.discard(run.attempt)
        self._by_attempt.pop(run.attempt, None)
        entry = (run.expires_s, run_id)
        index = bisect.bisect_left(self._by_expiry, entry)
        self._by_expiry.pop(index)
        return failed

    def inherited_lineage(
        self, root_lineage: Lineage, route: str, expires_s: float
    ) -> Lineage:
        """Return the lineage of a request on ``route``.

        ``root_lineage`` is the lineage that it has if it is a root request.
        Callers and the target send from the same address. If the attempt id
        names no parent, the history of the route decides: requests on a route
        whose earlier requests mostly had a parent here are calls of the
        target.
        """
        named_parent = self._named_parent(root_lineage.root)
        parent = named_parent or self.run_expiring_near(expires_s)
        step = 1 if parent else -1
        score = self._downstream_scores.get(route, 0) + step
        self._downstream_scores[route] = max(
            -_MAX_SCORE, min(score, _MAX_SCORE)
        )
        if score < 0 and named_parent is None:
            return root_lineage
        if parent is None:
            return msgspec.structs.replace(root_lineage, depth=1)
        self._calls_made[parent.attempt] += 1
        known = self._downstream_routes.get(parent.route, frozenset())
        if route not in known:
            self._downstream_routes[parent.route] = known | {route}
        parent_lineage = parent.lineage
        return Lineage(
            root=parent_lineage.root,
            importance=parent_lineage.importance,
            depth=parent_lineage.depth + 1,
            repeat=parent_lineage.repeat,
        )

    def record_failed_call(self, attempt: str, expires_s: float) -> None:
        """Record that a call, given by its attempt id, has failed."""
        parent = self._parent(attempt, expires_s)
        if parent is not None:
            self._runs_with_failed_call.add(parent.attempt)

    def progress(self, attempt: str, expires_s: float) -> float:
        """Return the progress, from 0 to 1, of the run that made a call.

        ``attempt`` is the attempt id of the call. The progress is the number
        of calls made, this call included, as a fraction of the usual maximum
        for runs of the same route; 0 for a call without a parent.
        """
        parent = self._parent(attempt, expires_s)
        if parent is None:
            return 0
        made = self._calls_made[parent.attempt]
        return min(1, made / self._max_calls.get(parent.route, 1))

    def run_expiring_near(self, expires_s: float) -> Run | None:
        """Return the run with the nearest expiry within the tolerances."""
        start = bisect.bisect_left(
            self._by_expiry, (expires_s - _MAX_EXPIRY_LAG_S, 0)
        )
        best: tuple[float, int] | None = None
        for run_expires_s, run_id in self._by_expiry[start:]:
            if run_expires_s > expires_s + _MAX_EXPIRY_LEAD_S:
                break
            distance = (abs(expires_s - run_expires_s), run_id)
            best = min(best or distance, distance)
        return None if best is None else self._runs[best[1]]

    def downstream_routes(self, route: str) -> tuple[str, ...]:
        """Return the routes on which runs of ``route`` make calls."""
        return tuple(self._downstream_routes.get(route, ()))

    def _parent(self, attempt: str, expires_s: float) -> Run | None:
        """Return the run that made a call, found by attempt id or expiry."""
        return self._named_parent(attempt) or self.run_expiring_near(expires_s)

    def _named_parent(self, attempt: str) -> Run | None:
        return self._by_attempt.get(attempt.rpartition(_ID_SEPARATOR)[0])

    def _update_max_calls(self, run: Run) -> None:
        """Update the decaying maximum of calls per run of a route."""
        made = self._calls_made.pop(run.attempt, 0)
        if made:
            decayed = self._max_calls.get(run.route, 0) * _MAX_CALLS_DECAY
            self._max_calls[run.route] = max(made, decayed)
