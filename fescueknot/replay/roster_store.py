"""The store's roster of one service, and the members that read it."""

from fescueknot.idempotency.messages import StoreEvidence
from fescueknot.idempotency.steps import (
    Finished,
    RequestAcknowledgements,
    SendBatches,
    TakeoverCancelled,
    WriteRoster,
)
from fescueknot.replay.engine import Pause, Process
from fescueknot.replay.fleet import Fleet
from fescueknot.replay.host import Host
from fescueknot.replay.outage import Outage
from fescueknot.roster import Member, Roster

_READ_EVERY_S = 1.0
_STEP_EVERY_S = 0.25
_SPREAD_S = 0.3


class RosterKeeper:
    """Keeps one roster in the store and lets members act on it."""

    def __init__(self, *, service: str, fleet: Fleet, outage: Outage) -> None:
        self._fleet = fleet
        self._engine = fleet.engine
        self._outage = outage
        hosts = fleet.of_service(service)
        self._roster = Roster(
            service=service,
            version=1,
            members=tuple(
                Member(instance=host.instance, joined_version=1)
                for host in hosts
            ),
        )
        for host in hosts:
            host.member = fleet.mechanisms.member(
                host.instance, self._roster, self._engine.now_s
            )
            self._engine.spawn(self._renew(host))

    def take_over(self, suspect: Host, by: Host) -> Process:
        """Let one member take over from a suspect."""
        procedure = by.member.takeover(suspect.instance)
        yield from self._carry_out(procedure, by)

    def leave(self, leaver: Host) -> Process:
        """Let a member hand its keys over and leave."""
        yield from self._carry_out(leaver.member.leaving(), leaver)

    def _carry_out(self, procedure, actor: Host) -> Process:
        while not actor.condition.gone:
            yield from actor.awake()
            step = procedure.next_step(
                now_s=self._engine.now_s, wall_s=self._engine.wall_s
            )
            if isinstance(step, Finished | TakeoverCancelled):
                return
            if isinstance(step, WriteRoster):
                self._write(step, actor)
            elif isinstance(step, RequestAcknowledgements):
                self._ask(step, actor)
            elif isinstance(step, SendBatches):
                self._offer(step, procedure)
            yield Pause(wait_s=_STEP_EVERY_S)

    def _write(self, step: WriteRoster, actor: Host) -> None:
        fits = step.expected_version == self._roster.version
        if fits and self._outage.takes_writes():
            self._roster = step.roster
            self._engine.call_at(self._engine.now_s + _SPREAD_S, self._spread)
        if self._outage.answers():
            actor.member.adopt(self._roster, now_s=self._engine.now_s)

    def _spread(self) -> None:
        """Let a watch tell all members that are there."""
        if not self._outage.answers():
            return
        for host in self._fleet.of_service(self._roster.service):
            if host.reachable:
                self._read(host)

    def _ask(self, step: RequestAcknowledgements, actor: Host) -> None:
        roster = actor.member.view.roster
        for instance in step.instances:
            other = self._fleet.find(instance)
            if other.reachable:
                told = other.member.adopt(roster, now_s=self._engine.now_s)
                actor.member.seal.add_acknowledgement(
                    told, now_s=self._engine.now_s
                )

    def _offer(self, step: SendBatches, leaving) -> None:
        for batch in step.batches:
            heir = self._fleet.find(batch.delivery.receiver)
            if heir.reachable:
                leaving.confirm(
                    heir.member.handover.accept(batch, now_s=self._engine.now_s)
                )

    def _renew(self, host: Host) -> Process:
        while not host.condition.gone:
            yield from host.awake()
            if self._outage.answers():
                self._read(host)
            else:
                self._collect_promises(host)
            yield Pause(wait_s=_READ_EVERY_S)

    def _read(self, host: Host) -> None:
        now_s = self._engine.now_s
        host.member.adopt(self._roster, now_s=now_s)
        host.member.gate.lease.add_evidence(
            StoreEvidence(version=self._roster.version, at_s=now_s)
        )

    def _collect_promises(self, host: Host) -> None:
        request = host.member.gate.lease.promise_request(
            now_s=self._engine.now_s
        )
        for holder in host.member.view.roster.holders:
            other = self._fleet.find(holder)
            if other is host or not other.reachable:
                continue
            promise = other.member.gate.promises.grant(request)
            if promise is not None:
                host.member.gate.lease.add_promise(promise)
