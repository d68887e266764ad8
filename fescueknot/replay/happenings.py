"""What each event of a trace does to the fleet, the store and the callers."""

import types
from collections.abc import Callable
from typing import Any

from fescueknot.replay import events
from fescueknot.replay.callers import Callers
from fescueknot.replay.engine import Pause, Process
from fescueknot.replay.fleet import Fleet
from fescueknot.replay.host import Host
from fescueknot.replay.outage import Outage
from fescueknot.replay.roster_store import RosterKeeper
from fescueknot.replay.rules_log import RulesLog

_IDLE_CHECK_S = 0.05
_LOSS_HEARD_S = 0.5
_NOTICE_S = 2.0


class Happenings:
    """Carries out events at their times."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        callers: Callers,
        outage: Outage,
        rules: RulesLog,
    ) -> None:
        self._fleet = fleet
        self._engine = fleet.engine
        self._callers = callers
        self._outage = outage
        self._rules = rules
        self._rosters: dict[str, RosterKeeper] = {}

    def found_roster(self, service: str) -> None:
        """Start the at-most-once members of a service."""
        self._rosters[service] = RosterKeeper(
            service=service, fleet=self._fleet, outage=self._outage
        )

    def schedule(self, event: events.Event) -> None:
        """Let an event happen at its time."""
        act = _ACTIONS[type(event)]
        self._engine.call_at(event.at_s, lambda: act(self, event))

    def _arrive(self, event: events.Arrival) -> None:
        self._engine.spawn(self._callers.play(event))

    def _pause(self, event: events.HostPaused) -> None:
        condition = self._fleet.hosts[event.name].condition
        condition.paused_until_s = event.until_s

    def _lose(self, event: events.HostLost) -> None:
        host = self._fleet.hosts[event.name]
        host.condition.gone = True
        self._engine.call_at(
            event.at_s + _LOSS_HEARD_S,
            lambda: self._fleet.forget(event.name),
        )

    def _suspect(self, event: events.HostSuspected) -> None:
        suspect = self._fleet.hosts[event.name]
        keeper = self._rosters[suspect.up.service]
        taker = self._fleet.hosts[event.by]
        self._engine.spawn(keeper.take_over(suspect, taker))

    def _drain(self, event: events.HostDrained) -> None:
        host = self._fleet.hosts[event.name]
        host.condition.draining_s = event.at_s
        self._engine.call_at(
            event.heard_s, lambda: self._fleet.hear_draining(event.name)
        )
        self._engine.spawn(self._leave(host))

    def _leave(self, host: Host) -> Process:
        """Give notice, close the door, finish, hand over, end."""
        yield Pause(wait_s=_NOTICE_S)
        host.condition.door_closed = (
            self._fleet.mechanisms.refuses_when_draining()
        )
        waits = self._fleet.mechanisms.waits_for_runs()
        while host.condition.in_progress and waits:
            yield Pause(wait_s=_IDLE_CHECK_S)
        keeper = self._rosters.get(host.up.service)
        if keeper is not None:
            yield from keeper.leave(host)
        host.condition.planned = True
        host.condition.gone = True
        self._fleet.forget(host.up.name)

    def _store_down(self, event: events.StoreDown) -> None:
        self._outage.begin(event)

    def _apply(self, event: events.RulesApplied) -> None:
        self._rules.apply(event)

    def _hear_rules(self, event: events.RulesSeen) -> None:
        self._rules.hear(self._fleet.hosts[event.name], event)


_Act = Callable[[Happenings, Any], None]

_ACTIONS: types.MappingProxyType[type, _Act] = types.MappingProxyType(
    {
        events.Arrival: Happenings._arrive,
        events.HostPaused: Happenings._pause,
        events.HostLost: Happenings._lose,
        events.HostSuspected: Happenings._suspect,
        events.HostDrained: Happenings._drain,
        events.StoreDown: Happenings._store_down,
        events.RulesApplied: Happenings._apply,
        events.RulesSeen: Happenings._hear_rules,
    }
)
