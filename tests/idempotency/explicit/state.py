"""State of the explicit world, its copies and its signature."""

from collections.abc import Iterable
from typing import Self

from fescueknot.idempotency.batches import EntryBatch
from fescueknot.idempotency.entry_table import LedgerBounds
from fescueknot.idempotency.gate import AtMostOnceGate
from fescueknot.idempotency.member import KeyMember
from fescueknot.idempotency.messages import StoreEvidence
from fescueknot.idempotency.terms import Terms
from fescueknot.roster import Member, Roster
from tests.idempotency.explicit.copies import Signatures, copy_part
from tests.idempotency.explicit.parts import (
    COPIED,
    SIGNED,
    Action,
    Dispatch,
    KeySpec,
    Reading,
    Site,
    find_key,
    instance,
)


class WorldState:
    """The store, the members, and all that is on its way between them.

    ``healthy`` members read the store and tell each other what they adopted
    after each step, all others only when an action lets them.
    """

    def __init__(
        self,
        *,
        holders: str,
        strangers: str = '',
        keys: Iterable[KeySpec],
        budgets: dict[str, int],
        terms: Terms,
        bounds: LedgerBounds | None = None,
        healthy: str = '',
    ) -> None:
        self.now_s = 0
        self._healthy = healthy
        self.store = Roster(
            service='s',
            version=1,
            members=tuple(
                Member(instance=instance(name), joined_version=1)
                for name in holders
            ),
        )
        self.sites = {
            name: Site(
                member=KeyMember(
                    instance=instance(name),
                    roster=self.store,
                    now_s=0,
                    terms=terms,
                    bounds=bounds,
                )
            )
            for name in (*holders, *strangers)
        }
        self.specs = {spec.name: spec for spec in keys}
        self.keys = {spec.name: find_key(spec) for spec in keys}
        self.budgets = dict(budgets)
        self.parcels: list[EntryBatch] = []
        self.dispatches: list[Dispatch] = []
        self._started: list[Dispatch] = []
        self.runs = dict.fromkeys(self.keys, 0)
        self._settled: set[str] = set()
        self.reached: set[str] = set()
        self._signed: dict[str, bytes] = {}
        for name in holders:
            self.give_evidence(name, Reading(sent_s=0, roster=self.store))

    def copy_for(self, action: Action) -> Self:
        """Return a copy in which the parts of an action may change."""
        copied = object.__new__(type(self))
        copied.__dict__.update(self.__dict__)
        copied.sites = dict(self.sites)
        copied._signed = dict(self._signed)
        copied.renew((action.actor, action.other))
        for field in COPIED:
            setattr(copied, field, getattr(self, field).copy())
        return copied

    def renew(self, names: Iterable[str]) -> None:
        """Copy some sites, which are about to change."""
        for name in names:
            site = self.sites.get(name)
            if site:
                self.sites[name] = copy_part(site, {})
                self._signed.pop(name, None)

    def sign(self, signatures: Signatures) -> bytes:
        """Return the signature of the whole state."""
        for name, site in self.sites.items():
            if name not in self._signed:
                self._signed[name] = signatures.sign(site)
        signed = map(self._signed.__getitem__, self.sites)
        rest = [self.now_s, self.store]
        rest.extend(getattr(self, field) for field in SIGNED)
        return b''.join((*signed, signatures.sign(rest)))

    def member(self, name: str) -> KeyMember:
        """Return the member with a name."""
        return self.sites[name].member

    def gate(self, name: str) -> AtMostOnceGate:
        """Return the gate of a member."""
        return self.sites[name].member.gate

    def give_evidence(self, name: str, reading: Reading) -> None:
        """Let a member take a store reading."""
        member = self.member(name)
        member.adopt(reading.roster, now_s=self.now_s)
        member.gate.lease.add_evidence(
            StoreEvidence(version=reading.roster.version, at_s=reading.sent_s)
        )
