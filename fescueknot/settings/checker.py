"""Checks decoded JSON against a struct and collects all faults.

``msgspec.convert`` stops at the first fault. The walk here goes field by
field and leaves the check of each leaf to ``msgspec``.
"""

import json
import typing
from collections.abc import Iterator

import msgspec

from fescueknot.settings.errors import Problem

_SHOWN_CHARACTERS = 60


def check(document: object, model: object, path: str = '') -> Iterator[Problem]:
    """Yield every fault of ``document`` as a JSON form of ``model``."""
    plain = _without_annotation(model)
    if _is_struct(plain):
        yield from _check_struct(document, plain, path)
    elif _is_struct_list(plain) and isinstance(document, list):
        yield from _check_leaf(document, model, path)
        member = typing.get_args(plain)[0]
        for index, entry in enumerate(document):
            yield from check(entry, member, f'{path}[{index}]')
    else:
        yield from _check_leaf(document, model, path)


def _without_annotation(model: object) -> object:
    if typing.get_origin(model) is typing.Annotated:
        return typing.get_args(model)[0]
    return model


def _is_struct(model: object) -> bool:
    return isinstance(model, type) and issubclass(model, msgspec.Struct)


def _is_struct_list(model: object) -> bool:
    arguments = typing.get_args(model)
    return typing.get_origin(model) is tuple and _is_struct(arguments[0])


def _check_struct(
    document: object, model: typing.Any, path: str
) -> Iterator[Problem]:
    if not isinstance(document, dict):
        reason = f'expected an object, found {_shown(document)}'
        yield Problem(field=path or 'the file', reason=reason)
        return
    fields = {field.name: field for field in msgspec.structs.fields(model)}
    for name in document.keys() - fields.keys():
        reason = f'unknown field; {units.hint(name, fields)}'
        yield Problem(field=_join(path, name), reason=reason)
    for missing in fields.keys() - document.keys():
        yield from _check_missing(fields[missing], _join(path, missing))
    for given in fields.keys() & document.keys():
        field_type = fields[given].type
        yield from check(document[given], field_type, _join(path, given))


def _check_missing(field: typing.Any, path: str) -> Iterator[Problem]:
    if field.required:
        reason = f'missing; expected {_expected(field.type)}'
        yield Problem(field=path, reason=reason)


def _check_leaf(
    document: object, model: object, path: str
) -> Iterator[Problem]:
    try:
        msgspec.convert(document, model)
    except msgspec.ValidationError as error:
        reason, _, inner = str(error).partition(' - at ')
        if not inner:
            stated = reason.replace('`', '').replace('Expected', 'expected')
            shown = _shown(document)
            yield Problem(field=path, reason=f'{stated}; found {shown}')


def _shown(document: object) -> str:
    text = json.dumps(document, ensure_ascii=False)
    if len(text) <= _SHOWN_CHARACTERS:
        return text
    return f'{text[:_SHOWN_CHARACTERS]}...'


def _expected(model: object) -> str:
    plain = _without_annotation(model)
    if _is_struct(plain):
        names = [field.name for field in msgspec.structs.fields(plain)]
        return f'an object with {", ".join(names)}'
    if typing.get_origin(plain) is tuple:
        return 'a list'
    return getattr(plain, '__name__', str(plain))


def _join(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name
