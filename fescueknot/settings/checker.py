"""Validates decoded JSON against a struct and collects all problems.

``msgspec.convert`` stops at the first problem. Here structs are checked field
by field, and ``msgspec`` checks their other values one by one.
"""

import json
import typing
from collections.abc import Iterator

import msgspec

from fescueknot.settings import field_hints
from fescueknot.settings.errors import Problem

_MAX_SHOWN_CHARACTERS = 60


def check(document: object, model: object, path: str = '') -> Iterator[Problem]:
    """Yield all problems of ``document`` as JSON of the type ``model``."""
    unannotated = _without_annotation(model)
    if _is_struct(unannotated):
        yield from _check_struct(document, unannotated, path)
    elif _is_struct_list(unannotated) and isinstance(document, list):
        yield from _check_leaf(document, model, path)
        member_type = typing.get_args(unannotated)[0]
        for index, entry in enumerate(document):
            yield from check(entry, member_type, f'{path}[{index}]')
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
        reason = f'expected an object, found {_abbreviated(document)}'
        yield Problem(field=path or 'the file', reason=reason)
        return
    fields = {field.name: field for field in msgspec.structs.fields(model)}
    for name in document.keys() - fields.keys():
        reason = f'unknown field; {field_hints.hint(name, fields)}'
        yield Problem(field=_join(path, name), reason=reason)
    for name in fields.keys() - document.keys():
        yield from _check_missing(fields[name], _join(path, name))
    for name in fields.keys() & document.keys():
        field_type = fields[name].type
        yield from check(document[name], field_type, _join(path, name))


def _check_missing(field: typing.Any, path: str) -> Iterator[Problem]:
    if field.required:
        reason = f'missing; expected {_expected_type(field.type)}'
        yield Problem(field=path, reason=reason)


def _check_leaf(
    document: object, model: object, path: str
) -> Iterator[Problem]:
    try:
        msgspec.convert(document, model)
    except msgspec.ValidationError as error:
        reason, _, nested_path = str(error).partition(' - at ')
        if not nested_path:
            message = reason.replace('`', '').replace('Expected', 'expected')
            abbreviated = _abbreviated(document)
            yield Problem(field=path, reason=f'{message}; found {abbreviated}')


def _abbreviated(document: object) -> str:
    text = json.dumps(document, ensure_ascii=False)
    if len(text) <= _MAX_SHOWN_CHARACTERS:
        return text
    return f'{text[:_MAX_SHOWN_CHARACTERS]}...'


def _expected_type(model: object) -> str:
    unannotated = _without_annotation(model)
    if _is_struct(unannotated):
        names = [field.name for field in msgspec.structs.fields(unannotated)]
        return f'an object with {", ".join(names)}'
    if typing.get_origin(unannotated) is tuple:
        return 'a list'
    return getattr(unannotated, '__name__', str(unannotated))


def _join(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name
