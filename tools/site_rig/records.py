"""What callers, targets and the operator of a run have seen.

All times are of the machine's steady clock, which its processes share.
"""

import enum
import pathlib
from collections.abc import Iterable, Iterator

import msgspec


class Outcome(enum.StrEnum):
    """How a request ended for its caller."""

    ANSWERED = 'answered'
    # The connection ended without a complete answer.
    ENDED = 'ended'
    # The caller closed the connection.
    GAVE_UP = 'gave up'
    # There was no connection.
    REFUSED = 'refused'


class RunEnd(enum.StrEnum):
    """How a run ended at its target."""

    ANSWERED = 'answered'
    REJECTED = 'rejected'
    # The connection of the request ended first.
    CUT = 'cut'
    # The target itself closed the connection.
    BROKE_OFF = 'broke off'
    # The target has run it and never answers.
    SILENT = 'silent'


class SignalKind(enum.StrEnum):
    """What the operator did to a node."""

    TERM = 'SIGTERM'
    HUP = 'SIGHUP'
    CONFIGURATION = 'configuration'
    KILL = 'SIGKILL'
    START = 'start'
    END = 'end'
    # It had ended by itself.
    REVIVAL = 'revival'
    # A process that used more memory than it has was killed: an own end.
    OVER_MEMORY = 'over memory'
    # Trouble of targets or clients; it excuses nothing.
    TROUBLE = 'trouble'


class RequestRecord(
    msgspec.Struct, frozen=True, kw_only=True, tag='request', omit_defaults=True
):
    """One request; ``time_left_s`` is its deadline or its time limit.

    Its last byte left between ``began_s`` and ``sent_s``.
    """

    attempt: str
    host: str
    began_s: float
    sent_s: float
    ended_s: float
    outcome: Outcome
    time_left_s: float
    status: int = 0
    is_signed: bool = False
    # It was sent behind another on its connection.
    is_behind: bool = False
    # Its connection had been used before.
    is_kept: bool = False
    # The connection ended with a reset.
    is_reset: bool = False
    # The longest time that the caller's loop stood still meanwhile.
    lag_s: float = 0
    # How its client used the connection, '' for the usual manner.
    manner: str = ''

    @property
    def lasted_s(self) -> float:
        """Return the time from the last byte to the end."""
        return self.ended_s - self.sent_s


class RunRecord(
    msgspec.Struct, frozen=True, kw_only=True, tag='run', omit_defaults=True
):
    """One arrival at a target; ``began_s`` is 0 if it has not run."""

    attempt: str
    target: str
    arrived_s: float
    ended_s: float
    end: RunEnd
    began_s: float = 0
    status: int = 0


class MemoryRecord(msgspec.Struct, frozen=True, kw_only=True, tag='memory'):
    """The peak of a node's process, and its open descriptors then."""

    host: str
    pid: int
    peak_mb: float
    descriptors: int


class LagRecord(msgspec.Struct, frozen=True, kw_only=True, tag='lag'):
    """A moment up to which a loop stood still."""

    at_s: float
    lag_s: float


class SignalRecord(msgspec.Struct, frozen=True, kw_only=True, tag='signal'):
    """A signal, start or end of a host's node; ``host`` '' means all."""

    host: str
    kind: SignalKind
    at_s: float
    detail: str = ''


class TroubleRecord(
    msgspec.Struct, frozen=True, kw_only=True, tag='trouble', omit_defaults=True
):
    """An unplanned disruption of a machine, or of its target alone.

    One that leaves the machine in touch excuses something beside planned work
    only.
    """

    host: str
    kind: str
    from_s: float
    until_s: float
    is_of_target: bool = False
    is_in_touch: bool = False


Record = (
    RequestRecord
    | RunRecord
    | MemoryRecord
    | LagRecord
    | SignalRecord
    | TroubleRecord
)


class RecordFile:
    """A file with one record a line."""

    def __init__(self, *, path: pathlib.Path) -> None:
        self._file = path.open('wb')
        self._encoder = msgspec.json.Encoder()

    def add(self, record: Record) -> None:
        """Write a record."""
        self._file.write(self._encoder.encode(record))
        self._file.write(b'\n')

    def close(self) -> None:
        """Write what is buffered."""
        self._file.close()


def read_records(path: pathlib.Path) -> Iterator[Record]:
    """Yield the records of a file; requests with the lags of its loop."""
    decoder = msgspec.json.Decoder(Record)
    lines = path.read_bytes().splitlines()
    records = [decoder.decode(line) for line in lines]
    lags = [record for record in records if isinstance(record, LagRecord)]
    for record in records:
        if isinstance(record, RequestRecord) and not record.is_signed:
            lag_s = _lag_during(lags, record)
            record = msgspec.structs.replace(record, lag_s=lag_s)
        yield record


def _lag_during(lags: Iterable[LagRecord], request: RequestRecord) -> float:
    return max(
        (
            lag.lag_s
            for lag in lags
            if lag.at_s >= request.began_s
            and lag.at_s - lag.lag_s <= request.ended_s
        ),
        default=0,
    )
