"""Counts what a server refuses by itself, by the reason."""

import collections
import enum
import types
from collections.abc import Callable, Mapping


class Refused(enum.StrEnum):
    """Why a request or connection was refused before a handler saw it.

    ``MEMORY``: there is no room for it. ``TOO_LARGE``: beyond the limits of
    head or body. ``MALFORMED``: no HTTP. ``LATE``: not complete in time.
    ``CONNECTIONS``: closed, as there are too many.
    """

    MEMORY = 'memory'
    TOO_LARGE = 'too_large'
    MALFORMED = 'malformed'
    LATE = 'late'
    CONNECTIONS = 'connections'


_REASONS = types.MappingProxyType(
    {
        400: Refused.MALFORMED,
        408: Refused.LATE,
        413: Refused.TOO_LARGE,
        431: Refused.TOO_LARGE,
        503: Refused.MEMORY,
    }
)


class RefusedCounts:
    """Refusals since the start, by reason; ``on_refused`` gets each one."""

    def __init__(
        self, *, on_refused: Callable[[Refused], None] | None = None
    ) -> None:
        self._on_refused = on_refused
        self._counts: collections.Counter[Refused] = collections.Counter()

    def add(self, reason: Refused) -> None:
        """Count a refusal."""
        self._counts[reason] += 1
        if self._on_refused is not None:
            self._on_refused(reason)

    def add_status(self, status: int) -> None:
        """Count a refusal by the status that the client gets."""
        self.add(_REASONS[status])

    def by_reason(self) -> Mapping[str, float]:
        """Return the number of refusals of each reason that has occurred."""
        return types.MappingProxyType(
            {str(reason): count for reason, count in self._counts.items()}
        )
