"""Writes docs/SETTINGS.md from the settings' data classes.

Run ``python -m tools.settings_reference`` after a change of the settings.
"""

import json
import pathlib
import typing
from collections.abc import Iterator

import msgspec

from fescueknot.settings.model import NodeSettings

PAGE = pathlib.Path(__file__).resolve().parent.parent / 'docs/SETTINGS.md'
_HEAD = """# Settings of a node

Generated from `fescueknot/settings/` by `python -m tools.settings_reference`.

The file is JSON. It is checked whole before anything starts: an unknown
field, a wrong type, a value out of bounds, a wrong unit suffix and fields that
contradict each other are all named at once, and the exit code is 2. Try it
with `fescueknot settings-check FILE`; `fescueknot schema` prints the JSON
Schema for editors.

Field names carry their unit: `_s` seconds, `_ms` milliseconds, `_bytes` bytes.
Hosts are IP numbers, ports 1 to 65535.
"""
_COLUMNS = '| field | type | default | bounds | meaning |'
_RULE = '| --- | --- | --- | --- | --- |'


def page_text() -> str:
    """Return the whole page."""
    sections = [_HEAD, *_sections(NodeSettings, 'The file')]
    return '\n'.join(sections)


def _sections(model: typing.Any, title: str) -> Iterator[str]:
    fields = msgspec.structs.fields(model)
    yield f'## {title}\n'
    yield _COLUMNS
    yield _RULE
    yield from (_row(field) for field in fields)
    yield ''
    for nested in fields:
        plain = _plain(nested.type)
        if _has_own_section(plain):
            yield from _sections(plain, f'`{nested.name}`')


def _row(field: typing.Any) -> str:
    schema = msgspec.json.schema(field.type)
    cells = (
        f'`{field.name}`',
        _type_name(field.type),
        _default(field),
        _bounds(schema),
        schema.get('description', ''),
    )
    return f'| {" | ".join(cells)} |'


def _type_name(model: typing.Any) -> str:
    plain = _plain(model)
    if typing.get_origin(plain) is tuple:
        return f'list of {_type_name(typing.get_args(plain)[0])}'
    return f'`{plain.__name__}`'


def _default(field: typing.Any) -> str:
    if field.required:
        return 'required'
    if _has_own_section(_plain(field.type)):
        return 'see below'
    return f'`{json.dumps(msgspec.to_builtins(field.default))}`'


def _bounds(schema: dict[str, typing.Any]) -> str:
    named = (
        ('minimum', 'from'),
        ('maximum', 'to'),
        ('minLength', 'characters, at least'),
        ('minItems', 'entries, at least'),
        ('pattern', 'matches'),
    )
    parts = [
        f'{words} {schema[keyword]}'
        for keyword, words in named
        if keyword in schema
    ]
    return ' '.join(parts)


def _plain(model: typing.Any) -> typing.Any:
    if typing.get_origin(model) is typing.Annotated:
        return typing.get_args(model)[0]
    return model


def _has_own_section(plain: typing.Any) -> bool:
    own = isinstance(plain, type) and issubclass(plain, msgspec.Struct)
    return own and plain.__module__.startswith('fescueknot.settings')


if __name__ == '__main__':
    PAGE.write_text(page_text(), encoding='utf-8')
