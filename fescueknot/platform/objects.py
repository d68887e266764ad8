"""The platform's object store over HTTP."""

import asyncio
import types
from urllib.parse import quote, urlencode

import msgspec

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

_PATH = '/v1/objects'
_MS_PER_S = 1000
_ANSWER_TIMEOUT_S = 1.0
_FIRST_ERROR_STATUS = 400
_CLIENT = ClientSettings(
    connect_timeout_s=0.5,
    max_idle_s=60,
    unacknowledged_timeout_s=1.5,
    max_idle_connections=3,
)
_JSON = ('content-type', 'application/json')
_ERRORS = types.MappingProxyType(
    {
        404: NotFound,
        409: Conflict,
        410: Compacted,
        429: RateLimited,
        503: Unavailable,
    }
)


class _Metadata(msgspec.Struct, rename='camel'):
    """``create_revision`` tells objects of one name apart."""

    name: str
    revision: int = 0
    create_revision: int = 0


class _Object(msgspec.Struct, rename='camel'):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b'null')


class _Page(msgspec.Struct, rename='camel'):
    """One page of a listing, as of one revision."""

    items: tuple[msgspec.Raw, ...]
    has_more: bool = False
    as_of: int = 0


class _Event(msgspec.Struct, rename='camel'):
    object: msgspec.Raw
    removed: bool = False


class _Events(msgspec.Struct, rename='camel'):
    as_of: int
    events: tuple[_Event, ...] = ()


class PlatformStore(AsyncObjectStore):
    """Objects by kind and name; nothing is repeated here."""

    def __init__(self, *, address: Address) -> None:
        self._client = Client(address=address, settings=_CLIENT)
        self._host = ('host', str(address))

    async def list(self, kind: str, *, stale: bool = False) -> Listing:
        """Return all objects of a kind."""
        found: list[StoredObject] = []
        after = ''
        revision = 0
        while True:
            page = await self._page(kind, after, stale=stale)
            stored = [_stored(kind, raw) for raw in page.items]
            found.extend(one for one in stored if one is not None)
            revision = min(revision or page.as_of, page.as_of)
            if not page.has_more or not found:
                return Listing(objects=tuple(found), revision=revision)
            after = found[-1].key.partition('/')[2]

    async def get(self, key: str) -> StoredObject | None:
        """Return one object as it is now."""
        try:
            response = await self._read(f'{_PATH}/{quote(key)}')
        except NotFound:
            return None
        return _stored(key.partition('/')[0], response.body)

    async def watch(
        self,
        kind: str,
        since_revision: int,
        timeout_s: float,
        *,
        stale: bool = False,
    ) -> WatchBatch:
        """Wait for changes after a revision."""
        query = _query(
            watch=max(since_revision, 1),
            waitMs=int(timeout_s * _MS_PER_S),
            staleOk=int(stale),
        )
        response = await self._read(
            f'{_PATH}/{kind}{query}', waiting_s=timeout_s
        )
        events = _decoded(response, _Events)
        changes = (_change(kind, event) for event in events.events)
        return WatchBatch(
            events=tuple(change for change in changes if change),
            revision=max(events.as_of, since_revision),
        )

    async def put(
        self, key: str, value: str, *, likely_new: bool = False
    ) -> StoredObject:
        """Write an object whether it exists or not."""
        methods = ('POST', 'PUT') if likely_new else ('PUT', 'POST')
        try:
            return await self._write(methods[0], key, value)
        except (NotFound, Conflict):
            return await self._write(methods[1], key, value)

    async def delete(self, key: str) -> None:
        """Remove an object."""
        request = Request(
            method='DELETE',
            target=f'{_PATH}/{quote(key)}',
            headers=(self._host,),
        )
        try:
            await self._exchange(request, lost=OutcomeUnknown)
        except NotFound:
            return

    async def _page(self, kind: str, after: str, *, stale: bool) -> _Page:
        query = _query(after=after, staleOk=int(stale))
        response = await self._read(f'{_PATH}/{kind}{query}')
        return _decoded(response, _Page)

    async def _read(self, path: str, waiting_s: float = 0) -> Response:
        request = Request(method='GET', target=path, headers=(self._host,))
        return await self._exchange(
            request, lost=Unavailable, waiting_s=waiting_s
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
            headers=(self._host, _JSON),
            body=body,
        )
        response = await self._exchange(request, lost=OutcomeUnknown)
        stored = _stored(kind, response.body)
        if stored is None:
            raise OutcomeUnknown('the answer to a write is not understood')
        return stored

    async def _exchange(
        self,
        request: Request,
        *,
        lost: type[ObjectApiError],
        waiting_s: float = 0,
    ) -> Response:
        try:
            response = await asyncio.wait_for(
                self._client.exchange(request),
                waiting_s + _ANSWER_TIMEOUT_S,
            )
        except NotSentError as error:
            raise Unavailable(str(error)) from error
        except (AnswerLostError, TimeoutError) as error:
            self._client.close()
            raise lost(f'{request.target}: {error!r}') from error
        if response.status >= _FIRST_ERROR_STATUS:
            kind = _ERRORS.get(response.status, lost)
            raise kind(f'status {response.status} for {request.target}')
        return response


def _query(**options: str | int) -> str:
    """Return the query with the options that are set."""
    named = {name: value for name, value in options.items() if value}
    return f'?{urlencode(named)}' if named else ''


def _decoded(response: Response, kind):
    try:
        return msgspec.json.decode(response.body, type=kind)
    except (msgspec.DecodeError, UnicodeError) as error:
        raise Unavailable(f'answer is not understood: {error}') from error


def _stored(kind: str, raw: msgspec.Raw | bytes) -> StoredObject | None:
    """Return an object; ``None`` for one that can't be read."""
    try:
        found = msgspec.json.decode(raw, type=_Object)
        text = bytes(found.spec).decode()
    except (msgspec.DecodeError, UnicodeError):
        return None
    return StoredObject(
        key=f'{kind}/{found.metadata.name}',
        value=text,
        version=found.metadata.revision,
        revision=found.metadata.revision,
        created_revision=found.metadata.create_revision,
    )


def _change(kind: str, event: _Event) -> Change | None:
    stored = _stored(kind, event.object)
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
