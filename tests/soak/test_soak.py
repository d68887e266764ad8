"""A short soak with fixed seeds; seeds that ever failed are added here."""

import pytest

from tools.soak.main import run_seed
from tools.soak.planned_faults import PLANNED_FAULTS

_FAULTS = 5


class TestSoak:
    """Promises as callers and targets see them."""

    @pytest.mark.parametrize('seed', [1, 2])
    def test_the_promises_are_kept(self, seed):
        result = run_seed(seed, _FAULTS)
        assert not result.broken
        assert result.served

    def test_planned_work_ends_no_request(self):
        # Unplanned faults would excuse most requests without an answer.
        result = run_seed(3, _FAULTS, PLANNED_FAULTS)
        assert not result.broken
        assert result.served
