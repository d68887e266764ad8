"""Clocks of the rig's machines: the time of day as their nodes see it."""

import asyncio
import contextlib
import pathlib
import subprocess
import sys
import time
from types import SimpleNamespace

import pytest

from tests.site_rig.small_site import small_hosts, small_site
from tools.site_rig.clock_player import ClockPlayer
from tools.site_rig.plans import Planner
from tools.site_rig.scene import Disruption
from tools.site_rig.site import PlanEntry
from tools.site_rig.spread import Spread
from tools.site_rig.wall_clock import ClockFile, WallClock

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
NOW_NS = 1_700_000_000_000_000_000
# Stands for a node: says where it is and what its clocks say.
PROGRAM = """
import os, sys, time
import fescueknot.platform.beside as beside
assert __name__ == '__main__'
steady_s = time.monotonic()
print(os.getcwd(), beside.__file__, len(sys.argv))
print(time.time(), time.time_ns(), steady_s)
"""


@pytest.fixture
def clock(tmp_path):
    return ClockFile(path=tmp_path / 'a.clock')


class TestWallClock:
    """The time of day of one machine."""

    # Guards against a clock that stands still, drifts or forgets a jump.
    @pytest.mark.parametrize(
        ('steps_s', 'off_s'), [((), 0), ((2,), 2), ((-2, 0.5), -1.5)]
    )
    def test_offset(self, clock, monkeypatch, steps_s, off_s):
        monkeypatch.setattr(time, 'time_ns', lambda: NOW_NS)
        seen = WallClock(path=str(clock.path))
        for by_s in steps_s:
            clock.step(by_s)

        assert seen.time_ns() - NOW_NS == off_s * 1e9
        assert seen.time() == NOW_NS / 1e9 + off_s


class TestLauncher:
    """A node's program on a machine whose clock is off."""

    # Guards against a program of another folder, and a clock that is not off.
    def test_program(self, clock, tmp_path):
        package = tmp_path / 'fescueknot' / 'platform'
        package.mkdir(parents=True)
        (package / 'main.py').write_text(PROGRAM)
        (package / 'beside.py').touch()
        clock.step(-86_400)
        launcher = (sys.executable, '-m', 'tools.site_rig.node_launcher')
        # The program imports no asyncio, so nobody reads it.
        links = str(tmp_path / 'links')

        before_s = time.time()
        seen = subprocess.run(
            (*launcher, str(tmp_path), str(clock.path), links),
            cwd=ROOT,
            check=True,
            capture_output=True,
        )
        after_s = time.time()

        places, clocks = seen.stdout.decode().splitlines()
        assert places == f'{tmp_path} {package / "beside.py"} 1'
        now_s, now_ns, _ = map(float, clocks.split())
        assert before_s <= now_s + 86_400 <= after_s
        assert before_s <= now_ns / 1e9 + 86_400 <= after_s


class Clock:
    """A clock that notes its jumps."""

    def __init__(self) -> None:
        self.jumps: list[float] = []

    def step(self, by_s: float) -> None:
        """Note a jump."""
        self.jumps.append(by_s)


class TestWord:
    """What ``clock_step`` makes happen."""

    # Guards against clocks that jump the other way, too far or everywhere.
    @pytest.mark.parametrize(
        ('how', 'ratio', 'jumps'),
        [
            ('back', None, {-2.0}),
            ('ahead', 500.0, {0.5}),
            ('', 3000.0, {-3.0, 3.0}),
        ],
    )
    def test_planned(self, how, ratio, jumps):
        entry = PlanEntry(
            at=1, kind='clock_step', how=how, ratio=ratio, share=0.8, for_s=4
        )
        spread = Spread(
            site=small_site(), hosts=small_hosts(), length_s=32, seed=1
        )
        plan = Planner(spread=spread).plan((entry,), None)

        assert {made.ratio for made in plan.disruptions} == jumps
        assert len(plan.disruptions) == 5
        assert {made.for_s for made in plan.disruptions} == {4}
        assert plan.not_played == ()

    # Guards against a clock that never comes back, or an excuse meanwhile.
    def test_played(self):
        clock, troubles = Clock(), []

        @contextlib.contextmanager
        def trouble(disruption):
            yield
            troubles.append(len(clock.jumps))

        stage = SimpleNamespace(
            nodes={'a': SimpleNamespace(clock=clock)}, trouble=trouble
        )
        jump = Disruption(at_s=1, kind='clock_step', host='a', ratio=2)
        elsewhere = Disruption(at_s=1, kind='clock_step', host='b', ratio=2)
        player = ClockPlayer(stage=stage)

        asyncio.run(player.play(jump))
        asyncio.run(player.play(elsewhere))

        assert clock.jumps == [2, -2]
        assert troubles == [1, 2]
