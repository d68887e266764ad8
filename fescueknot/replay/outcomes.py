"""What a replay saw: per request and per run."""

import enum

import msgspec

from fescueknot.calls import Importance, Outcome


class Promise(enum.StrEnum):
    """The eight promises, as they are named in the expectations."""

    RETRIES_BOUNDED = 'retries bounded'
    SHED_LAST = 'important shed last'
    OWN_ANSWER = 'own whole answer'
    NOT_RUN_TRUE = 'not run is true'
    AT_MOST_ONCE = 'at most once'
    LEAVING_GETS_NOTHING = 'leaving gets nothing new'
    STOP_CUTS_NOTHING = 'planned stop cuts nothing'
    RULES_NEVER_REVERT = 'rules in force and never revert'


class RequestOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """What became of one request.

    ``calls`` counts each call of its tree once, ``attempts`` all sendings
    between nodes; ``runs`` counts how often the first service did the work.
    """

    request_id: str
    service: str
    key: str
    importance: Importance
    at_s: float
    ended_s: float
    good: bool
    verdict: str
    text: str
    outcome: Outcome
    answer: str
    wanted: str
    sendings: int
    calls: int
    attempts: int
    runs: int


class Broken(msgspec.Struct, frozen=True, kw_only=True):
    """One breach of a promise."""

    promise: Promise
    detail: str


class ClassOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one importance class."""

    offered: int
    good: int

    @property
    def good_percent(self) -> float:
        """Return the share of whole answers."""
        return 100 * self.good / self.offered if self.offered else 100


class ApplyOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """What an operator was told about a change; version 0 if refused."""

    change_id: str
    verdict: str
    version: int = 0


class RunOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """What became of the whole trace."""

    requests: tuple[RequestOutcome, ...]
    classes: dict[str, ClassOutcome]
    applies: tuple[ApplyOutcome, ...]
    broken: tuple[Broken, ...]
