"""Levels of the services that the local target calls; thread-safe."""

import threading
from collections.abc import Callable

from fescueknot.admission.levelbook import LevelBook
from fescueknot.admission.messages import AdmissionLevel
from fescueknot.admission.rank import OPEN_RANK, level_of
from fescueknot.calls import Importance

_OPEN = level_of(OPEN_RANK)


class DownstreamLevels:
    """Remembers levels that came with answers.

    The services that the local target was seen to call also lower the level
    of the own gate: ``heed`` is told theirs.
    """

    def __init__(
        self, *, apply_downstream_level: Callable[[AdmissionLevel], None]
    ) -> None:
        self._apply_downstream_level = apply_downstream_level
        self._book = LevelBook()
        self._lock = threading.Lock()
        self._own_calls: frozenset[str] = frozenset()

    def record(self, service: str, level: AdmissionLevel, now_s: float) -> None:
        """Take the level that came with an answer of ``service``."""
        with self._lock:
            self._book.note(service, level, now_s)
        if service in self._own_calls:
            self.refresh(now_s)

    def refresh(self, now_s: float) -> None:
        """Tell the own gate how the levels below have opened meanwhile.

        A gate that sheds makes no calls below, so no answer would tell it.
        """
        if self._own_calls:
            self._apply_downstream_level(self.lowered(_OPEN, now_s))

    def record_callee(self, service: str) -> None:
        """Remember that the local target calls ``service``."""
        if service not in self._own_calls:
            self._own_calls |= {service}

    def refuses(
        self,
        service: str,
        importance: Importance,
        root_id: str,
        now_s: float,
    ) -> bool:
        """Tell whether ``service`` would shed a call; count it if not."""
        with self._lock:
            shed = self._book.refuses(service, importance, root_id, now_s)
            if not shed:
                self._book.passed(service, now_s)
            return shed

    def retry_after_s(self, service: str, root_id: str, now_s: float) -> float:
        """Count a refusal and return the seconds until the return."""
        with self._lock:
            return self._book.retry_after_s(service, root_id, now_s)

    def lowered(self, own: AdmissionLevel, now_s: float) -> AdmissionLevel:
        """Return ``own`` lowered to the services that the target calls."""
        if not self._own_calls:
            return own
        with self._lock:
            return self._book.lowered(own, tuple(self._own_calls), now_s)
