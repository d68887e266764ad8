"""Operators' changes of the rules, and the nodes that hear of them."""

import itertools

import msgspec

from fescueknot.objectapi.faults import FaultPlan, FaultyStore
from fescueknot.objectapi.memory_store import MemoryStore
from fescueknot.replay.engine import Engine
from fescueknot.replay.events import RulesApplied, RulesSeen
from fescueknot.replay.host import Host
from fescueknot.replay.outage import Outage
from fescueknot.replay.outcomes import ApplyOutcome
from fescueknot.rules.edit import Applied, Edit
from fescueknot.rules.errors import RulesError
from fescueknot.rules.log_entry import Head, LogEntry
from fescueknot.rules.offer_results import EntriesMissing
from fescueknot.rules.publisher import RulesPublisher

_ALWAYS = 1.0


class Accepted(msgspec.Struct, frozen=True, kw_only=True):
    """A version and when the store took it."""

    version: int
    at_s: float


class InForceChange(msgspec.Struct, frozen=True, kw_only=True):
    """The version in force on one node after it has heard something."""

    host: str
    at_s: float
    version: int
    text: tuple[str, ...]


class RulesLog:
    """The log of rules in the store, and what came of it."""

    def __init__(self, *, engine: Engine, outage: Outage) -> None:
        self._engine = engine
        self._outage = outage
        self._memory = MemoryStore()
        self._heads = [Head()]
        self._entries: dict[int, LogEntry] = {}
        self.accepted: list[Accepted] = []
        self.applies: list[ApplyOutcome] = []
        self.in_force: list[InForceChange] = []

    def apply(self, event: RulesApplied) -> None:
        """Let an operator apply an edit."""
        publisher = RulesPublisher(
            store=FaultyStore(inner=self._memory, plan=self._plan()),
            clock=self._engine.clock,
            change_ids=lambda: event.change_id,
        )
        edit = Edit(
            text=event.text,
            file=event.change_id,
            author=event.author,
            base_version=event.base_version,
        )
        try:
            told = publisher.apply(edit)
        except RulesError as error:
            self._tell(event, type(error).__name__, 0)
        else:
            version = told.entry.version if isinstance(told, Applied) else 0
            self._tell(event, type(told).__name__, version)
        self._read_log()

    def hear(self, host: Host, event: RulesSeen) -> None:
        """Let a node hear of a version, and of what it then misses."""
        if host.condition.gone or event.version >= len(self._heads):
            return
        if event.snapshot:
            host.rules.offer(self._heads[event.version].snapshot())
        else:
            self._offer_entry(host, event.version)
        self.in_force.append(
            InForceChange(
                host=host.up.name,
                at_s=self._engine.now_s,
                version=host.rules.version,
                text=host.rules.head.lines,
            )
        )

    def text_of(self, version: int) -> tuple[str, ...]:
        """Return the accepted text of a version."""
        return self._heads[version].lines

    def _offer_entry(self, host: Host, version: int) -> None:
        told = host.rules.offer(self._entries[version])
        if isinstance(told, EntriesMissing):
            for missing in range(told.first, told.last + 1):
                host.rules.offer(self._entries[missing])

    def _plan(self) -> FaultPlan:
        if self._outage.answers():
            return FaultPlan()
        if self._outage.takes_writes():
            return FaultPlan(lost_answers_ratio=_ALWAYS)
        return FaultPlan(down=True)

    def _tell(self, event: RulesApplied, verdict: str, version: int) -> None:
        self.applies.append(
            ApplyOutcome(
                change_id=event.change_id, verdict=verdict, version=version
            )
        )

    def _read_log(self) -> None:
        """Note what the store has accepted, whatever it answered."""
        publisher = RulesPublisher(store=self._memory, clock=self._engine.clock)
        known = len(self._heads) - 1
        for entry in publisher.read().entries_after(known):
            self._entries[entry.version] = entry
            self._heads.append(self._heads[-1].after(entry))
            self.accepted.append(
                Accepted(version=entry.version, at_s=self._engine.now_s)
            )


def reverts(changes: list[InForceChange]) -> list[InForceChange]:
    """Return the changes that took a node to a lower version."""
    by_host: dict[str, list[InForceChange]] = {}
    for change in changes:
        by_host.setdefault(change.host, []).append(change)
    return [
        later
        for told in by_host.values()
        for earlier, later in itertools.pairwise(told)
        if later.version < earlier.version
    ]
