"""Types that describe one call, shared by all packages.

A root request enters the layer once. Every call made on its behalf carries a
:class:`CallContext` from hop to hop.
"""

import enum

import msgspec


class Importance(enum.IntEnum):
    """Importance class of a request; lower numbers are shed later."""

    CRITICAL = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3


class Outcome(enum.StrEnum):
    """Whether a request that got no answer has run."""

    NOT_RUN = 'not run'
    RUN = 'run'
    UNKNOWN = 'unknown'


class CallPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Policy that the rules set for a call.

    ``idempotent`` allows a retry of a call that may have run.
    ``at_most_once`` requires an idempotency key and the use of the ledger.
    ``rule`` is the rule that set the policy, ``requested_by`` the rule's
    comment, which says who requested the rule.
    """

    importance: Importance = Importance.LOW
    idempotent: bool = False
    at_most_once: bool = False
    deadline_ms: int = 10_000
    rule: str = 'default'
    requested_by: str = 'nobody'


class CallContext(msgspec.Struct, frozen=True, kw_only=True):
    """Context sent with a call from node to node.

    ``root_id`` is the trace id of the root request (32 hexadecimal digits),
    ``depth`` the number of hops from the root request, ``retry_allotment`` the
    extra attempts that this call and all its downstream calls may still
    spend, ``remaining_ms`` the time left until the deadline when the context
    was written.
    """

    root_id: str
    caller: str
    importance: Importance
    depth: int = 0
    retry_allotment: int = 0
    remaining_ms: int = 10_000
