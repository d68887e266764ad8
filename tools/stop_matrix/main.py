"""Plays cells: ``python -m tools.stop_matrix.main --code A B --play stop``.

A cell is what one kind of clients does while one trouble is played to nodes of
one state of the code.
"""

import argparse
import asyncio
import itertools
import pathlib
import sys
import tempfile
import types

from tools.stop_matrix.behaviours import BEHAVIOURS
from tools.stop_matrix.changes import CHANGES
from tools.stop_matrix.field import Field, Play
from tools.stop_matrix.stops import STOPS
from tools.stop_matrix.summary import print_summary

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_MS_PER_S = 1000
TROUBLES = types.MappingProxyType({**STOPS, **CHANGES})


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--code',
        type=pathlib.Path,
        nargs='+',
        default=[_ROOT],
        help='folders that have the program of the nodes',
    )
    parser.add_argument(
        '--play', nargs='+', choices=TROUBLES, default=list(TROUBLES)
    )
    parser.add_argument(
        '--clients', nargs='+', choices=BEHAVIOURS, default=list(BEHAVIOURS)
    )
    parser.add_argument('--delay-ms', type=float, default=0)
    parser.add_argument('--runs', type=int, default=1)
    parser.add_argument('--keep', type=pathlib.Path, help='folder of records')
    return parser.parse_args()


def _play(options: argparse.Namespace, trouble: str, code: pathlib.Path) -> int:
    label = f'{code.name}-{trouble}-'
    folder = tempfile.mkdtemp(prefix=label, dir=options.keep)
    play = Play(
        code=code.resolve(),
        folder=pathlib.Path(folder),
        behaviours=tuple(options.clients),
        delay_s=options.delay_ms / _MS_PER_S,
    )
    asyncio.run(Field(play=play).run(TROUBLES[trouble]))
    return print_summary(play.folder)


def main() -> int:
    """Play all cells, those of one trouble together."""
    options = _parse()
    cells = itertools.product(options.play * options.runs, options.code)
    lost = sum([_play(options, *cell) for cell in cells])
    return 1 if lost else 0


if __name__ == '__main__':
    sys.exit(main())
