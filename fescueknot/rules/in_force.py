"""The rules in force on one node.

Log messages are received from the store and from other nodes. They may be
reordered, duplicated, delayed or corrupt. The version never decreases.
"""

import collections
from collections.abc import Iterable

from fescueknot.rules.errors import BadDelta, BadSnapshot
from fescueknot.rules.line_parser import parse_line
from fescueknot.rules.log_entry import (
    Head,
    LogEntry,
    LogMessage,
    Snapshot,
    head_of,
)
from fescueknot.rules.offer_results import (
    AlreadyKnown,
    EntriesMissing,
    InForce,
    OfferResult,
    RefusalReason,
    Refused,
)
from fescueknot.rules.recent_entries import RecentEntries
from fescueknot.rules.reorder_buffer import ReorderBuffer
from fescueknot.rules.rule_set import RuleSet


class RulesInForce:
    """The rules in force, and the log entries received ahead of a gap.

    A version whose text is invalid advances the head, so that later deltas
    can be applied, but the previous rules stay in force.
    """

    def __init__(self) -> None:
        self._head = Head()
        self._rules = RuleSet()
        self._version = 0
        self._invalid_lines: collections.Counter[str] = collections.Counter()
        self._pending = ReorderBuffer()
        self._recent = RecentEntries()

    @property
    def version(self) -> int:
        """The version in force; 0 before the first version."""
        return self._version

    @property
    def rules(self) -> RuleSet:
        """The rules in force."""
        return self._rules

    @property
    def head(self) -> Head:
        """The newest verified text; in force unless it is invalid."""
        return self._head

    def offer(self, message: LogMessage) -> OfferResult:
        """Apply a log message, and return the result.

        An entry that follows a gap is stored until the gap is closed;
        ``EntriesMissing`` then names the entries to request.
        """
        if message.version <= self._head.version:
            return self._check_known_version(message)
        if isinstance(message, Snapshot):
            return self._apply_snapshot(message)
        self._pending.add(message)
        return self._apply_pending()

    def messages_after(self, version: int) -> tuple[LogMessage, ...]:
        """Return the messages that lead from ``version`` to the head."""
        return self._recent.after(version, self._head)

    def _check_known_version(self, message: LogMessage) -> OfferResult:
        is_current = message.version == self._head.version
        if is_current and message.digest != self._head.digest:
            return Refused(
                version=message.version, reason=RefusalReason.OTHER_CONTENT
            )
        return AlreadyKnown(version=message.version)

    def _apply_snapshot(self, snapshot: Snapshot) -> OfferResult:
        try:
            head = head_of(snapshot)
        except BadSnapshot as error:
            return _refuse_broken(snapshot, error)
        self._invalid_lines = collections.Counter(_invalid_lines(head.lines))
        self._head = head
        self._recent.clear()
        result = self._put_in_force(RuleSet(lines=head.lines))
        return self._apply_pending() if self._pending else result

    def _apply_pending(self) -> OfferResult:
        """Apply the pending entries up to the next gap."""
        self._pending.remove_until(self._head.version)
        result: OfferResult = InForce(version=self._version)
        while self._pending:
            entry = self._pending.pop(self._head.version + 1)
            if entry is None:
                return EntriesMissing(
                    first=self._head.version + 1,
                    last=self._pending.min_version() - 1,
                )
            result = self._apply_next(entry)
        return result

    def _apply_next(self, entry: LogEntry) -> OfferResult:
        try:
            head = self._head.after(entry)
        except BadDelta as error:
            return _refuse_broken(entry, error)
        was_in_force = self._version == self._head.version
        self._head = head
        self._recent.add(entry)
        hunks = entry.delta()
        for hunk in hunks:
            self._invalid_lines.subtract(_invalid_lines(hunk.removed))
            self._invalid_lines.update(_invalid_lines(hunk.added))
        if was_in_force:
            return self._put_in_force(
                self._rules.changed(lines=head.lines, hunks=hunks)
            )
        return self._put_in_force(RuleSet(lines=head.lines))

    def _put_in_force(self, rules: RuleSet) -> OfferResult:
        self._invalid_lines = +self._invalid_lines
        if self._invalid_lines:
            return Refused(
                version=self._head.version,
                reason=RefusalReason.INVALID_RULES,
                detail=min(self._invalid_lines),
            )
        self._rules = rules
        self._version = self._head.version
        return InForce(version=self._version)


def _refuse_broken(message: LogMessage, error: Exception) -> Refused:
    return Refused(
        version=message.version,
        reason=RefusalReason.BROKEN,
        detail=str(error),
    )


def _invalid_lines(lines: Iterable[str]) -> Iterable[str]:
    return (line for line in lines if parse_line(line).problems)
