"""Admission levels of downstream services, as their answers report them."""

import threading
from collections.abc import Callable

from fescueknot.admission.levelbook import LevelBook
from fescueknot.admission.messages import AdmissionLevel
from fescueknot.admission.rank import OPEN_RANK, level_of
from fescueknot.calls import Importance

_OPEN_LEVEL = level_of(OPEN_RANK)


class DownstreamLevels:
    """Stores the admission levels of called services; thread-safe.

    The callback passes the levels of the services that the local target
    calls to the local gate, which sheds fresh requests accordingly.
    """

    def __init__(
        self, *, apply_downstream_level: Callable[[AdmissionLevel], None]
    ) -> None:
        self._apply_downstream_level = apply_downstream_level
        self._book = LevelBook()
        self._lock = threading.Lock()
        self._callees: frozenset[str] = frozenset()

    def record(self, service: str, level: AdmissionLevel, now_s: float) -> None:
        """Record the level that came with an answer of ``service``."""
        with self._lock:
            self._book.note(service, level, now_s)
        if service in self._callees:
            self.refresh(now_s)

    def refresh(self, now_s: float) -> None:
        """Pass the present levels of the target's callees to the local gate.

        Levels rise with time. A local gate that sheds all requests causes no
        downstream calls, so no answer would report the rise.
        """
        if self._callees:
            self._apply_downstream_level(self.lowered(_OPEN_LEVEL, now_s))

    def record_callee(self, service: str) -> None:
        """Record that the local target calls ``service``."""
        if service not in self._callees:
            self._callees |= {service}

    def refuses(
        self,
        service: str,
        importance: Importance,
        root_id: str,
        now_s: float,
    ) -> bool:
        """Return whether ``service`` would shed a call; count it if not."""
        with self._lock:
            shed = self._book.refuses(service, importance, root_id, now_s)
            if not shed:
                self._book.passed(service, now_s)
            return shed

    def retry_after_s(self, service: str, root_id: str, now_s: float) -> float:
        """Count a refusal and return the seconds until the retry."""
        with self._lock:
            return self._book.retry_after_s(service, root_id, now_s)

    def lowered(self, local: AdmissionLevel, now_s: float) -> AdmissionLevel:
        """Return ``local``, lowered to the levels of the target's callees."""
        if not self._callees:
            return local
        with self._lock:
            return self._book.lowered(local, tuple(self._callees), now_s)
