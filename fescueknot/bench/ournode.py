"""The decisions of one node, and the load reports that it gets."""

import msgspec

from fescueknot.admission.gate import AdmissionGate
from fescueknot.admission.levelbook import LevelBook
from fescueknot.admission.messages import AdmissionLevel
from fescueknot.admission.rank import BUCKETS_PER_CLASS
from fescueknot.bench.parts import FakeTarget
from fescueknot.calls import Importance
from fescueknot.retries.hard import HardRetryFilter
from fescueknot.retries.policy import RetryPolicy
from fescueknot.routing.messages import LoadReport
from fescueknot.routing.picker import TargetPicker
from fescueknot.routing.subset import Viewpoint

_OPEN = AdmissionLevel(importance=max(Importance), bucket=BUCKETS_PER_CLASS)
_LIE = LoadReport(limit=300, in_flight=0, waiting=0, level_rank=4)


class _Dated(msgspec.Struct, frozen=True, kw_only=True):
    """A load report and when it was made."""

    made_s: float
    report: LoadReport


class Reports:
    """Load reports on their way, late or lying when set so."""

    def __init__(self) -> None:
        self.late_s = float(0)
        self.lying = False
        self._history: dict[str, list[_Dated]] = {}

    def spoil(self, name: str, report: LoadReport, now_s: float) -> LoadReport:
        """Return the report of a target that arrives now."""
        if self.lying:
            return _LIE
        if not self.late_s:
            return report
        history = self._history.setdefault(name, [])
        history.append(_Dated(made_s=now_s, report=report))
        while history[0].made_s < now_s - self.late_s:
            history.pop(0)
        return history[0].report


class OurNode:
    """The decisions of one node."""

    def __init__(self, *, target: FakeTarget, services: int) -> None:
        self.gate = AdmissionGate()
        self.book = LevelBook()
        self.filter = HardRetryFilter()
        self.policies = [RetryPolicy() for _ in range(services)]
        self.pickers = [
            TargetPicker(
                viewpoint=Viewpoint(node=target.instance, place=target.place)
            )
            for _ in range(services)
        ]

    def learn(
        self, depth: int, level: AdmissionLevel, book: LevelBook, now_s: float
    ) -> None:
        """Take the level of an answer, lowered to those below by ``book``."""
        lowered = book.lowered(level, (str(depth + 1),), now_s)
        self.book.note(str(depth), lowered, now_s)
        if depth:
            known = self.book.lowered(_OPEN, (str(depth),), now_s)
            self.gate.heed(known)
