"""Faults seeded into the production code; the check must find each one."""

import contextlib
import dataclasses
import math
from collections.abc import Callable, Iterator
from unittest import mock

from fescueknot.idempotency.entries import Entry, EntryState
from fescueknot.idempotency.gate import AtMostOnceGate
from fescueknot.idempotency.handover import Handover
from fescueknot.idempotency.lease import MemberLease, PromiseGranter
from fescueknot.idempotency.ledger import Ledger
from fescueknot.idempotency.losses import LossIndex
from fescueknot.idempotency.messages import Promise, StoreEvidence
from fescueknot.idempotency.ownership import KeyOwnership
from fescueknot.idempotency.received_releases import ReceivedReleases
from fescueknot.idempotency.roster_seal import RosterSeal
from fescueknot.idempotency.run_guard import RunGuard
from fescueknot.idempotency.verdicts import Reason, Refused, refusal
from fescueknot.roster import Electorate
from tests.idempotency.explicit.parts import Reading
from tests.idempotency.explicit.state import WorldState

Patch = Callable[[], contextlib.AbstractContextManager[object]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Mutation:
    """A disabled safeguard and the scenario in which it causes a violation."""

    name: str
    scenario: str
    patch: Patch


def _method(owner: type, name: str, replacement: object) -> Patch:
    return lambda: mock.patch.object(owner, name, replacement)


def _never_expires(lease: MemberLease) -> float:
    return math.inf


def _grant_any(granter: PromiseGranter, request: object) -> Promise:
    return Promise(
        promiser=granter._view.instance,
        requester=request.requester,
        version=request.version,
        sent_s=request.sent_s,
    )


def _admit_late(
    guard: RunGuard, token: object, *, start_by_s: float, now_s: float
) -> bool:
    if token in guard._used:
        return False
    guard._used.add(token)
    return True


def _admit_copies(
    guard: RunGuard, token: object, *, start_by_s: float, now_s: float
) -> bool:
    return now_s < start_by_s


def _cancel_lost(ledger: Ledger, digest: bytes, *, serial: int) -> bool:
    return ledger.cancel(digest, serial=serial)


def _without_wait(seal: RosterSeal) -> float:
    roster = seal._view.roster
    return max(
        seal._adopted_s,
        seal._blocked_s(roster.electorate),
        seal._blocked_s(roster.before),
    )


def _any_release(
    releases: ReceivedReleases, giver: object, joined_version: int
) -> bool:
    return giver in releases._by_giver


def _not_run_without_lease(reason: Reason) -> Refused:
    if reason is Reason.NO_LEASE:
        return refusal(Reason.LEDGER_FULL)
    return refusal(reason)


@contextlib.contextmanager
def _without_freeze() -> Iterator[None]:
    original = AtMostOnceGate._membership_refusal

    def refuse_unless_frozen(
        gate: AtMostOnceGate, key: object, now_s: float
    ) -> object:
        refused = original(gate, key, now_s)
        frozen = refused and refused.reason is Reason.OWNER_CHANGING
        return None if frozen else refused

    with mock.patch.object(
        AtMostOnceGate, '_membership_refusal', refuse_unless_frozen
    ):
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
        scenario='a new key at an outdated owner and at its successor',
        patch=_method(WorldState, 'apply_reading', _dated_at_arrival),
    ),
    Mutation(
        name='no lease check',
        scenario='a new key at an outdated owner and at its successor',
        patch=_method(MemberLease, 'expires_s', _never_expires),
    ),
    Mutation(
        name='no wait for the lease to expire',
        scenario='a new key at an outdated owner and at its successor',
        patch=_method(RosterSeal, '_expired_by_wait_s', _without_wait),
    ),
    Mutation(
        name='not run reported without a lease',
        scenario='a new key at an outdated owner and at its successor',
        patch=lambda: mock.patch(
            'fescueknot.idempotency.gate.refusal', _not_run_without_lease
        ),
    ),
    Mutation(
        name='no expiry on dispatches',
        scenario='a key of a removed owner is sent again',
        patch=_method(RunGuard, 'admit', _admit_late),
    ),
    Mutation(
        name='tokens run more than once',
        scenario='a key of a removed owner is sent again',
        patch=_method(RunGuard, 'admit', _admit_copies),
    ),
    Mutation(
        name='losses ignored',
        scenario='a key of a removed owner is sent again',
        patch=_method(
            LossIndex, 'may_have_run', lambda index, key, *, wall_s: False
        ),
    ),
    Mutation(
        name='a lost answer frees the key',
        scenario='a key of a removed owner is sent again',
        patch=_method(Ledger, 'mark_lost', _cancel_lost),
    ),
    Mutation(
        name='no wait for acknowledgements',
        scenario='an owner without the store runs on promises',
        patch=_method(Electorate, 'blocking_size', 0),
    ),
    Mutation(
        name='promises for any version',
        scenario='an owner without the store runs on promises',
        patch=_method(PromiseGranter, 'grant', _grant_any),
    ),
    Mutation(
        name='no wait for releases',
        scenario='a key moves to a joiner',
        patch=_method(
            ReceivedReleases, 'has_release_from', lambda *arguments: True
        ),
    ),
    Mutation(
        name='keys not frozen for a joiner',
        scenario='a key moves to a joiner',
        patch=_without_freeze,
    ),
    Mutation(
        name='final unknown reported before the expiry',
        scenario='a key of a removed owner is sent again',
        patch=_method(Entry, 'may_still_run', _only_running),
    ),
    Mutation(
        name='releases of an earlier join count',
        scenario='a joiner is withdrawn and joins again',
        patch=_method(ReceivedReleases, 'has_release_from', _any_release),
    ),
    Mutation(
        name='a leaving member hands nothing over',
        scenario='an owner leaves with its ledger handed over',
        patch=_method(Handover, 'leave_batches', _no_batches),
    ),
    Mutation(
        name='a leaving member hands nothing to joiners',
        scenario='an owner leaves while another member joins',
        patch=_method(KeyOwnership, 'possible_owners', _owner_only),
    ),
)
