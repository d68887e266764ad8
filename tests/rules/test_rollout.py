"""The start gate of a node, and reports on nodes with a version in force."""

import pytest

from fescueknot.rules.rollout_report import report_rollout
from fescueknot.rules.start_gate import StartGate, StartGateSettings


class TestStartGate:
    """A restarted node doesn't serve with an older version."""

    @pytest.mark.parametrize(
        ('store', 'peers', 'version', 'now_s', 'may_serve'),
        [
            (None, {}, 0, 99, False),
            (7, {}, 7, 0, False),
            (7, {}, 7, 3, True),
            (7, {'a': 7, 'b': 6}, 7, 0, True),
            (7, {'a': 7}, 7, 0, False),
            (7, {'a': 8, 'b': 6}, 7, 99, False),
            (7, {'a': 8, 'b': 6}, 8, 0, True),
            (None, {'a': 8, 'b': 8}, 8, 0, False),
            (None, {'a': 8, 'b': 8}, 8, 3, True),
        ],
    )
    def test_may_serve(self, store, peers, version, now_s, may_serve) -> None:
        gate = StartGate(settings=StartGateSettings(), now_s=0)
        if store is not None:
            gate.hear_store(version=store)
        for name, peer_version in peers.items():
            gate.hear_peer(name=name, version=peer_version)
        assert gate.may_serve(version=version, now_s=now_s) is may_serve


class TestRolloutReport:
    """A rollout is complete only if all nodes have acknowledged it."""

    @pytest.mark.parametrize(
        ('acknowledged', 'is_whole', 'is_complete'),
        [
            ({'a': 5, 'b': 5}, True, True),
            ({'a': 5, 'b': 6}, True, True),
            ({'a': 5, 'b': 4}, True, False),
            ({'a': 5, 'b': 7}, True, False),
            ({'a': 5}, True, False),
            ({'a': 5, 'c': 5}, True, False),
            ({'a': 5, 'b': 5}, False, False),
        ],
    )
    def test_is_complete(self, acknowledged, is_whole, is_complete) -> None:
        report = report_rollout(
            version=5,
            head_version=6,
            members=['b', 'a'],
            acknowledged=acknowledged,
            is_membership_whole=is_whole,
        )
        assert report.is_complete is is_complete
        assert ('on all 2' in str(report)) is is_complete

    def test_empty_membership_is_not_complete(self) -> None:
        report = report_rollout(
            version=5,
            head_version=5,
            members=[],
            acknowledged={},
            is_membership_whole=True,
        )
        assert not report.is_complete

    def test_text_names_nodes_without_the_version(self) -> None:
        report = report_rollout(
            version=5,
            head_version=6,
            members=['a', 'b', 'c', 'd'],
            acknowledged={'a': 5, 'b': 3, 'd': 9},
            is_membership_whole=True,
        )
        assert str(report).splitlines() == [
            'version 5 is in force on 1 of 4 known nodes',
            'b lags at version 3',
            'd has version 9, which the store lacks',
            'c has not acknowledged any version',
        ]
