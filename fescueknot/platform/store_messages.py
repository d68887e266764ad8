"""Messages of the platform's object store, and how they are decoded."""

from typing import Annotated

import msgspec

from fescueknot.decoding import DECODE_ERRORS, Name
from fescueknot.httpio.messages import Body, Response
from fescueknot.objectapi.errors import Unavailable
from fescueknot.objectapi.messages import Change, StoredObject
from fescueknot.objectapi.revisions import MAX_COUNTER, MAX_ERA, revision_of
from fescueknot.platform.nesting import UnreadableTextError, cut_deep_parts

# In all answers: rises each time that the store comes back from an older copy.
_ERA_HEADER = 'store-era'
_MAX_ERA_DIGITS = 5
_READ_ERRORS = (UnreadableTextError, *DECODE_ERRORS)
_Counter = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNTER)]


class _Metadata(msgspec.Struct, rename='camel'):
    """``create_revision`` distinguishes successive objects with one name."""

    name: Name
    revision: _Counter = 0
    create_revision: _Counter = 0


class _Object(msgspec.Struct, rename='camel'):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b'null')


class _NamedMetadata(msgspec.Struct):
    name: Name


class _NamedObject(msgspec.Struct):
    """The part of an object that a listing is continued by."""

    metadata: _NamedMetadata


class Page(msgspec.Struct, rename='camel'):
    """One page of a listing; ``as_of`` is the store's counter at it."""

    items: tuple[msgspec.Raw, ...]
    has_more: bool = False
    as_of: _Counter = 0


class Event(msgspec.Struct, rename='camel'):
    """A change of an object, or its removal."""

    object: msgspec.Raw
    removed: bool = False


class Events(msgspec.Struct, rename='camel'):
    """The changes that a watch has seen up to ``as_of``."""

    as_of: _Counter
    events: tuple[Event, ...] = ()


def era_of_response(response: Response) -> int:
    """Return the store's era, 0 if it names none.

    Raises :class:`Unavailable` if it can't be read.
    """
    text = response.header(_ERA_HEADER)
    if text is None:
        return 0
    is_number = text.isascii() and text.isdecimal()
    is_number = is_number and len(text) <= _MAX_ERA_DIGITS
    if not is_number or int(text) > MAX_ERA:
        raise Unavailable(f'cannot read the era {text!r}')
    return int(text)


def decode(response: Response, message_type):
    """Decode a response; parts that are nested too deeply are left out."""
    try:
        return _decode_nested(response.body, message_type)
    except _READ_ERRORS as error:
        raise Unavailable(f'cannot decode the response: {error}') from error


def _decode_nested(body: Body, message_type):
    try:
        return msgspec.json.decode(body, type=message_type)
    except RecursionError:
        return msgspec.json.decode(cut_deep_parts(body), type=message_type)


def last_name(page: Page, before: str) -> str:
    """Return the name by which to continue a listing after a page.

    Raises :class:`Unavailable` if no object of the page shows its name.
    """
    for raw in reversed(page.items):
        try:
            named = msgspec.json.decode(raw, type=_NamedObject)
        except DECODE_ERRORS:
            continue
        if named.metadata.name > before:
            return named.metadata.name
    raise Unavailable('no object of a page can be read')


def decode_object(
    kind: str, raw: msgspec.Raw | bytes, era: int
) -> StoredObject | None:
    """Return the object, or ``None`` if it cannot be decoded."""
    try:
        document = msgspec.json.decode(raw, type=_Object)
        text = bytes(document.spec).decode()
    except DECODE_ERRORS:
        return None
    metadata = document.metadata
    revision = revision_of(era, metadata.revision)
    return StoredObject(
        key=f'{kind}/{metadata.name}',
        value=text,
        version=revision,
        revision=revision,
        created_revision=revision_of(era, metadata.create_revision),
    )


def decode_change(kind: str, event: Event, era: int) -> Change | None:
    """Return a change, or ``None`` if its object cannot be decoded."""
    stored = decode_object(kind, event.object, era)
    if stored is None:
        return None
    return Change(
        key=stored.key,
        value=stored.value,
        version=stored.version,
        revision=stored.revision,
        created_revision=stored.created_revision,
        deleted=event.removed,
    )
