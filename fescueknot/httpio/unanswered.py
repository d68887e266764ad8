"""Counts requests that end without an answer, by the reason."""

import collections
import enum
import types
from collections.abc import Mapping


class Unanswered(enum.StrEnum):
    """Why a connection ended before an answer to a request that it had.

    ``NOT_READ``: bytes of the client, or its close, were still unread.
    ``BEHIND_CLOSE``: the request waited behind an answer that closes the
    connection. ``NO_ANSWER``: its handler gave none. ``CLIENT_LEFT``: the
    client closed or reset the connection, or read no more.
    """

    NOT_READ = 'not_read'
    BEHIND_CLOSE = 'behind_close'
    NO_ANSWER = 'no_answer'
    CLIENT_LEFT = 'client_left'


class UnansweredCounts:
    """Requests without an answer since the start, by reason."""

    def __init__(self) -> None:
        self._counts: collections.Counter[Unanswered] = collections.Counter()

    def add(self, reason: Unanswered, requests: int = 1) -> None:
        """Count requests; none changes nothing."""
        if requests:
            self._counts[reason] += requests

    def by_reason(self) -> Mapping[str, float]:
        """Return the number of requests of each reason that has occurred."""
        return types.MappingProxyType(
            {str(reason): count for reason, count in self._counts.items()}
        )
