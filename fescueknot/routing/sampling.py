"""Choice of one target among those of a tier."""

import abc
import random
from collections.abc import Sequence

from fescueknot.routing.record import TargetRecord

# A target that fails all of its calls is that much slower.
_FAULT_FACTOR = 2


class Sampling(abc.ABC):
    """Chooses a target of a tier."""

    @abc.abstractmethod
    def choose(
        self, usable: list[TargetRecord], now_s: float, rng: random.Random
    ) -> TargetRecord:
        """Return one of ``usable``, which is not empty."""


class BetterOfTwo(Sampling):
    """The better of two random targets (power of two choices).

    If both report how long they work on a call, that is the one with the
    lower expected completion, otherwise the one with the lower load. Choosing
    among all targets instead would send the calls of all nodes to the one
    whose report is the best.
    """

    def choose(
        self, usable: list[TargetRecord], now_s: float, rng: random.Random
    ) -> TargetRecord:
        """Return the better of two, or one that is due for a trial."""
        if len(usable) > 2:
            usable = random_pair(usable, rng)
        due = next((record for record in usable if record.is_due(now_s)), None)
        if due is not None:
            return due
        best = self._best(usable, now_s)
        if rng.random() < best.ramp_fraction(now_s):
            return best
        return max(usable, key=lambda record: record.ramp_fraction(now_s))

    def _best(self, sampled: list[TargetRecord], now_s: float) -> TargetRecord:
        """Return the best of the sampled targets."""
        if sampled[0].completion.work_s(now_s) and (
            sampled[-1].completion.work_s(now_s)
        ):
            return min(sampled, key=lambda record: _completion_s(record, now_s))
        return min(sampled, key=lambda record: record.load(now_s))


def random_pair(
    records: Sequence[TargetRecord], rng: random.Random
) -> list[TargetRecord]:
    """Return two different records; ``rng.sample`` takes four times as long."""
    first = int(rng.random() * len(records))
    second = int(rng.random() * (len(records) - 1))
    # Without a branch, so that each pick takes the same work.
    second += second >= first
    return [records[first], records[second]]


def _completion_s(record: TargetRecord, now_s: float) -> float:
    """Return the expected completion, longer for a target that fails calls."""
    expected_s = record.completion.expected_s(record.in_flight, now_s)
    return expected_s * (1 + record.fault_ratio(now_s) * _FAULT_FACTOR)
