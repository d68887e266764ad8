"""Parts of the explicit world: actions, keys, messages and sites."""

import functools

import msgspec

from fescueknot.idempotency.keys import OperationKey, operation_key
from fescueknot.idempotency.leave_procedure import LeaveProcedure
from fescueknot.idempotency.member import KeyMember
from fescueknot.idempotency.messages import PromiseRequest
from fescueknot.idempotency.ownership import HashRing
from fescueknot.idempotency.run_guard import RunGuard
from fescueknot.idempotency.steps import WriteRoster
from fescueknot.idempotency.verdicts import RunToken
from fescueknot.identity import InstanceId
from fescueknot.roster import Roster

PRINT = b'print'
_TRIES = 10_000


class Violation(AssertionError):
    """A promise of the design note was broken."""


class Action(msgspec.Struct, frozen=True, kw_only=True):
    """One step: its kind and the parts that take part."""

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
    """A key: when it was made, and its owner among the given names."""

    name: str
    made_at_s: float | None = None
    presentable_from_s: float = 0
    owners: tuple[tuple[str, str], ...] = ()


class Dispatch(msgspec.Struct, frozen=True, kw_only=True):
    """A dispatch on its way; ``denied`` once its key was said not run."""

    key: str
    token: RunToken
    start_by_s: float
    denied: bool = False


class Reading(msgspec.Struct, frozen=True, kw_only=True):
    """A store reading on its way to a member."""

    sent_s: float
    roster: Roster


def instance(name: str) -> InstanceId:
    return InstanceId(name=name, incarnation=1)


SIGNED = (
    'budgets',
    'parcels',
    'dispatches',
    '_started',
    'runs',
    '_settled',
)
COPIED = (*SIGNED, 'reached')


def find_key(spec: KeySpec) -> OperationKey:
    """Return a key that each group of members gives to the wanted owner."""
    for attempt in range(_TRIES):
        made = operation_key(
            service='s', caller=spec.name, text=f'{spec.name}-{attempt}'
        )
        if all(_owned(made, *wish) for wish in spec.owners):
            return OperationKey(
                digest=made.digest, made_at_wall_s=spec.made_at_s
            )
    raise LookupError(spec)


def _owned(key: OperationKey, names: str, owner: str) -> bool:
    ring = HashRing(instances=tuple(map(instance, names)))
    return ring.owner(key.number) == instance(owner)


class Site:
    """One member with what is on its way to and from it."""

    def __init__(self, *, member: KeyMember) -> None:
        self.member = member
        self.guard = RunGuard()
        self.leaving: LeaveProcedure | None = None
        self.reading: Reading | None = None
        self.write: WriteRoster | None = None
        self.requests: dict[str, PromiseRequest] = {}
