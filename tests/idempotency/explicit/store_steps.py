"""Steps of time, the store, and messages about leases."""

from fescueknot.roster import Roster
from tests.idempotency.explicit.parts import Reading
from tests.idempotency.explicit.state import WorldState


class StoreSteps(WorldState):
    """Reading, writing, gossip, promises and acknowledgements."""

    def do_tick(self, actor: str, other: str) -> None:
        self.now_s += 1

    def can_read(self, actor: str, other: str) -> bool:
        return self.sites[actor].reading is None

    def do_read(self, actor: str, other: str) -> None:
        self.sites[actor].reading = Reading(
            sent_s=self.now_s, roster=self.store
        )

    def can_hear(self, actor: str, other: str) -> bool:
        return self.sites[actor].reading is not None

    def do_hear(self, actor: str, other: str) -> None:
        site = self.sites[actor]
        reading = site.reading
        site.reading = None
        self.give_evidence(actor, reading)

    def do_learn(self, actor: str, other: str) -> None:
        """Read the store at once."""
        self.give_evidence(actor, Reading(sent_s=self.now_s, roster=self.store))

    def can_apply(self, actor: str, other: str) -> bool:
        return self.sites[actor].write is not None

    def do_apply(self, actor: str, other: str) -> None:
        write = self.sites[actor].write
        self.sites[actor].write = None
        if write.expected_version != self.store.version:
            return
        self._note_change(write.roster)
        self.store = write.roster

    def do_apply_and_hear(self, actor: str, other: str) -> None:
        self.do_apply(actor, other)
        self.member(actor).adopt(self.store, now_s=self.now_s)

    can_apply_and_hear = can_apply

    def do_gossip(self, actor: str, other: str) -> None:
        giver = self.member(actor)
        self.member(other).adopt(giver.view.roster, now_s=self.now_s)
        evidence = giver.gate.lease.evidence
        self.gate(other).lease.add_evidence(evidence)

    def do_acknowledge(self, actor: str, other: str) -> None:
        self.member(other).seal.add_acknowledgement(
            self.member(actor).view.acknowledgement(), now_s=self.now_s
        )

    def can_ask(self, actor: str, other: str) -> bool:
        return other not in self.sites[actor].requests

    def do_ask(self, actor: str, other: str) -> None:
        lease = self.gate(actor).lease
        self.sites[actor].requests[other] = lease.promise_request(
            now_s=self.now_s
        )

    def can_grant(self, actor: str, other: str) -> bool:
        return actor in self.sites[other].requests

    def do_grant(self, actor: str, other: str) -> None:
        request = self.sites[other].requests.pop(actor)
        promise = self.gate(actor).promises.grant(request)
        if promise:
            self.gate(other).lease.add_promise(promise)

    def _note_change(self, changed: Roster) -> None:
        for member in changed.members:
            before = self.store.state_of(member.instance)
            if before is not member.state:
                self.reached.add(f'{member.state} {member.instance.name}')
        for gone in self.store.members:
            if changed.find(gone.instance) is None:
                self.reached.add(f'gone {gone.instance.name}')

    # Messages about leases and versions.
