"""Runs the real decision code over a trace."""

import collections

from fescueknot.randomness import seeded
from fescueknot.replay import events, promises
from fescueknot.replay.attempts import Attempts
from fescueknot.replay.callers import Callers
from fescueknot.replay.engine import Engine
from fescueknot.replay.fleet import Fleet
from fescueknot.replay.happenings import Happenings
from fescueknot.replay.mechanisms import Mechanisms
from fescueknot.replay.outage import Outage
from fescueknot.replay.outcomes import (
    ClassOutcome,
    RequestOutcome,
    RunOutcome,
)
from fescueknot.replay.rules_log import RulesLog


class Replayer:
    """One replay of one trace, with its own virtual time."""

    def __init__(
        self, *, trace: events.Trace, mechanisms: Mechanisms | None = None
    ) -> None:
        self._trace = trace
        header = trace.header
        self._engine = Engine(wall_offset_s=header.wall_offset_s)
        outage = Outage(engine=self._engine)
        self._rules = RulesLog(engine=self._engine, outage=outage)
        self._fleet = Fleet(
            engine=self._engine, mechanisms=mechanisms or Mechanisms()
        )
        attempts = Attempts(fleet=self._fleet, rng=seeded(seed=header.seed))
        self._callers = Callers(
            fleet=self._fleet, attempts=attempts, allotment=header.allotment
        )
        self._happenings = Happenings(
            fleet=self._fleet,
            callers=self._callers,
            outage=outage,
            rules=self._rules,
        )

    def run(self) -> RunOutcome:
        """Return what became of the trace."""
        for event in self._trace.events:
            if isinstance(event, events.HostUp):
                self._fleet.add(event)
            else:
                self._happenings.schedule(event)
        for service in sorted(self._keyed_services()):
            self._happenings.found_roster(service)
        self._engine.run(self._trace.header.end_s)
        return self._outcome()

    def _keyed_services(self) -> frozenset[str]:
        return frozenset(
            event.work.service
            for event in self._trace.events
            if isinstance(event, events.Arrival) and event.at_most_once
        )

    def _outcome(self) -> RunOutcome:
        requests = tuple(self._callers.ended)
        evidence = promises.Evidence(
            fleet=self._fleet,
            rules=self._rules,
            sent=tuple(self._callers.sent),
            requests=requests,
            allotment=self._trace.header.allotment,
            end_s=self._trace.header.end_s,
        )
        return RunOutcome(
            requests=requests,
            classes=_by_class(requests),
            applies=tuple(self._rules.applies),
            broken=promises.broken(evidence),
        )


def _by_class(
    requests: tuple[RequestOutcome, ...],
) -> dict[str, ClassOutcome]:
    offered: collections.Counter[str] = collections.Counter()
    good: collections.Counter[str] = collections.Counter()
    for request in requests:
        name = request.importance.name.lower()
        offered[name] += 1
        good[name] += request.good
    return {
        name: ClassOutcome(offered=offered[name], good=good[name])
        for name in sorted(offered)
    }
