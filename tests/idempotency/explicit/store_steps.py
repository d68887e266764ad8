"""Steps of the clock, the store, and messages about leases."""

from fescueknot.roster import Roster
from tests.idempotency.explicit.parts import Reading
from tests.idempotency.explicit.state import WorldState


class StoreSteps(WorldState):
    """Reading, writing, gossip, promises and acknowledgements."""

    def do_tick(self, actor: str, other: str) -> None:
        self.now_s += 1

    def can_read(self, actor: str, other: str) -> bool:
        return self.hosts[actor].reading is None

    def do_read(self, actor: str, other: str) -> None:
        self.hosts[actor].reading = Reading(
            sent_s=self.now_s, roster=self.store
        )

    def can_receive(self, actor: str, other: str) -> bool:
        return self.hosts[actor].reading is not None

    def do_receive(self, actor: str, other: str) -> None:
        host = self.hosts[actor]
        reading = host.reading
        host.reading = None
        self.apply_reading(actor, reading)

    def do_read_now(self, actor: str, other: str) -> None:
        """Read the store at once."""
        self.apply_reading(actor, Reading(sent_s=self.now_s, roster=self.store))

    def can_apply(self, actor: str, other: str) -> bool:
        return self.hosts[actor].write is not None

    def do_apply(self, actor: str, other: str) -> None:
        write = self.hosts[actor].write
        self.hosts[actor].write = None
        if write.expected_version != self.store.version:
            return
        self._record_change(write.roster)
        self.store = write.roster

    def do_apply_and_adopt(self, actor: str, other: str) -> None:
        self.do_apply(actor, other)
        self.member(actor).adopt(self.store, now_s=self.now_s)

    can_apply_and_adopt = can_apply

    def do_gossip(self, actor: str, other: str) -> None:
        giver = self.member(actor)
        self.member(other).adopt(giver.view.roster, now_s=self.now_s)
        evidence = giver.gate.lease.evidence
        self.gate(other).lease.add_evidence(evidence)

    def do_acknowledge(self, actor: str, other: str) -> None:
        self.member(other).seal.add_acknowledgement(
            self.member(actor).view.acknowledgement(), now_s=self.now_s
        )

    def can_request(self, actor: str, other: str) -> bool:
        return other not in self.hosts[actor].requests

    def do_request(self, actor: str, other: str) -> None:
        lease = self.gate(actor).lease
        self.hosts[actor].requests[other] = lease.promise_request(
            now_s=self.now_s
        )

    def can_grant(self, actor: str, other: str) -> bool:
        return actor in self.hosts[other].requests

    def do_grant(self, actor: str, other: str) -> None:
        request = self.hosts[other].requests.pop(actor)
        promise = self.gate(actor).promises.grant(request)
        if promise:
            self.gate(other).lease.add_promise(promise)

    def _record_change(self, changed: Roster) -> None:
        for member in changed.members:
            before = self.store.state_of(member.instance)
            if before is not member.state:
                self.reached.add(f'{member.state} {member.instance.name}')
        for removed in self.store.members:
            if changed.find(removed.instance) is None:
                self.reached.add(f'removed {removed.instance.name}')
