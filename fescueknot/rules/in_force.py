"""The rules in force on one node.

Log messages may come in any order, twice, late, or broken, from the store or
from other nodes. The version only goes up.
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
    RefusalReason,
    Refused,
    Verdict,
)
from fescueknot.rules.recent_entries import RecentEntries
from fescueknot.rules.reorder_buffer import WaitingEntries
from fescueknot.rules.rule_set import RuleSet


class RulesInForce:
    """Holds the newest verified rules and the entries that wait for a gap.

    A version whose text has problems advances the head, so that later deltas
    fit, but the rules before it stay in force.
    """

    def __init__(self) -> None:
        self._head = Head()
        self._rules = RuleSet()
        self._version = 0
        self._flawed: collections.Counter[str] = collections.Counter()
        self._waiting = WaitingEntries()
        self._recent = RecentEntries()

    @property
    def version(self) -> int:
        """The version in force; zero before the first."""
        return self._version

    @property
    def rules(self) -> RuleSet:
        """The rules in force."""
        return self._rules

    @property
    def head(self) -> Head:
        """The newest verified text, in force unless it has problems."""
        return self._head

    def offer(self, message: LogMessage) -> Verdict:
        """Take a message in, or say why not and what to ask for."""
        if message.version <= self._head.version:
            return self._judge_old(message)
        if isinstance(message, Snapshot):
            return self._take_snapshot(message)
        self._waiting.add(message)
        return self._take_waiting()

    def messages_after(self, version: int) -> tuple[LogMessage, ...]:
        """Return what another node at ``version`` needs, in order."""
        return self._recent.after(version, self._head)

    def _judge_old(self, message: LogMessage) -> Verdict:
        is_current = message.version == self._head.version
        if is_current and message.digest != self._head.digest:
            return Refused(
                version=message.version, reason=RefusalReason.OTHER_CONTENT
            )
        return AlreadyKnown(version=message.version)

    def _take_snapshot(self, snapshot: Snapshot) -> Verdict:
        try:
            head = head_of(snapshot)
        except BadSnapshot as error:
            return _broken(snapshot, error)
        self._flawed = collections.Counter(_flawed(head.lines))
        self._head = head
        self._recent.clear()
        verdict = self._put_in_force(RuleSet(lines=head.lines))
        return self._take_waiting() if self._waiting else verdict

    def _take_waiting(self) -> Verdict:
        """Apply the waiting entries that follow without a gap."""
        self._waiting.drop_until(self._head.version)
        verdict: Verdict = InForce(version=self._version)
        while self._waiting:
            entry = self._waiting.pop(self._head.version + 1)
            if entry is None:
                return EntriesMissing(
                    first=self._head.version + 1,
                    last=self._waiting.lowest() - 1,
                )
            verdict = self._take_next(entry)
        return verdict

    def _take_next(self, entry: LogEntry) -> Verdict:
        try:
            head = self._head.after(entry)
        except BadDelta as error:
            return _broken(entry, error)
        was_in_force = self._version == self._head.version
        self._head = head
        self._recent.add(entry)
        hunks = entry.delta()
        for hunk in hunks:
            self._flawed.subtract(_flawed(hunk.removed))
            self._flawed.update(_flawed(hunk.added))
        if was_in_force:
            return self._put_in_force(
                self._rules.changed(lines=head.lines, hunks=hunks)
            )
        return self._put_in_force(RuleSet(lines=head.lines))

    def _put_in_force(self, rules: RuleSet) -> Verdict:
        self._flawed = +self._flawed
        if self._flawed:
            return Refused(
                version=self._head.version,
                reason=RefusalReason.INVALID_RULES,
                detail=min(self._flawed),
            )
        self._rules = rules
        self._version = self._head.version
        return InForce(version=self._version)


def _broken(message: LogMessage, error: Exception) -> Refused:
    return Refused(
        version=message.version,
        reason=RefusalReason.BROKEN,
        detail=str(error),
    )


def _flawed(lines: Iterable[str]) -> Iterable[str]:
    return (line for line in lines if parse_line(line).flaws)
