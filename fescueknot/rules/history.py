"""The history of accepted changes."""

import datetime
import itertools

import msgspec

from fescueknot.rules.log_entry import LogEntry
from fescueknot.rules.log_view import LogView


class HistoryItem(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted change; ``added`` and ``removed`` are numbers of lines."""

    version: int
    wall_time_s: float
    author: str
    change_id: str
    added: int
    removed: int

    def __str__(self) -> str:
        """Return the change as one line."""
        accepted_at = datetime.datetime.fromtimestamp(
            self.wall_time_s, datetime.UTC
        )
        return (
            f'{self.version:8} {accepted_at:%Y-%m-%d %H:%M:%S} UTC '
            f'+{self.added} -{self.removed} {self.author} ({self.change_id})'
        )


def history_of(view: LogView, *, limit: int) -> tuple[HistoryItem, ...]:
    """Return up to ``limit`` changes from the log, the newest first."""
    newest = itertools.islice(reversed(view.entries), limit)
    return tuple(map(_history_item, newest))


def _history_item(entry: LogEntry) -> HistoryItem:
    delta = entry.delta()
    return HistoryItem(
        version=entry.version,
        wall_time_s=entry.wall_time_s,
        author=entry.author,
        change_id=entry.change_id,
        added=sum(len(hunk.added) for hunk in delta),
        removed=sum(len(hunk.removed) for hunk in delta),
    )
