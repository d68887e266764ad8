"""Client of the platform's object store over HTTP."""

import asyncio
import types
from urllib.parse import quote, urlencode

import msgspec

from fescueknot.decoding import DECODE_ERRORS, Count, Name
from fescueknot.httpio.client import Client, ClientSettings
from fescueknot.httpio.errors import AnswerLostError, NotSentError
from fescueknot.httpio.messages import Request, Response
from fescueknot.identity import Address
from fescueknot.objectapi.async_store import AsyncObjectStore
from fescueknot.objectapi.errors import (
    Compacted,
    Conflict,
    NotFound,
    ObjectApiError,
    OutcomeUnknown,
    RateLimited,
    Unavailable,
)
from fescueknot.objectapi.messages import (
    Change,
    Listing,
    StoredObject,
    WatchBatch,
)
from fescueknot.platform.nesting import UnreadableTextError, cut_deep_parts

_PATH = '/v1/objects'
_MS_PER_S = 1000
_ANSWER_TIMEOUT_S = 1.0
_FIRST_ERROR_STATUS = 400
_CLIENT_SETTINGS = ClientSettings(
    connect_timeout_s=0.5,
    max_idle_s=60,
    unacknowledged_timeout_s=1.5,
    max_idle_connections=3,
)
_READ_ERRORS = (UnreadableTextError, *DECODE_ERRORS)
_JSON_CONTENT_TYPE = ('content-type', 'application/json')
_ERROR_BY_STATUS = types.MappingProxyType(
    {
        404: NotFound,
        409: Conflict,
        410: Compacted,
        429: RateLimited,
        503: Unavailable,
    }
)


class _Metadata(msgspec.Struct, rename='camel'):
    """``create_revision`` distinguishes successive objects with one name."""

    name: Name
    revision: Count = 0
    create_revision: Count = 0


class _Object(msgspec.Struct, rename='camel'):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b'null')


class _NamedMetadata(msgspec.Struct):
    name: Name


class _NamedObject(msgspec.Struct):
    """The part of an object that a listing is continued by."""

    metadata: _NamedMetadata


class _Page(msgspec.Struct, rename='camel'):
    """One page of a listing; ``as_of`` is its revision."""

    items: tuple[msgspec.Raw, ...]
    has_more: bool = False
    as_of: Count = 0


class _Event(msgspec.Struct, rename='camel'):
    object: msgspec.Raw
    removed: bool = False


class _Events(msgspec.Struct, rename='camel'):
    as_of: Count
    events: tuple[_Event, ...] = ()


class PlatformStore(AsyncObjectStore):
    """The platform's object store; failed requests are not retried."""

    def __init__(self, *, address: Address) -> None:
        self._client = Client(address=address, settings=_CLIENT_SETTINGS)
        self._host = ('host', str(address))

    async def list(self, kind: str, *, stale: bool = False) -> Listing:
        """Return all objects of a kind."""
        objects: list[StoredObject] = []
        after = ''
        revision = 0
        unreadable = 0
        while True:
            page = await self._page(kind, after, stale=stale)
            decoded = [_decode_object(kind, raw) for raw in page.items]
            objects.extend(stored for stored in decoded if stored is not None)
            unreadable += decoded.count(None)
            revision = min(revision or page.as_of, page.as_of)
            if not page.has_more:
                return Listing(
                    objects=tuple(objects),
                    revision=revision,
                    unreadable=unreadable,
                )
            after = _last_name(page, after)

    async def get(self, key: str) -> StoredObject | None:
        """Return the current object; ``None`` if missing or unreadable."""
        try:
            response = await self._read(f'{_PATH}/{quote(key)}')
        except NotFound:
            return None
        return _decode_object(key.partition('/')[0], response.body)

    async def watch(
        self,
        kind: str,
        since_revision: int,
        timeout_s: float,
        *,
        stale: bool = False,
    ) -> WatchBatch:
        """Wait up to ``timeout_s`` for changes after ``since_revision``."""
        query = _query(
            watch=max(since_revision, 1),
            waitMs=int(timeout_s * _MS_PER_S),
            staleOk=int(stale),
        )
        response = await self._read(
            f'{_PATH}/{kind}{query}', extra_timeout_s=timeout_s
        )
        events = _decode(response, _Events)
        changes = [_decode_change(kind, event) for event in events.events]
        return WatchBatch(
            events=tuple(change for change in changes if change),
            revision=max(events.as_of, since_revision),
            unreadable=changes.count(None),
        )

    async def put(
        self, key: str, value: str, *, likely_new: bool = False
    ) -> StoredObject:
        """Create or replace an object."""
        methods = ('POST', 'PUT') if likely_new else ('PUT', 'POST')
        try:
            return await self._write(methods[0], key, value)
        except (NotFound, Conflict):
            return await self._write(methods[1], key, value)

    async def delete(self, key: str) -> None:
        """Remove an object, if it exists."""
        request = Request(
            method='DELETE',
            target=f'{_PATH}/{quote(key)}',
            headers=(self._host,),
        )
        try:
            await self._exchange(request, error_if_lost=OutcomeUnknown)
        except NotFound:
            return

    async def _page(self, kind: str, after: str, *, stale: bool) -> _Page:
        query = _query(after=after, staleOk=int(stale))
        response = await self._read(f'{_PATH}/{kind}{query}')
        return _decode(response, _Page)

    async def _read(self, path: str, extra_timeout_s: float = 0) -> Response:
        request = Request(method='GET', target=path, headers=(self._host,))
        return await self._exchange(
            request, error_if_lost=Unavailable, extra_timeout_s=extra_timeout_s
        )

    async def _write(self, method: str, key: str, value: str) -> StoredObject:
        kind, _, name = key.partition('/')
        path = f'{_PATH}/{kind}'
        if method == 'PUT':
            path = f'{path}/{quote(name)}'
        body = msgspec.json.encode(
            {'metadata': {'name': name}, 'spec': msgspec.Raw(value.encode())}
        )
        request = Request(
            method=method,
            target=path,
            headers=(self._host, _JSON_CONTENT_TYPE),
            body=body,
        )
        response = await self._exchange(request, error_if_lost=OutcomeUnknown)
        stored = _decode_object(kind, response.body)
        if stored is None:
            raise OutcomeUnknown(f'cannot decode the response to writing {key}')
        return stored

    async def _exchange(
        self,
        request: Request,
        *,
        error_if_lost: type[ObjectApiError],
        extra_timeout_s: float = 0,
    ) -> Response:
        try:
            response = await asyncio.wait_for(
                self._client.exchange(request),
                extra_timeout_s + _ANSWER_TIMEOUT_S,
            )
        except NotSentError as error:
            raise Unavailable(str(error)) from error
        except (AnswerLostError, TimeoutError) as error:
            self._client.close()
            raise error_if_lost(f'{request.target}: {error!r}') from error
        if response.status >= _FIRST_ERROR_STATUS:
            error_type = _ERROR_BY_STATUS.get(response.status, error_if_lost)
            raise error_type(f'status {response.status} for {request.target}')
        return response


def _query(**options: str | int) -> str:
    """Return the query string of the options that are neither 0 nor empty."""
    set_options = {name: value for name, value in options.items() if value}
    return f'?{urlencode(set_options)}' if set_options else ''


def _decode(response: Response, message_type):
    """Decode a response; parts that are nested too deeply are left out."""
    try:
        return _decode_nested(response.body, message_type)
    except _READ_ERRORS as error:
        raise Unavailable(f'cannot decode the response: {error}') from error


def _decode_nested(body: bytes, message_type):
    try:
        return msgspec.json.decode(body, type=message_type)
    except RecursionError:
        return msgspec.json.decode(cut_deep_parts(body), type=message_type)


def _last_name(page: _Page, before: str) -> str:
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


def _decode_object(kind: str, raw: msgspec.Raw | bytes) -> StoredObject | None:
    """Return the object, or ``None`` if it cannot be decoded."""
    try:
        document = msgspec.json.decode(raw, type=_Object)
        text = bytes(document.spec).decode()
    except DECODE_ERRORS:
        return None
    return StoredObject(
        key=f'{kind}/{document.metadata.name}',
        value=text,
        version=document.metadata.revision,
        revision=document.metadata.revision,
        created_revision=document.metadata.create_revision,
    )


def _decode_change(kind: str, event: _Event) -> Change | None:
    stored = _decode_object(kind, event.object)
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
