"""The gate: one decision per request with a key.

One task owns a gate; a decision, the adoption of a roster and the handover of
entries never overlap. ``now_s`` must be read after the request arrived.
"""

import types

from fescueknot.idempotency.entries import Entry, EntryState, StoredAnswer
from fescueknot.idempotency.entry_table import LedgerBounds
from fescueknot.idempotency.errors import LedgerFullError
from fescueknot.idempotency.keys import OperationKey
from fescueknot.idempotency.lease import LeaseKeeper, PromiseGiver
from fescueknot.idempotency.ledger import Ledger
from fescueknot.idempotency.losses import losses_of
from fescueknot.idempotency.roster_view import RosterView
from fescueknot.idempotency.terms import Terms
from fescueknot.idempotency.verdicts import (
    Forward,
    Reason,
    Refused,
    Repeat,
    Run,
    RunToken,
    Verdict,
    refusal,
)
from fescueknot.identity import InstanceId
from fescueknot.roster import MemberState, Roster

_FINAL_REASONS = types.MappingProxyType(
    {
        EntryState.LOST: Reason.ANSWER_LOST,
        EntryState.TOO_LARGE: Reason.ANSWER_TOO_LARGE,
    }
)


class AtMostOnceGate:
    """Decides who runs a key, and whether it may run here and now."""

    def __init__(
        self,
        *,
        instance: InstanceId,
        roster: Roster,
        terms: Terms | None = None,
        bounds: LedgerBounds | None = None,
    ) -> None:
        self.terms = terms or Terms()
        self.view = RosterView(instance=instance, roster=roster)
        self.lease = LeaseKeeper(view=self.view, terms=self.terms)
        self.promises = PromiseGiver(view=self.view)
        self.ledger = Ledger(
            bounds=bounds or LedgerBounds(),
            memory_s=self.terms.memory_s,
        )
        self._losses = losses_of(roster, self.terms)
        self._leaving = False

    def adopt(self, roster: Roster) -> bool:
        """Take a newer roster; return whether it was newer."""
        newer = self.view.adopt(roster)
        if newer:
            self.lease.forget_promises()
            self._losses = losses_of(roster, self.terms)
        return newer

    def stop(self) -> None:
        """Begin no more keys and promise nothing, ahead of a planned leave."""
        self._leaving = True
        self.promises.stop()

    def decide(
        self,
        key: OperationKey,
        *,
        fingerprint: bytes,
        now_s: float,
        wall_s: float,
        start_by_s: float | None = None,
    ) -> Verdict:
        """Return what to do with a request; ``Run`` enters the key.

        ``start_by_s`` is the request's own deadline, if it has one.
        """
        owner = self.view.ownership.owner(key.number)
        entry = self.ledger.find(key.digest)
        if entry and self._may_tell(entry, owner):
            return _recall(entry, fingerprint, now_s)
        if owner is None:
            return refusal(Reason.NO_OWNER)
        if self.view.roster.state_of(owner) is MemberState.SUSPENDED:
            return refusal(Reason.OWNER_SUSPENDED)
        if owner != self.view.instance:
            return Forward(owner=owner)
        refused = self._unable(key, now_s) or self._judge(key, wall_s)
        if refused:
            return refused
        return self._begin(key, fingerprint, now_s, start_by_s)

    def finished(self, token: RunToken, answer: StoredAnswer) -> bool:
        """Keep the answer of a run, also when it comes late."""
        return self.ledger.finish(
            token.digest, serial=token.serial, answer=answer
        )

    def not_run(self, token: RunToken) -> bool:
        """Free a key whose dispatch certainly did not run."""
        return self.ledger.free(token.digest, serial=token.serial)

    def answer_lost(self, token: RunToken) -> bool:
        """Note that nobody knows whether a dispatch has run."""
        return self.ledger.lose(token.digest, serial=token.serial)

    def _may_tell(self, entry: Entry, owner: InstanceId | None) -> bool:
        """Return whether to answer from the entry: only facts last."""
        return entry.state is EntryState.DONE or owner == self.view.instance

    def _unable(self, key: OperationKey, now_s: float) -> Refused | None:
        if self._leaving:
            return refusal(Reason.OWNER_LEAVING)
        if self.view.ownership.takers(key.number):
            return refusal(Reason.OWNER_CHANGING)
        if now_s >= self.lease.expires_s():
            return refusal(Reason.NO_LEASE)
        return None

    def _judge(self, key: OperationKey, wall_s: float) -> Refused | None:
        made_s = key.made_at_wall_s
        if made_s is not None and made_s < wall_s - self.terms.retention_s:
            return refusal(Reason.KEY_TOO_OLD)
        if self._losses.may_have_run(key, wall_s=wall_s):
            return refusal(Reason.OWNER_LOST)
        if made_s is not None and made_s > wall_s + self.terms.key_skew_s:
            return refusal(Reason.KEY_AHEAD)
        return None

    def _begin(
        self,
        key: OperationKey,
        fingerprint: bytes,
        now_s: float,
        start_by_s: float | None,
    ) -> Verdict:
        until_s = self.lease.expires_s()
        if start_by_s is not None:
            until_s = min(until_s, start_by_s)
        try:
            entry = self.ledger.begin(
                key.digest,
                fingerprint=fingerprint,
                now_s=now_s,
                start_by_s=until_s,
            )
        except LedgerFullError:
            return refusal(Reason.LEDGER_FULL)
        token = RunToken(
            owner=self.view.instance,
            digest=key.digest,
            serial=entry.serial,
        )
        return Run(token=token, start_by_s=until_s)


def _recall(entry: Entry, fingerprint: bytes, now_s: float) -> Verdict:
    """Return what the ledger knows of a key that was begun."""
    if entry.fingerprint != fingerprint:
        return refusal(Reason.KEY_REUSED)
    if entry.state is EntryState.DONE:
        return Repeat(answer=entry.answer())
    if entry.may_start(now_s=now_s):
        return refusal(Reason.STILL_RUNNING)
    return refusal(_FINAL_REASONS[entry.state])
