"""Explicit-state check of the protocol, with and without seeded faults."""

import pytest

from tests.idempotency.explicit.check_protocol import check, check_mutated
from tests.idempotency.explicit.mutations import MUTATIONS
from tests.idempotency.explicit.scenarios import SCENARIOS, Scenario


class TestProtocol:
    """All interleavings of each scenario, with the production code."""

    @pytest.mark.parametrize(
        'scenario', SCENARIOS, ids=lambda scenario: scenario.name
    )
    def test_the_scenario_has_no_violation(self, scenario: Scenario) -> None:
        report = check(scenario)
        assert not report.violation, report.trace

    @pytest.mark.parametrize('name', [mutation.name for mutation in MUTATIONS])
    def test_a_seeded_fault_is_found(self, name: str) -> None:
        assert check_mutated(name).violation
