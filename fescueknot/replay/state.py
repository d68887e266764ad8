"""State of one request and its end, as they pass through a replay."""

import collections

import msgspec

from fescueknot.admission.messages import AdmissionLevel
from fescueknot.calls import CallPolicy, Outcome
from fescueknot.identity import InstanceId
from fescueknot.node.verdicts import VerdictKind
from fescueknot.replay.events import Arrival, Ending, Work

_MS_PER_S = 1000


class CallEnd(msgspec.Struct, frozen=True, kw_only=True):
    """The end of a call as its calling node sees it.

    ``answer`` is empty unless a target has answered in whole.
    """

    kind: VerdictKind
    outcome: Outcome
    text: str = ''
    answer: str = ''
    unspent: int = 0
    retry_after_s: float = 0
    level: AdmissionLevel | None = None
    owner: InstanceId | None = None


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """One begin of work at a target."""

    at_s: float
    received_s: float
    host: str
    request_id: str
    key: str
    service: str


class RequestState:
    """What one request has used so far, over all its sendings."""

    def __init__(self, *, arrival: Arrival) -> None:
        self.arrival = arrival
        self.policy = CallPolicy(
            importance=arrival.importance,
            idempotent=arrival.idempotent,
            at_most_once=arrival.at_most_once,
            deadline_ms=arrival.deadline_ms,
        )
        self.sendings = 0
        self.calls = 0
        self.attempts = 0
        self.runs = 0
        self._endings: collections.Counter[str] = collections.Counter()

    @property
    def deadline_length_s(self) -> float:
        """Return the seconds that a sending may take."""
        return self.arrival.deadline_ms / _MS_PER_S

    def next_ending(self, work: Work) -> Ending:
        """Return how the next call to a target of a service ends."""
        sent = self._endings[work.service]
        self._endings[work.service] += 1
        return work.endings[min(sent, len(work.endings) - 1)]


class Sending:
    """One sending of a request by its caller.

    ``told`` is the outcome that the caller was told, ``key_runs_when_told``
    how often the key had been run by then. ``runs`` go on counting.
    """

    def __init__(self, *, state: RequestState, deadline_s: float) -> None:
        self.state = state
        self.deadline_s = deadline_s
        self.root_id = f'{state.arrival.request_id}/{state.sendings}'
        self.calls = 0
        self.attempts = 0
        self.runs = 0
        self.told: Outcome | None = None
        self.key_runs_when_told = 0

    @property
    def arrival(self) -> Arrival:
        """Return what came in."""
        return self.state.arrival
