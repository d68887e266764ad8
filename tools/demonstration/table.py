"""The demo's printed lines."""

from collections.abc import Iterable, Iterator

from tools.demonstration.report import ClassResult, LegResult

_CLASSES = ('critical', 'high', 'normal', 'low')
_COUNTS = (
    ('  at-most-once work run twice', 'duplicates'),
    ('  answers mismatched', 'mismatched'),
    ('  refused as "not run", but run', 'false_refusals'),
    ('  answered well, but not run', 'lost_work'),
)


def progress_line(
    at_s: float, phase: str, name: str, classes: dict[str, ClassResult]
) -> str:
    """Return one live line."""
    parts = [
        f'{label} {classes[label].good}/{classes[label].offered}'
        for label in _CLASSES
        if label in classes
    ]
    return f'{at_s:5.1f} s  {phase:<24}{name:<15} {"  ".join(parts)}'


def closing_table(name: str, legs: dict[str, LegResult]) -> Iterator[str]:
    """Yield the lines for one deployment; a column for each leg."""
    results = tuple(legs.values())
    yield _columns(name, [f'{kind} layer' for kind in legs])
    for label in _CLASSES:
        texts = [_goodput(result.classes, label) for result in results]
        yield _columns(f'  goodput {label}', texts)
    recoveries = [_recovery(result.recovery_s) for result in results]
    yield _columns('  recovery after surge', recoveries)
    for title, field in _COUNTS:
        counts = [str(getattr(result, field)) for result in results]
        yield _columns(title, counts)


def _columns(title: str, texts: Iterable[str]) -> str:
    cells = ''.join(f'{text:>18}' for text in texts)
    return f'{title:<34}{cells}'


def _goodput(classes: dict[str, ClassResult], label: str) -> str:
    if label not in classes:
        return '-'
    result = classes[label]
    return f'{result.percent:.1f}% of {result.offered}'


def _recovery(recovery_s: float | None) -> str:
    return 'not in time' if recovery_s is None else f'{recovery_s:.0f} s'
