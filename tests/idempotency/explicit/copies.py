"""Copies and signatures of the mutable parts of a model.

Immutable parts are shared between copies. A signature refers to them by
number, so equal states have equal signatures whichever steps led to them.
"""

import enum
import marshal
import types
from typing import TypeVar

import msgspec

from fescueknot.idempotency.losses import LossIndex
from fescueknot.idempotency.ownership import KeyOwnership

_Part = TypeVar('_Part')
_MARSHAL_VERSION = 2
_SCALARS = frozenset((int, float, bool, type(None)))
_SHARED = frozenset((str, bytes, KeyOwnership, LossIndex, tuple))


class _Kind(enum.Enum):
    SCALAR = 0
    SHARED = 1
    DICT = 2
    FLAT = 3
    OBJECT = 4


def _classify(kind: type) -> _Kind:
    if kind in _SCALARS:
        return _Kind.SCALAR
    if kind in _SHARED or issubclass(kind, msgspec.Struct):
        return _Kind.SHARED
    if kind is dict:
        return _Kind.DICT
    return _Kind.FLAT if kind in {list, set} else _Kind.OBJECT


class _Kinds(dict[type, _Kind]):
    """Cached kinds of types."""

    def __missing__(self, kind: type) -> _Kind:
        self[kind] = _classify(kind)
        return self[kind]


_KINDS = _Kinds()


def copy_part(part: _Part, memo: dict[int, object]) -> _Part:
    """Return a deep copy that shares immutable parts."""
    kind = _KINDS[type(part)]
    if kind is _Kind.OBJECT:
        return _copy_object(part, memo)
    if kind is _Kind.DICT:
        return {key: copy_part(val, memo) for key, val in part.items()}
    return part.copy() if kind is _Kind.FLAT else part


def _copy_object(part: _Part, memo: dict[int, object]) -> _Part:
    known = memo.get(id(part))
    if known is not None:
        return known
    copied = object.__new__(type(part))
    memo[id(part)] = copied
    fields = copied.__dict__
    for name, val in part.__dict__.items():
        fields[name] = copy_part(val, memo)
    return copied


class Signatures:
    """Numbers of immutable parts, and signatures built from them."""

    def __init__(self) -> None:
        self._numbers: dict[object, int] = {}
        self._by_id: dict[int, int] = {}
        self._referenced: list[object] = []

    def sign(self, part: object) -> bytes:
        """Return the signature of a part."""
        out: list[object] = []
        self._write(part, out, {})
        return marshal.dumps(out, _MARSHAL_VERSION)

    def of_dict(self, part: dict[object, object]) -> list[object]:
        """Return keys and values in the order of the keys' numbers."""
        pairs = sorted((self._number(key), key) for key in part)
        return [child for number, key in pairs for child in (number, part[key])]

    def of_set(self, part: set[object]) -> list[object]:
        """Return the numbers of the elements, sorted."""
        return sorted(map(self._number, part))

    def _write(
        self, part: object, out: list[object], memo: dict[int, int]
    ) -> None:
        kind = _KINDS[type(part)]
        if kind is _Kind.SCALAR:
            out.append(part)
        elif kind is _Kind.SHARED:
            out.append(self._number(part))
        elif kind is _Kind.OBJECT:
            self._write_object(part, out, memo)
        else:
            self._write_container(part, out, memo)

    def _write_object(
        self, part: object, out: list[object], memo: dict[int, int]
    ) -> None:
        known = memo.get(id(part))
        if known is not None:
            out.append(known)
            return
        memo[id(part)] = -len(memo)
        by_id = self._by_id
        for child in part.__dict__.values():
            kind = _KINDS[type(child)]
            if kind is _Kind.SCALAR:
                out.append(child)
            elif kind is _Kind.SHARED:
                number = by_id.get(id(child))
                out.append(self._number(child) if number is None else number)
            else:
                self._write(child, out, memo)

    def _write_container(
        self, part: object, out: list[object], memo: dict[int, int]
    ) -> None:
        out.append(len(part))
        if part:
            for child in _CHILDREN[type(part)](self, part):
                self._write(child, out, memo)

    def _number(self, part: object) -> int:
        number = self._by_id.get(id(part))
        if number is None:
            number = self._numbers.setdefault(part, len(self._numbers))
            self._by_id[id(part)] = number
            self._referenced.append(part)
        return number


_CHILDREN = types.MappingProxyType(
    {
        dict: Signatures.of_dict,
        set: Signatures.of_set,
        list: lambda signatures, part: part,
    }
)
