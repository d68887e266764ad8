"""What an at-most-once key costs: bytes for each entry, time per decision.

A gate with a lone member begins and finishes keys until its ledger has the
wanted number of entries; then it decides on new keys and on repeats.
"""

import itertools
import sys
import time
import tracemalloc
from collections.abc import Callable, Sequence

import msgspec

from fescueknot.bench.percentiles import percentile
from fescueknot.idempotency.entries import StoredAnswer
from fescueknot.idempotency.entry_table import LedgerBounds
from fescueknot.idempotency.gate import AtMostOnceGate
from fescueknot.idempotency.keys import OperationKey, operation_key
from fescueknot.idempotency.messages import StoreEvidence
from fescueknot.idempotency.roster_changes import create_roster
from fescueknot.idempotency.verdicts import Repeat, Run
from fescueknot.identity import InstanceId

_SIZES = (1_000, 10_000, 50_000)
_ROUNDS = 2_000
_ANSWER_BYTES = 300
_NS_PER_US = 1_000
_WALL_S = 1_800_000_000.0
_ALONE = InstanceId(name='ledger-1', incarnation=1)
_PRINT = bytes(12)


class LedgerFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Costs at one size; answers carry ``answer_bytes`` of body."""

    entries: int
    answer_bytes: int
    bytes_per_entry: float
    counted_bytes_per_entry: float
    new_p50_us: float
    new_p99_us: float
    repeat_p50_us: float
    repeat_p99_us: float


class Filling:
    """A gate that runs one key after another."""

    def __init__(self, *, entries: int) -> None:
        self.gate = AtMostOnceGate(
            instance=_ALONE,
            roster=create_roster(service='ledger', instance=_ALONE),
            bounds=LedgerBounds(
                entries=entries + _ROUNDS,
                total_bytes=sys.maxsize,
            ),
        )
        self.gate.lease.add_evidence(StoreEvidence(version=1, at_s=0))
        self._numbers = itertools.count()

    def run_new(self) -> None:
        """Begin a new key and finish it."""
        verdict = self._decide(next(self._numbers))
        if not isinstance(verdict, Run):
            raise TypeError(f'a new key got {verdict}')
        body = bytes(_ANSWER_BYTES)
        self.gate.finished(
            verdict.token,
            StoredAnswer(status=201, body=body),
        )

    def repeat_first(self) -> None:
        """Ask for the answer of the first key again."""
        verdict = self._decide(0)
        if not isinstance(verdict, Repeat):
            raise TypeError(f'a finished key got {verdict}')

    def _decide(self, number: int) -> object:
        return self.gate.decide(
            _key(number),
            fingerprint=_PRINT,
            now_s=1,
            wall_s=_WALL_S,
        )


def _key(number: int) -> OperationKey:
    return operation_key(
        service='ledger',
        caller='tampere',
        text=f'posting-{number}',
    )


def measure(entries: int, rounds: int = _ROUNDS) -> LedgerFigures:
    """Return the costs with ``entries`` in the ledger."""
    kept_bytes = _kept_bytes(entries)
    filling = _filled(entries)
    counted_bytes = filling.gate.ledger.used_bytes
    new_us = _sorted_us(filling.run_new, rounds)
    repeat_us = _sorted_us(filling.repeat_first, rounds)
    return LedgerFigures(
        entries=entries,
        answer_bytes=_ANSWER_BYTES,
        bytes_per_entry=kept_bytes / entries,
        counted_bytes_per_entry=counted_bytes / entries,
        new_p50_us=percentile(new_us, 50),
        new_p99_us=percentile(new_us, 99),
        repeat_p50_us=percentile(repeat_us, 50),
        repeat_p99_us=percentile(repeat_us, 99),
    )


def _filled(entries: int) -> Filling:
    filling = Filling(entries=entries)
    for _ in range(entries):
        filling.run_new()
    return filling


def _kept_bytes(entries: int) -> int:
    tracemalloc.start()
    filling = _filled(entries)
    kept_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return kept_bytes if filling else 0


def _sorted_us(operation: Callable[[], None], rounds: int) -> list[float]:
    spent_us = []
    for _ in range(rounds):
        begun_ns = time.perf_counter_ns()
        operation()
        spent_ns = time.perf_counter_ns() - begun_ns
        spent_us.append(spent_ns / _NS_PER_US)
    return sorted(spent_us)


def main(arguments: Sequence[str]) -> int:
    """Print the figures as JSON, one line a size, and return 0.

    The arguments are the sizes in entries.
    """
    for entries in map(int, arguments or _SIZES):
        figures = msgspec.json.encode(measure(entries))
        sys.stdout.write(f'{figures.decode()}\n')
    return 0
