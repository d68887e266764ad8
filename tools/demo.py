"""The demo: both deployments as separate processes on loopback.

Plays a normal period, a surge with hard retries of the callers, a store
outage and a host loss; once without the layer and once with it.
"""

import contextlib
import json
import pathlib
import sys
import tempfile
import time
from collections.abc import Sequence

import msgspec
from absl import app, flags

from tools.demonstration import table
from tools.demonstration.catalog import DEPLOYMENTS
from tools.demonstration.deployment import CUT, FULL
from tools.demonstration.errors import DemoError
from tools.demonstration.hosts import free_ports
from tools.demonstration.leg import Leg, Stage
from tools.demonstration.report import LegResult
from tools.demonstration.timeline import Timeline

_LINE_INTERVAL_S = 1.0
_FULL = flags.DEFINE_boolean(
    'full', default=False, help='Play the sizes of the field.'
)
_ONLY = flags.DEFINE_enum(
    'only',
    '',
    ['', *(deployment.name for deployment in DEPLOYMENTS)],
    'Play one deployment.',
)
_LEGS = flags.DEFINE_enum(
    'legs', 'both', ['both', 'with', 'without'], 'Play with or without layer.'
)
_BINARY = flags.DEFINE_string(
    'binary', '', 'Run nodes from this file in place of the source tree.'
)
_JSON = flags.DEFINE_string('json', '', 'Write the results to this file.')
_KEEP = flags.DEFINE_string('folder', '', 'Keep logs in this folder.')


class Show:
    """Plays all deployments at the same time, one layer choice at a time."""

    def __init__(self, *, stage: Stage, folder: pathlib.Path) -> None:
        self._stage = stage
        self._folder = folder
        self._ports = free_ports()

    def play(self, *, layered: bool) -> dict[str, LegResult]:
        """Return the results by deployment."""
        legs = [self._leg(name, layered=layered) for name in _chosen()]
        with contextlib.ExitStack() as ends:
            for leg in legs:
                ends.callback(leg.end)
            return self._play(legs)

    def _leg(self, name: str, *, layered: bool) -> Leg:
        kind = 'with' if layered else 'without'
        folder = self._folder / f'{name}-{kind}'
        folder.mkdir(parents=True)
        deployments = {one.name: one for one in DEPLOYMENTS}
        return Leg(
            deployment=deployments[name],
            stage=self._stage,
            folder=folder,
            ports=self._ports,
            layered=layered,
        )

    def _play(self, legs: list[Leg]) -> dict[str, LegResult]:
        began_s = time.monotonic()
        for leg in legs:
            leg.start()
        print(f'started in {time.monotonic() - began_s:.1f} s')
        for ready in legs:
            ready.start_callers()
        Director(legs=legs, timeline=self._stage.timeline).run()
        return {one.deployment.name: one.finish() for one in legs}


class Director:
    """Sets the faults at their times and prints the progress."""

    def __init__(self, *, legs: list[Leg], timeline: Timeline) -> None:
        self._legs = legs
        self._timeline = timeline
        self._started_s = time.monotonic()
        self._pending = [
            (timeline.outage_start_s, self._outage),
            (timeline.host_loss_s, self._host_loss),
            (timeline.outage_end_s, self._outage_end),
        ]

    def run(self) -> None:
        """Return at the end of the timeline."""
        at_s = self._elapsed_s()
        while at_s < self._timeline.end_s:
            self._act(at_s)
            self._print(at_s)
            time.sleep(_LINE_INTERVAL_S)
            at_s = self._elapsed_s()

    def _act(self, at_s: float) -> None:
        while self._pending and self._pending[0][0] <= at_s:
            action = self._pending.pop(0)[1]
            action()

    def _print(self, at_s: float) -> None:
        phase = self._timeline.phase(at_s)
        for leg in self._legs:
            name = leg.deployment.name
            print(table.progress_line(at_s, phase, name, leg.progress()))

    def _outage(self) -> None:
        for leg in self._legs:
            leg.set_outage(down=True)

    def _outage_end(self) -> None:
        for leg in self._legs:
            leg.set_outage(down=False)

    def _host_loss(self) -> None:
        for leg in self._legs:
            print(f'lost host {leg.lose_host()}')

    def _elapsed_s(self) -> float:
        return time.monotonic() - self._started_s


def main(_argv: Sequence[str]) -> int:
    """Play the demo and print the closing table."""
    sizes = FULL if _FULL.value else CUT
    stage = Stage(
        sizes=sizes,
        timeline=Timeline().stretched(sizes.time_factor),
        binary=_BINARY.value and str(pathlib.Path(_BINARY.value).resolve()),
    )
    with tempfile.TemporaryDirectory(prefix='fescueknot-demo-') as folder:
        place = pathlib.Path(_KEEP.value or folder)
        show = Show(stage=stage, folder=place)
        try:
            results = {kind: _leg(show, kind) for kind in _kinds()}
        except DemoError as error:
            print(f'demo: {error}; logs in {place}', file=sys.stderr)
            return 1
    _close(results)
    return 0


def _kinds() -> tuple[str, ...]:
    return ('without', 'with') if _LEGS.value == 'both' else (_LEGS.value,)


def _leg(show: Show, kind: str) -> dict[str, LegResult]:
    print(f'--- {kind} the layer')
    return show.play(layered=kind == 'with')


def _close(results: dict[str, dict[str, LegResult]]) -> None:
    document = msgspec.to_builtins(results)
    if _JSON.value:
        text = json.dumps(document, indent=2)
        pathlib.Path(_JSON.value).write_text(text, encoding='utf-8')
    first = next(iter(results.values()))
    for name in first:
        legs = {kind: played[name] for kind, played in results.items()}
        lines = table.closing_table(name, legs)
        print('\n'.join(lines))


def _chosen() -> list[str]:
    names = [deployment.name for deployment in DEPLOYMENTS]
    return [name for name in names if _ONLY.value in {'', name}]


if __name__ == '__main__':
    app.run(main, argv=sys.argv)
