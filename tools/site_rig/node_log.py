"""The lines of a node's log that belong to a case."""

import pathlib
from collections.abc import Iterator

from tools.site_rig.cases import Case
from tools.site_rig.records import SignalKind

_EVENTS = ('"event":"node.', '"event":"fault')
_ENDS = tuple(kind for kind in SignalKind if kind != SignalKind.CONFIGURATION)
_MOST_LINES = 12
_NEAR_S = 8.0


def lines_of(case: Case, folder: pathlib.Path) -> list[str]:
    """Return the signals near a case and the lines of its node's log."""
    near = [
        f'{signal.at_s - case.request.sent_s:+.3f} {signal.kind} '
        f'{signal.detail}'
        for signal in case.signals
        if signal.kind in _ENDS
        and abs(signal.at_s - case.request.sent_s) < _NEAR_S
    ]
    path = folder / f'{case.request.host}.log'
    logged = list(_logged(path, case.request.attempt))
    return near + logged[-_MOST_LINES:]


def _logged(path: pathlib.Path, attempt: str) -> Iterator[str]:
    if not path.exists():
        return
    wanted = (f'"{attempt}"', *_EVENTS)
    with path.open(encoding='utf-8') as log:
        for line in log:
            if any(words in line for words in wanted):
                yield line.rstrip()
