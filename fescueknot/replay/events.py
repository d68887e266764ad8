"""Events of a trace: what came in from outside the decisions.

A trace holds inputs only: arrivals, what targets do with the work, and faults.
All times are seconds since the start of the trace.
"""

import enum

import msgspec

from fescueknot.calls import Importance


class Header(msgspec.Struct, frozen=True, kw_only=True, tag='header'):
    """How the trace came about; the first line of each trace.

    ``edited`` says what was changed after the recording. ``wall_offset_s`` is
    the wall clock at the start. ``allotment`` is the number of extra attempts
    of each root request.
    """

    name: str
    recorded_by: str
    deployment: str
    seed: int
    edited: str = ''
    wall_offset_s: float = 1_800_000_000
    allotment: int = 3
    end_s: float = 60


class Ending(enum.StrEnum):
    """What a target did with a call that was sent to it.

    ``DROPS``: it did the work, its answer was lost. ``SILENT``: the
    connection was dead, the work not done. ``REFUSES``: it shed the call.
    """

    ANSWERS = 'answers'
    DROPS = 'drops'
    SILENT = 'silent'
    REFUSES = 'refuses'


class Work(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What one service does for a request, and the calls it makes then.

    ``below`` are made one after another once ``service_ms`` have passed. The
    n-th call sent to a target of the service ends as ``endings[n]``, any
    further one like the last.
    """

    service: str
    service_ms: float
    endings: tuple[Ending, ...] = (Ending.ANSWERS,)
    below: tuple['Work', ...] = ()


class Arrival(msgspec.Struct, frozen=True, kw_only=True, tag='arrival'):
    """A request from a caller, entering at the node ``entry``.

    ``work`` is the tree of calls, its root made by the entry.
    A caller without a whole answer sends it again up to ``repeats`` times,
    ``pause_ms`` after each answer, or when the answer tells it to if it
    ``honours_retry_after``. ``body`` is what it asks for; the whole
    answer repeats it.
    """

    at_s: float
    request_id: str
    entry: str
    importance: Importance
    deadline_ms: int
    work: Work
    caller: str = ''
    idempotent: bool = False
    at_most_once: bool = False
    key: str = ''
    body: str = ''
    repeats: int = 0
    pause_ms: float = 50
    honours_retry_after: bool = False

    @property
    def wanted(self) -> str:
        """Return what a whole answer must say."""
        return self.body or self.request_id


class HostUp(msgspec.Struct, frozen=True, kw_only=True, tag='host'):
    """A host serves from now on.

    Its target works on ``slots`` requests, lets ``queue_limit`` wait, and
    sheds the rest.
    """

    at_s: float
    name: str
    service: str
    region: str
    failure_domain: str
    slots: int
    queue_limit: int = 64
    incarnation: int = 1


class HostPaused(msgspec.Struct, frozen=True, kw_only=True, tag='paused'):
    """A host does nothing until ``until_s``."""

    at_s: float
    name: str
    until_s: float


class HostLost(msgspec.Struct, frozen=True, kw_only=True, tag='lost'):
    """A host is gone without a word."""

    at_s: float
    name: str


class HostSuspected(msgspec.Struct, frozen=True, kw_only=True, tag='suspected'):
    """The node ``by`` takes over the keys of a host that seems lost."""

    at_s: float
    name: str
    by: str


class HostDrained(msgspec.Struct, frozen=True, kw_only=True, tag='drained'):
    """An operator drains a host; others hear of it at ``heard_s``."""

    at_s: float
    name: str
    heard_s: float


class StoreDown(msgspec.Struct, frozen=True, kw_only=True, tag='store-down'):
    """The store answers nothing until ``until_s``.

    With ``takes_writes`` the writes take effect and their answers are lost.
    """

    at_s: float
    until_s: float
    takes_writes: bool = False


class RulesApplied(msgspec.Struct, frozen=True, kw_only=True, tag='apply'):
    """An operator applies a text that was edited from a base version."""

    at_s: float
    author: str
    base_version: int
    text: str
    change_id: str


class RulesSeen(msgspec.Struct, frozen=True, kw_only=True, tag='rules'):
    """A node gets the version from the store or from a peer.

    It may be an old one, as a lagging peer or a stale store sends it.
    """

    at_s: float
    name: str
    version: int
    snapshot: bool = False


Event = (
    Arrival
    | HostUp
    | HostPaused
    | HostLost
    | HostSuspected
    | HostDrained
    | StoreDown
    | RulesApplied
    | RulesSeen
)


class Trace(msgspec.Struct, frozen=True, kw_only=True):
    """A whole trace, its events in the order of time."""

    header: Header
    events: tuple[Event, ...]
