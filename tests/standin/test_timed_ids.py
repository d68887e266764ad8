"""Tests the idempotency keys of the stand-in callers."""

import uuid

import pytest

from fescueknot.idempotency.keys import made_at_wall_s
from fescueknot.randomness import seeded
from tools.standin.timed_ids import timed_id


class TestTimedIds:
    """Version 7 UUIDs, whose time the ledger reads."""

    @pytest.mark.parametrize('wall_s', [0, 1_796_345_815.416])
    def test_a_key_contains_its_time(self, wall_s: float) -> None:
        text = timed_id(wall_s, seeded(seed=4))
        assert uuid.UUID(text).variant == uuid.RFC_4122
        assert made_at_wall_s(text) == pytest.approx(wall_s, abs=1e-3)
