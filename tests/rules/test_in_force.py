"""The version in force never decreases, and nodes converge."""

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


def _with_wrong_digest(message: LogMessage) -> LogMessage:
    return msgspec.structs.replace(message, digest=_HEADS[0].digest)


def _with_wrong_version(message: LogMessage) -> LogMessage:
    return msgspec.structs.replace(message, version=message.version + 900)


_VALID_MESSAGES = (*_ENTRIES, *_SNAPSHOTS[1:])
_DELIVERIES = strategies.lists(
    strategies.sampled_from(
        [
            *_VALID_MESSAGES,
            *map(_with_wrong_digest, _VALID_MESSAGES),
            *map(_with_wrong_version, _SNAPSHOTS[1:]),
        ]
    ),
    max_size=60,
)


class TestRulesInForce:
    """Results of single messages."""

    def test_next_entry(self) -> None:
        node = RulesInForce()
        assert node.offer(_ENTRIES[0]) == InForce(version=1)
        policy = node.rules.match(service='z', method='GET', path='/v/1')
        assert policy.importance is Importance.LOW
        assert policy.requested_by == 'Version'

    def test_missing_entries_are_reported_and_close_the_gap(self) -> None:
        node = RulesInForce()
        node.offer(_ENTRIES[0])
        missing = EntriesMissing(first=2, last=3)
        assert node.offer(_ENTRIES[3]) == missing
        assert node.version == 1
        node.offer(_ENTRIES[1])
        assert node.offer(_ENTRIES[2]) == InForce(version=4)

    def test_snapshot_closes_a_gap(self) -> None:
        node = RulesInForce()
        node.offer(_ENTRIES[6])
        assert node.offer(_SNAPSHOTS[6]) == InForce(version=7)

    @pytest.mark.parametrize('old_message', [_ENTRIES[1], _SNAPSHOTS[2]])
    def test_older_message_changes_nothing(
        self, old_message: LogMessage
    ) -> None:
        node = RulesInForce()
        node.offer(_SNAPSHOTS[5])
        assert node.offer(old_message) == AlreadyKnown(version=2)
        assert node.version == 5

    def test_other_content_for_the_current_version(self) -> None:
        node = RulesInForce()
        node.offer(_ENTRIES[0])
        result = node.offer(_with_wrong_digest(_ENTRIES[0]))
        assert result.reason is RefusalReason.OTHER_CONTENT

    @pytest.mark.parametrize('message', [_ENTRIES[0], _SNAPSHOTS[1]])
    def test_message_with_a_wrong_digest_is_refused(
        self, message: LogMessage
    ) -> None:
        node = RulesInForce()
        result = node.offer(_with_wrong_digest(message))
        assert isinstance(result, Refused)
        assert node.offer(message) == InForce(version=1)

    def test_invalid_rules_do_not_replace_valid_rules(self) -> None:
        node = RulesInForce()
        node.offer(_ENTRIES[0])
        invalid_snapshot = _next_snapshot(node, ['not a rule'])
        result = node.offer(invalid_snapshot)
        assert result.reason is RefusalReason.INVALID_RULES
        assert node.version == 1
        assert node.rules.lines == _HEADS[1].lines
        valid_snapshot = _next_snapshot(node, ['a GET /x class=high # Marta'])
        assert node.offer(valid_snapshot) == InForce(version=3)

    @pytest.mark.parametrize('start_version', [0, 3])
    def test_messages_after_update_a_lagging_node(
        self, start_version: int
    ) -> None:
        node = RulesInForce()
        node.offer(_SNAPSHOTS[start_version] if start_version else _ENTRIES[0])
        for entry in _ENTRIES:
            node.offer(entry)
        for version in range(_LENGTH + 1):
            lagging_node = RulesInForce()
            if version:
                lagging_node.offer(_SNAPSHOTS[version])
            messages = node.messages_after(version)
            has_entries = version >= start_version
            expected = _LENGTH - version if has_entries else 1
            assert len(messages) == expected
            for message in messages:
                lagging_node.offer(message)
            assert lagging_node.version == _LENGTH


def _next_snapshot(node: RulesInForce, lines: list[str]) -> LogMessage:
    head = msgspec.structs.replace(
        node.head, version=node.head.version + 1, lines=tuple(lines)
    )
    digest = packing.digest_of(head.version, head.lines)
    return msgspec.structs.replace(head, digest=digest).snapshot()


class TestAnyDelivery:
    """Messages reordered, duplicated, or with a wrong digest or version."""

    @settings(derandomize=True, deadline=None)
    @given(deliveries=_DELIVERIES)
    def test_version_never_decreases_and_converges(
        self, deliveries: list[LogMessage]
    ) -> None:
        node = RulesInForce()
        for message in deliveries:
            old_version = node.version
            node.offer(message)
            assert node.version >= old_version
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
    def test_missing_entries_close_every_gap(
        self, deliveries: list[LogMessage]
    ) -> None:
        node = RulesInForce()
        for message in deliveries:
            result = node.offer(message)
            if isinstance(result, EntriesMissing):
                for version in range(result.first, result.last + 1):
                    result = node.offer(_ENTRIES[version - 1])
            assert isinstance(result, InForce | AlreadyKnown)
            assert node.version >= message.version
