"""Levels of the services that the local target calls; thread-safe."""

import threading
from collections.abc import Callable

from fescueknot.admission.levelbook import LevelBook
from fescueknot.admission.messages import AdmissionLevel
from fescueknot.admission.rank import OPEN_RANK, level_of
from fescueknot.calls import Importance

_OPEN_LEVEL = level_of(OPEN_RANK)


class LevelsBelow:
    """Remembers levels that came with answers.

    The services that the local target was seen to call also lower the level
    of the own gate: ``heed`` is told theirs.
    """

    def __init__(self, *, heed: Callable[[AdmissionLevel], None]) -> None:
        self._heed = heed
        self._book = LevelBook()
        self._lock = threading.Lock()
        self._callees: frozenset[str] = frozenset()

    def note(self, service: str, level: AdmissionLevel, now_s: float) -> None:
        """Take the level that came with an answer of ``service``."""
        with self._lock:
            self._book.note(service, level, now_s)
        if service in self._callees:
            self.renew(now_s)

    def renew(self, now_s: float) -> None:
        """Tell the own gate how the levels below have opened meanwhile.

        A gate that sheds makes no calls below, so no answer would tell it.
        """
        if self._callees:
            self._heed(self.lowered(_OPEN_LEVEL, now_s))

    def note_own_call(self, service: str) -> None:
        """Remember that the local target calls ``service``."""
        if service not in self._callees:
            self._callees |= {service}

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

    def lowered(self, local: AdmissionLevel, now_s: float) -> AdmissionLevel:
        """Return ``local`` lowered to the services that the target calls."""
        if not self._callees:
            return local
        with self._lock:
            return self._book.lowered(local, tuple(self._callees), now_s)
