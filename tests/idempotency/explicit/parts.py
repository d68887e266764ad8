"""Elements of the model: actions, keys, messages and hosts."""

import functools

import msgspec

from fescueknot.idempotency.keys import OperationKey, operation_key
from fescueknot.idempotency.leave_procedure import LeaveProcedure
from fescueknot.idempotency.member import KeyMember
from fescueknot.idempotency.messages import PromiseRequest
from fescueknot.idempotency.ownership import RendezvousHash
from fescueknot.idempotency.run_guard import RunGuard
from fescueknot.idempotency.steps import WriteRoster
from fescueknot.idempotency.verdicts import RunToken
from fescueknot.identity import InstanceId
from fescueknot.roster import Roster

FINGERPRINT = b'print'
_MAX_ATTEMPTS = 10_000


class Violation(AssertionError):
    """A guarantee of ``docs/design/at-most-once.md`` was broken."""


class Action(msgspec.Struct, frozen=True, kw_only=True):
    """One step: its kind, the member that takes it, and a peer or key."""

    kind: str
    actor: str = ''
    other: str = ''

    def __str__(self) -> str:
        return _label(self)


@functools.cache
def _label(action: Action) -> str:
    parts = (action.kind, action.actor, action.other)
    return ' '.join(filter(None, parts))


class KeySpec(msgspec.Struct, frozen=True, kw_only=True):
    """A key: when it was made and sent first, and its owners.

    ``owners`` are pairs of holders and the owner of the key among them.
    """

    name: str
    made_at_s: float | None = None
    usable_from_s: float = 0
    owners: tuple[tuple[str, str], ...] = ()


class Dispatch(msgspec.Struct, frozen=True, kw_only=True):
    """A dispatch in flight; one reported as not run must never start."""

    key: str
    token: RunToken
    start_by_s: float
    reported_not_run: bool = False


class Reading(msgspec.Struct, frozen=True, kw_only=True):
    """A store reading in flight to a member."""

    sent_s: float
    roster: Roster


def instance(name: str) -> InstanceId:
    return InstanceId(name=name, incarnation=1)


SIGNED = (
    'budgets',
    'batches_in_flight',
    'dispatches',
    '_started',
    'runs',
    '_final_keys',
)
COPIED = (*SIGNED, 'reached')


def find_key(spec: KeySpec) -> OperationKey:
    """Return a key that has the given owner among each set of holders."""
    for attempt in range(_MAX_ATTEMPTS):
        made = operation_key(
            service='s', caller=spec.name, text=f'{spec.name}-{attempt}'
        )
        if all(_owned(made, *placement) for placement in spec.owners):
            return OperationKey(
                digest=made.digest, made_at_wall_s=spec.made_at_s
            )
    raise LookupError(spec)


def _owned(key: OperationKey, names: str, owner: str) -> bool:
    former_owners = RendezvousHash(instances=tuple(map(instance, names)))
    return former_owners.owner(key.number) == instance(owner)


class ModelHost:
    """One member, its run guard, and its messages in flight."""

    def __init__(self, *, member: KeyMember) -> None:
        self.member = member
        self.guard = RunGuard()
        self.leaving: LeaveProcedure | None = None
        self.reading: Reading | None = None
        self.write: WriteRoster | None = None
        self.requests: dict[str, PromiseRequest] = {}
