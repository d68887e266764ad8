"""When a starting node may serve, and where a version is in force."""

import pytest

from fescueknot.rules.rollout_report import report_force
from fescueknot.rules.start_gate import GateSettings, StartGate


class TestStartGate:
    """A restarted node doesn't fall back to an older version."""

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
    def test_table(self, store, peers, version, now_s, may_serve) -> None:
        gate = StartGate(settings=GateSettings(), now_s=0)
        if store is not None:
            gate.hear_store(version=store)
        for name, held in peers.items():
            gate.hear_peer(name=name, version=held)
        assert gate.may_serve(version=version, now_s=now_s) is may_serve


class TestForceReport:
    """Everywhere is only said when it is known."""

    @pytest.mark.parametrize(
        ('acknowledged', 'is_whole', 'everywhere'),
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
    def test_everywhere(self, acknowledged, is_whole, everywhere) -> None:
        report = report_force(
            version=5,
            head_version=6,
            members=['b', 'a'],
            acknowledged=acknowledged,
            is_membership_whole=is_whole,
        )
        assert report.is_everywhere is everywhere
        assert ('on all 2' in str(report)) is everywhere

    def test_nobody_known_is_not_everywhere(self) -> None:
        report = report_force(
            version=5,
            head_version=5,
            members=[],
            acknowledged={},
            is_membership_whole=True,
        )
        assert not report.is_everywhere

    def test_names_those_that_lag_or_are_unknown(self) -> None:
        report = report_force(
            version=5,
            head_version=6,
            members=['a', 'b', 'c', 'd'],
            acknowledged={'a': 5, 'b': 3, 'd': 9},
            is_membership_whole=True,
        )
        assert str(report).splitlines() == [
            'version 5 is in force on 1 of 4 known nodes',
            'b lags at version 3',
            'd holds 9, unknown to the store',
            'c is unknown',
        ]
