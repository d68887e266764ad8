"""What callers saw, counted by class and second."""

import collections
import enum
import threading

import msgspec


class Ending(enum.StrEnum):
    """How one request ended for its caller."""

    GOOD = 'good'
    NOT_RUN = 'not_run'
    RUN = 'run'
    UNKNOWN = 'unknown'
    BAD_ANSWER = 'bad_answer'
    MISMATCHED = 'mismatched'


class Finished(msgspec.Struct, frozen=True, kw_only=True):
    """One request that ended; ``sent_s`` counts from the start of the run."""

    label: str
    request_id: str
    sent_s: float
    latency_ms: float
    attempts: int
    ending: Ending
    keyed: bool = False

    @property
    def good(self) -> bool:
        """Return whether a whole answer came in time."""
        return self.ending is Ending.GOOD


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of one class over some time."""

    label: str
    offered: int
    endings: dict[str, int]
    attempts: int
    p50_ms: float
    p99_ms: float


class Tally:
    """Collects finished requests; safe for use by several threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._finished: list[Finished] = []

    def add(self, finished: Finished) -> None:
        """Take in one request."""
        with self._lock:
            self._finished.append(finished)

    def all(self) -> tuple[Finished, ...]:
        """Return all requests so far."""
        with self._lock:
            return tuple(self._finished)


def rows(finished: tuple[Finished, ...]) -> tuple[Row, ...]:
    """Return one row for each class."""
    by_label: dict[str, list[Finished]] = collections.defaultdict(list)
    for one in finished:
        by_label[one.label].append(one)
    return tuple(_row(label, by_label[label]) for label in sorted(by_label))


def _row(label: str, finished: list[Finished]) -> Row:
    good = [one for one in finished if one.good]
    good_ms = sorted(one.latency_ms for one in good)
    endings = collections.Counter(one.ending.value for one in finished)
    return Row(
        label=label,
        offered=len(finished),
        endings=dict(endings),
        attempts=sum(one.attempts for one in finished),
        p50_ms=_quantile(good_ms, 0.5),
        p99_ms=_quantile(good_ms, 0.99),
    )


def _quantile(ordered: list[float], quantile: float) -> float:
    if not ordered:
        return 0
    last = len(ordered) - 1
    index = int(len(ordered) * quantile)
    return round(ordered[min(last, index)], 3)
