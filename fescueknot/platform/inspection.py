"""Reads a configuration field by field, for the check before it is sent.

The decoder stops at the first field that it can't read. Here each field is
decoded on its own, so that all of them are reported; an entry with such a
field is left out. No text of a problem contains a value, as some are keys.
"""

from collections.abc import Iterable, Iterator
from typing import Any, get_args, get_origin

import msgspec

from fescueknot.decoding import DECODE_ERRORS
from fescueknot.platform.configuration import (
    Cluster,
    Document,
    Listener,
    Rule,
    Tenant,
    configuration_of,
)
from fescueknot.platform.inspection_hints import (
    hints_on_names,
    hints_on_values,
)
from fescueknot.relay.adapter import UnreadableError
from fescueknot.routes.findings import Finding, Inspection

# Elements of lists that can be left out without changing the others.
_ENTRIES = frozenset((Listener, Rule, Cluster, Tenant))
# In place of a version that can't be read.
_UNKNOWN_VERSION = '0'
_UNREADABLE = 'unreadable'
_WHOLE = 'configuration'
_Fields = dict[str, msgspec.Raw]


def inspect(text: str) -> Inspection:
    """Read a configuration and report all fields that can't be read.

    Raises :class:`UnreadableError` if the text is not a JSON object.
    """
    try:
        fields = msgspec.json.decode(text, type=_Fields)
    except DECODE_ERRORS as error:
        raise UnreadableError(str(error)) from error
    reader = _FieldReader()
    document = reader.document(fields)
    errors = reader.errors or _remaining_errors(text)
    return Inspection(
        configuration=configuration_of(document),
        errors=tuple(errors),
        hints=(*reader.hints, *hints_on_values(document)),
    )


class _FieldReader:
    """Decodes fields one by one and collects what is wrong with them.

    The methods return ``msgspec.UNSET`` in place of what can't be read.
    """

    def __init__(self) -> None:
        self.errors: list[Finding] = []
        self.hints: list[Finding] = []

    def document(self, fields: _Fields) -> Document:
        """Return the document without the fields that can't be read."""
        content = self._contents(fields, Document, '')
        readable = {
            name: field
            for name, field in content.items()
            if field is not msgspec.UNSET
        }
        readable.setdefault('version', _UNKNOWN_VERSION)
        return Document(**readable)

    def _read(self, raw: msgspec.Raw, kind: Any, path: str) -> Any:
        if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
            return self._struct(raw, kind, path)
        if get_origin(kind) is tuple:
            return self._list(raw, get_args(kind)[0], path)
        return self._decode(raw, kind, path)

    def _struct(
        self, raw: msgspec.Raw, kind: type[msgspec.Struct], path: str
    ) -> Any:
        fields = self._decode(raw, _Fields, path)
        if fields is msgspec.UNSET:
            return msgspec.UNSET
        content = self._contents(fields, kind, path)
        if _has_unset(content.values()):
            return msgspec.UNSET
        return kind(**content)

    def _list(self, raw: msgspec.Raw, kind: Any, path: str) -> Any:
        members = self._decode(raw, list[msgspec.Raw], path)
        if members is msgspec.UNSET:
            return msgspec.UNSET
        content = [
            self._read(member, kind, f'{path}[{index}]')
            for index, member in enumerate(members)
        ]
        if kind in _ENTRIES:
            return tuple(
                entry for entry in content if entry is not msgspec.UNSET
            )
        return msgspec.UNSET if _has_unset(content) else tuple(content)

    def _contents(
        self, fields: _Fields, kind: type[msgspec.Struct], path: str
    ) -> dict[str, Any]:
        """Return what the fields of a struct hold, by their names in it."""
        known_fields = msgspec.structs.fields(kind)
        known_names = [field.encode_name for field in known_fields]
        self.hints.extend(hints_on_names(fields, known_names, path))
        content = {}
        for field in known_fields:
            name = field.encode_name
            raw = fields.get(name)
            if raw is not None:
                content[field.name] = self._read(
                    raw, field.type, f'{path}.{name}'.lstrip('.')
                )
            elif field.required:
                content[field.name] = msgspec.UNSET
                self.errors.append(_missing(name, path))
        return content

    def _decode(self, raw: msgspec.Raw, kind: Any, path: str) -> Any:
        try:
            return msgspec.json.decode(raw, type=kind)
        except DECODE_ERRORS as error:
            self.errors.append(_unreadable(path, error))
        return msgspec.UNSET


def _has_unset(content: Iterable[Any]) -> bool:
    return any(member is msgspec.UNSET for member in content)


def _missing(name: str, path: str) -> Finding:
    return Finding(
        check=_UNREADABLE,
        place=path or _WHOLE,
        problem=f'the field "{name}" is missing',
        fix='add it',
    )


def _unreadable(place: str, error: Exception) -> Finding:
    return Finding(
        check=_UNREADABLE,
        place=place,
        problem=str(error),
        fix='write what is expected',
    )


def _remaining_errors(text: str) -> Iterator[Finding]:
    """Yield what the nodes' decoder refuses although each field is good."""
    try:
        msgspec.json.decode(text, type=Document)
    except DECODE_ERRORS as error:
        yield _unreadable(_WHOLE, error)
