"""How current the routes of a node are, as it tells its operators."""

import asyncio

import pytest

from fescueknot import clock
from fescueknot.gossip.evidence import FreshnessEvidence
from fescueknot.randomness import seeded
from fescueknot.relay.routes_status import RoutesStatus
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.targets.directory import TargetDirectory
from tests.relay.fakes import RecordingObserver
from tests.relay.simulated_loop import run_simulated

_MAX_AGE_S = 2


@pytest.fixture(autouse=True)
def _never_suspended(monkeypatch):
    """Keep the clocks of this host out of the exact ages."""
    monkeypatch.setattr(clock, 'suspended_s', float)


class _Setup:
    def __init__(self):
        self.observer = RecordingObserver()
        self.evidence = FreshnessEvidence()
        self.status = RoutesStatus(
            max_age_s=_MAX_AGE_S,
            evidence=self.evidence,
            routes=RoutesInForce(rng=seeded(seed=1)),
            directory=TargetDirectory(),
            observer=self.observer,
        )

    async def look_at(self, *ages_s):
        """Look at evidence of several ages, one after the other."""
        for age_s in ages_s:
            now_s = clock.elapsed_s()
            self.evidence.record_read(asked_at_s=now_s)
            await asyncio.sleep(age_s)
            self.status.is_confirmed()
        return self.observer.events


def _details_of(events):
    """Return the details of a single event."""
    assert len(events) == 1
    return events[0][1]


class TestRoutesStatus:
    """Lines on the evidence that the routes are current."""

    def test_fresh_evidence_is_not_logged(self):
        assert not run_simulated(_Setup().look_at, 0, 1, _MAX_AGE_S)

    def test_a_loss_and_a_return_are_logged_once_each(self):
        events = run_simulated(_Setup().look_at, 1, 3, 4, 1, 0)
        assert [event for event, _ in events] == [
            'routes.unconfirmed',
            'routes.confirmed',
        ]

    def test_a_line_tells_the_versions_in_force_and_heard_of(self):
        setup = _Setup()
        setup.status.record_heard(9)
        setup.status.record_heard(7)
        events = run_simulated(setup.look_at, 3)
        assert _details_of(events) == {
            'age_s': 3,
            'version': 0,
            'heard': 9,
            'following': False,
            'known': 0,
        }

    def test_missing_evidence_has_no_age(self):
        async def look(setup):
            setup.status.is_confirmed()

        setup = _Setup()
        run_simulated(look, setup)
        assert _details_of(setup.observer.events)['age_s'] is None

    def test_guards_against_evidence_that_outlives_a_suspended_host(
        self, monkeypatch
    ):
        """The loop's clock stands still while the host is suspended."""

        async def suspend(setup):
            await setup.look_at(1)
            monkeypatch.setattr(clock, 'suspended_s', lambda: 10 + before_s)
            return setup.status.is_confirmed()

        before_s = clock.suspended_s()
        assert not run_simulated(suspend, _Setup())
