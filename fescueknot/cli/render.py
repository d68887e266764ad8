"""Plain-text layout of JSON documents: lines of leaves and tables."""

import types
from collections.abc import Iterable, Iterator, Sequence
from typing import Any

_COLUMN_SEPARATOR = '  '


def leaf_lines(document: Any, prefix: str = '') -> Iterator[str]:
    """Yield a line ``path: value`` for each leaf of ``document``."""
    children = list(_children(document, prefix))
    for path, child in children:
        yield from leaf_lines(child, path)
    if not children:
        yield f'{prefix}: {_cell(document)}'


def table_lines(rows: Sequence[dict[str, Any]]) -> Iterator[str]:
    """Yield the lines of a table with every column that occurs in ``rows``."""
    columns = list(dict.fromkeys(_column_names(rows)))
    grid = [columns, *(_row(row, columns) for row in rows)]
    by_column = zip(*grid, strict=True)
    widths = [max(map(len, cells)) for cells in by_column]
    for cells in grid:
        padded = map(str.ljust, cells, widths)
        yield _COLUMN_SEPARATOR.join(padded).rstrip()


def _children(document: Any, prefix: str) -> Iterator[tuple[str, Any]]:
    if isinstance(document, dict):
        for name, value in document.items():
            yield f'{prefix}.{name}'.lstrip('.'), value
    if isinstance(document, list):
        for index, value in enumerate(document):
            yield f'{prefix}[{index}]', value


def _column_names(rows: Iterable[dict[str, Any]]) -> Iterator[str]:
    for row in rows:
        yield from row


def _row(row: dict[str, Any], columns: Sequence[str]) -> list[str]:
    return [_cell(row.get(column, '')) for column in columns]


def _cell(value: Any) -> str:
    to_text = _CELL_FORMATTERS.get(type(value), str)
    return to_text(value)


def _float_cell(number: float) -> str:
    return f'{number:.3f}'.rstrip('0').rstrip('.')


def _dict_cell(values: dict[str, Any]) -> str:
    texts = [f'{key}={_cell(value)}' for key, value in values.items()]
    return ' '.join(texts)


def _list_cell(values: list[Any]) -> str:
    return ','.join(map(_cell, values))


def _none_cell(_: None) -> str:
    return '-'


def _bool_cell(is_true: bool) -> str:
    return 'yes' if is_true else 'no'


_CELL_FORMATTERS = types.MappingProxyType(
    {
        float: _float_cell,
        dict: _dict_cell,
        list: _list_cell,
        bool: _bool_cell,
        type(None): _none_cell,
    }
)
