"""Faults seeded into the real code, each of which the check must find."""

import contextlib
import dataclasses
import math
from collections.abc import Callable, Iterator
from unittest import mock

from fescueknot.idempotency.entries import Entry, EntryState
from fescueknot.idempotency.gate import AtMostOnceGate
from fescueknot.idempotency.handover import Handover
from fescueknot.idempotency.lease import LeaseKeeper, PromiseGiver
from fescueknot.idempotency.ledger import Ledger
from fescueknot.idempotency.losses import LossBook
from fescueknot.idempotency.messages import Promise, StoreEvidence
from fescueknot.idempotency.ownership import KeyOwnership
from fescueknot.idempotency.received_releases import Receptions
from fescueknot.idempotency.roster_seal import RosterSeal
from fescueknot.idempotency.run_guard import RunGuard
from fescueknot.idempotency.verdicts import Reason, Refused, refusal
from fescueknot.roster import Electorate
from tests.idempotency.explicit.parts import Reading
from tests.idempotency.explicit.state import WorldState

Patch = Callable[[], contextlib.AbstractContextManager[object]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Mutation:
    """A fence taken out, and the scenario that must turn red."""

    name: str
    scenario: str
    patch: Patch


def _method(owner: type, name: str, replacement: object) -> Patch:
    return lambda: mock.patch.object(owner, name, replacement)


def _never_lapses(keeper: LeaseKeeper) -> float:
    return math.inf


def _grant_any(giver: PromiseGiver, request: object) -> Promise:
    return Promise(
        promiser=giver._view.instance,
        requester=request.requester,
        version=request.version,
        sent_s=request.sent_s,
    )


def _admit_late(
    guard: RunGuard, token: object, *, start_by_s: float, now_s: float
) -> bool:
    if token in guard._spent:
        return False
    guard._spent.add(token)
    return True


def _admit_copies(
    guard: RunGuard, token: object, *, start_by_s: float, now_s: float
) -> bool:
    return now_s < start_by_s


def _free_lost(ledger: Ledger, digest: bytes, *, serial: int) -> bool:
    return ledger.free(digest, serial=serial)


def _without_wait(seal: RosterSeal) -> float:
    roster = seal._view.roster
    return max(
        seal._known_s,
        seal._blocked_s(roster.electorate),
        seal._blocked_s(roster.before),
    )


def _any_release(
    receptions: Receptions, giver: object, joined_version: int
) -> bool:
    return giver in receptions._by_giver


def _not_run_without_lease(reason: Reason) -> Refused:
    if reason is Reason.NO_LEASE:
        return refusal(Reason.LEDGER_FULL)
    return refusal(reason)


@contextlib.contextmanager
def _no_freeze() -> Iterator[None]:
    able = AtMostOnceGate._unable

    def unable(gate: AtMostOnceGate, key: object, now_s: float) -> object:
        refused = able(gate, key, now_s)
        frozen = refused and refused.reason is Reason.OWNER_CHANGING
        return None if frozen else refused

    with mock.patch.object(AtMostOnceGate, '_unable', unable):
        yield


def _owner_only(ownership: KeyOwnership, key_number: int) -> tuple:
    return (ownership.owner(key_number),)


def _no_batches(handover: Handover, *, now_s: float) -> tuple:
    return ()


def _only_running(entry: Entry, *, now_s: float) -> bool:
    return entry.state is EntryState.RUNNING


def _dated_at_arrival(world: WorldState, name: str, reading: Reading) -> None:
    world.member(name).adopt(reading.roster, now_s=world.now_s)
    world.gate(name).lease.add_evidence(
        StoreEvidence(version=reading.roster.version, at_s=world.now_s)
    )


MUTATIONS = (
    Mutation(
        name='store evidence dated at its arrival',
        scenario='a stale owner and its successor get a fresh key',
        patch=_method(WorldState, 'give_evidence', _dated_at_arrival),
    ),
    Mutation(
        name='no lease check',
        scenario='a stale owner and its successor get a fresh key',
        patch=_method(LeaseKeeper, 'expires_s', _never_lapses),
    ),
    Mutation(
        name='no wait for the lease to lapse',
        scenario='a stale owner and its successor get a fresh key',
        patch=_method(RosterSeal, '_lapsed_s', _without_wait),
    ),
    Mutation(
        name='not run said without a lease',
        scenario='a stale owner and its successor get a fresh key',
        patch=lambda: mock.patch(
            'fescueknot.idempotency.gate.refusal', _not_run_without_lease
        ),
    ),
    Mutation(
        name='no expiry on dispatches',
        scenario='a key of a lost owner comes again',
        patch=_method(RunGuard, 'admit', _admit_late),
    ),
    Mutation(
        name='tokens run more than once',
        scenario='a key of a lost owner comes again',
        patch=_method(RunGuard, 'admit', _admit_copies),
    ),
    Mutation(
        name='losses ignored',
        scenario='a key of a lost owner comes again',
        patch=_method(
            LossBook, 'may_have_run', lambda book, key, *, wall_s: False
        ),
    ),
    Mutation(
        name='a lost answer frees the key',
        scenario='a key of a lost owner comes again',
        patch=_method(Ledger, 'lose', _free_lost),
    ),
    Mutation(
        name='no acknowledgements waited for',
        scenario='an owner cut off from the store runs on promises',
        patch=_method(Electorate, 'blocking', 0),
    ),
    Mutation(
        name='promises for any version',
        scenario='an owner cut off from the store runs on promises',
        patch=_method(PromiseGiver, 'grant', _grant_any),
    ),
    Mutation(
        name='no release waited for',
        scenario='a key moves to a joiner',
        patch=_method(Receptions, 'released_by', lambda *arguments: True),
    ),
    Mutation(
        name='keys not frozen for a joiner',
        scenario='a key moves to a joiner',
        patch=_no_freeze,
    ),
    Mutation(
        name='final unknown said before the expiry',
        scenario='a key of a lost owner comes again',
        patch=_method(Entry, 'may_start', _only_running),
    ),
    Mutation(
        name='releases of an earlier joining count',
        scenario='a joiner is withdrawn and joins again',
        patch=_method(Receptions, 'released_by', _any_release),
    ),
    Mutation(
        name='a leaver hands nothing over',
        scenario='an owner leaves with its ledger handed over',
        patch=_method(Handover, 'bequest', _no_batches),
    ),
    Mutation(
        name='a leaver forgets joiners',
        scenario='an owner leaves while another member joins',
        patch=_method(KeyOwnership, 'heirs', _owner_only),
    ),
)
