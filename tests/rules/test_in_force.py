"""The rules in force only go up, never revert, and converge."""

import msgspec
import pytest
from hypothesis import given, settings, strategies

from fescueknot.calls import Importance
from fescueknot.rules import packing
from fescueknot.rules.in_force import RulesInForce
from fescueknot.rules.log_entry import LogMessage
from fescueknot.rules.offer_results import (
    AlreadyKnown,
    EntriesMissing,
    InForce,
    RefusalReason,
    Refused,
)
from tests.rules.log_samples import log_of

_LENGTH = 12
_ENTRIES, _HEADS = log_of(_LENGTH)
_SNAPSHOTS = tuple(head.snapshot() for head in _HEADS)


def _broken(message: LogMessage) -> LogMessage:
    return msgspec.structs.replace(message, digest=_HEADS[0].digest)


def _renumbered(message: LogMessage) -> LogMessage:
    return msgspec.structs.replace(message, version=message.version + 900)


_GOOD = (*_ENTRIES, *_SNAPSHOTS[1:])
_DELIVERIES = strategies.lists(
    strategies.sampled_from(
        [
            *_GOOD,
            *map(_broken, _GOOD),
            *map(_renumbered, _SNAPSHOTS[1:]),
        ]
    ),
    max_size=60,
)


class TestRulesInForce:
    """Verdicts one by one."""

    def test_next_entry(self) -> None:
        node = RulesInForce()
        assert node.offer(_ENTRIES[0]) == InForce(version=1)
        policy = node.rules.match(service='z', method='GET', path='/v/1')
        assert policy.importance is Importance.LOW
        assert policy.requested_by == 'Version'

    def test_gap_asks_for_what_is_missing_and_closes(self) -> None:
        node = RulesInForce()
        node.offer(_ENTRIES[0])
        missing = EntriesMissing(first=2, last=3)
        assert node.offer(_ENTRIES[3]) == missing
        assert node.version == 1
        node.offer(_ENTRIES[1])
        assert node.offer(_ENTRIES[2]) == InForce(version=4)

    def test_snapshot_jumps_over_a_gap(self) -> None:
        node = RulesInForce()
        node.offer(_ENTRIES[6])
        assert node.offer(_SNAPSHOTS[6]) == InForce(version=7)

    @pytest.mark.parametrize('old', [_ENTRIES[1], _SNAPSHOTS[2]])
    def test_older_message_changes_nothing(self, old: LogMessage) -> None:
        node = RulesInForce()
        node.offer(_SNAPSHOTS[5])
        assert node.offer(old) == AlreadyKnown(version=2)
        assert node.version == 5

    def test_other_content_for_the_version_held(self) -> None:
        node = RulesInForce()
        node.offer(_ENTRIES[0])
        verdict = node.offer(_broken(_ENTRIES[0]))
        assert verdict.reason is RefusalReason.OTHER_CONTENT

    @pytest.mark.parametrize('message', [_ENTRIES[0], _SNAPSHOTS[1]])
    def test_broken_message_is_refused(self, message: LogMessage) -> None:
        node = RulesInForce()
        verdict = node.offer(_broken(message))
        assert isinstance(verdict, Refused)
        assert node.offer(message) == InForce(version=1)

    def test_invalid_rules_leave_good_ones(self) -> None:
        node = RulesInForce()
        node.offer(_ENTRIES[0])
        bad = _next_head(node, ['not a rule'])
        verdict = node.offer(bad)
        assert verdict.reason is RefusalReason.INVALID_RULES
        assert node.version == 1
        assert node.rules.lines == _HEADS[1].lines
        good = _next_head(node, ['a GET /x class=high # Marta'])
        assert node.offer(good) == InForce(version=3)

    @pytest.mark.parametrize('start', [0, 3])
    def test_node_behind_gets_what_it_needs(self, start: int) -> None:
        node = RulesInForce()
        node.offer(_SNAPSHOTS[start] if start else _ENTRIES[0])
        for entry in _ENTRIES:
            node.offer(entry)
        for version in range(_LENGTH + 1):
            behind = RulesInForce()
            if version:
                behind.offer(_SNAPSHOTS[version])
            messages = node.messages_after(version)
            is_kept = version >= start
            expected = _LENGTH - version if is_kept else 1
            assert len(messages) == expected
            for message in messages:
                behind.offer(message)
            assert behind.version == _LENGTH


def _next_head(node: RulesInForce, lines: list[str]) -> LogMessage:
    head = msgspec.structs.replace(
        node.head, version=node.head.version + 1, lines=tuple(lines)
    )
    digest = packing.digest_of(head.version, head.lines)
    return msgspec.structs.replace(head, digest=digest).snapshot()


class TestAnyDelivery:
    """Messages in any order, twice, late, broken or renumbered."""

    @settings(derandomize=True, deadline=None)
    @given(deliveries=_DELIVERIES)
    def test_version_only_goes_up_and_converges(
        self, deliveries: list[LogMessage]
    ) -> None:
        node = RulesInForce()
        for message in deliveries:
            before = node.version
            node.offer(message)
            assert node.version >= before
            assert node.rules.lines == _HEADS[node.version].lines
        for entry in _ENTRIES:
            node.offer(entry)
        assert node.version == _LENGTH

    @settings(derandomize=True, deadline=None)
    @given(
        deliveries=strategies.lists(
            strategies.sampled_from(_ENTRIES), max_size=30
        )
    )
    def test_asked_for_entries_close_every_gap(
        self, deliveries: list[LogMessage]
    ) -> None:
        node = RulesInForce()
        for message in deliveries:
            verdict = node.offer(message)
            if isinstance(verdict, EntriesMissing):
                for version in range(verdict.first, verdict.last + 1):
                    verdict = node.offer(_ENTRIES[version - 1])
            assert isinstance(verdict, InForce | AlreadyKnown)
            assert node.version >= message.version
