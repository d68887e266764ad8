"""Client of the platform's object store over HTTP."""

import types
from collections.abc import Sequence
from urllib.parse import quote, urlencode

import msgspec

from fescueknot.httpio.buffer_budget import BufferBudget
from fescueknot.httpio.client import Client
from fescueknot.httpio.client_connection import ClientSettings
from fescueknot.httpio.errors import AnswerLostError, NotSentError
from fescueknot.httpio.late_limits import late_limit
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
    Listing,
    StoredObject,
    WatchBatch,
)
from fescueknot.objectapi.revisions import counter_of, era_of, revision_of
from fescueknot.objectapi.store_era import StoreEra
from fescueknot.platform.store_messages import (
    Events,
    Page,
    decode,
    decode_change,
    decode_object,
    era_of_response,
    last_name,
)

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
# Answers that the store's client holds at a time; one of the largest fits in.
_BUFFERS_BYTES = 25_000_000
# All pages of a listing; 14,000 entries take some 3.5 MB (docs/CAPACITY.md).
_MAX_LISTING_BYTES = 32_000_000
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


class PlatformStore(AsyncObjectStore):
    """The platform's object store; failed requests are not retried.

    Revisions hold the era that the store names in its answers. ``era`` is told
    of it, and may know of a later one from elsewhere.
    """

    def __init__(self, *, address: Address, era: StoreEra) -> None:
        self._client = Client(
            address=address,
            settings=_CLIENT_SETTINGS,
            buffers=BufferBudget(limit_bytes=_BUFFERS_BYTES),
        )
        self._host = ('host', str(address))
        self._era = era

    async def list(self, kind: str, *, stale: bool = False) -> Listing:
        """Return all objects of a kind."""
        pages: list[Page] = []
        eras: set[int] = set()
        size_bytes = 0
        after = ''
        while True:
            query = _query(after=after, staleOk=int(stale))
            response = await self._read(f'{_PATH}/{kind}{query}')
            size_bytes += len(response.body)
            if size_bytes > _MAX_LISTING_BYTES:
                raise Unavailable(f'a listing of {size_bytes} bytes')
            pages.append(decode(response, Page))
            eras.add(era_of_response(response))
            if len(eras) > 1:
                raise Unavailable('the store has a new era between two pages')
            if not pages[-1].has_more:
                return _joined(kind, pages, *eras)
            after = last_name(pages[-1], after)

    async def get(self, key: str) -> StoredObject | None:
        """Return the current object; ``None`` if missing or unreadable."""
        try:
            response = await self._read(f'{_PATH}/{quote(key)}')
        except NotFound:
            return None
        era = era_of_response(response)
        return decode_object(key.partition('/')[0], response.body, era)

    async def watch(
        self,
        kind: str,
        since_revision: int,
        timeout_s: float,
        *,
        stale: bool = False,
    ) -> WatchBatch:
        """Wait up to ``timeout_s`` for changes after ``since_revision``.

        In another era than that of ``since_revision`` its counter stands for
        another state of the store, so the objects have to be listed again.
        """
        era = era_of(since_revision)
        if era < self._era.current:
            raise Compacted('the store has a new era')
        query = _query(
            watch=max(counter_of(since_revision), 1),
            waitMs=int(timeout_s * _MS_PER_S),
            staleOk=int(stale),
        )
        response = await self._read(
            f'{_PATH}/{kind}{query}', extra_timeout_s=timeout_s
        )
        if era_of_response(response) != era:
            raise Compacted('the store has a new era')
        events = decode(response, Events)
        changes = [decode_change(kind, event, era) for event in events.events]
        return WatchBatch(
            events=tuple(change for change in changes if change),
            revision=max(revision_of(era, events.as_of), since_revision),
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

    async def create(self, key: str, value: str) -> StoredObject:
        """Create an object; raise ``Conflict`` if it exists."""
        return await self._write('POST', key, value)

    async def replace(
        self, key: str, value: str, revision: int
    ) -> StoredObject:
        """Replace an object that still has ``revision``.

        In another era the counter of ``revision`` stands for another write, so
        an answer of such an era is a ``Conflict``, though the write was done.
        """
        era = era_of(revision)
        if era < self._era.current:
            raise Conflict('the store has a new era')
        stored = await self._write(
            'PUT', key, value, counter=counter_of(revision)
        )
        if era_of(stored.revision) != era:
            raise Conflict('the store has a new era')
        return stored

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

    async def _read(self, path: str, extra_timeout_s: float = 0) -> Response:
        request = Request(method='GET', target=path, headers=(self._host,))
        return await self._exchange(
            request, error_if_lost=Unavailable, extra_timeout_s=extra_timeout_s
        )

    async def _write(
        self, method: str, key: str, value: str, *, counter: int = 0
    ) -> StoredObject:
        """Write an object, if ``counter`` is 0 or that of the stored one."""
        kind, _, name = key.partition('/')
        path = f'{_PATH}/{kind}'
        if method == 'PUT':
            path = f'{path}/{quote(name)}'
        metadata: dict[str, str | int] = {'name': name}
        if counter:
            metadata['revision'] = counter
        body = msgspec.json.encode(
            {'metadata': metadata, 'spec': msgspec.Raw(value.encode())}
        )
        request = Request(
            method=method,
            target=path,
            headers=(self._host, _JSON_CONTENT_TYPE),
            body=body,
        )
        response = await self._exchange(request, error_if_lost=OutcomeUnknown)
        stored = decode_object(kind, response.body, era_of_response(response))
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
            async with late_limit(extra_timeout_s + _ANSWER_TIMEOUT_S):
                response = await self._client.exchange(request)
        except NotSentError as error:
            raise Unavailable(str(error)) from error
        except (AnswerLostError, TimeoutError) as error:
            self._client.close()
            raise error_if_lost(f'{request.target}: {error!r}') from error
        self._era.learn(era_of_response(response))
        if response.status >= _FIRST_ERROR_STATUS:
            error_type = _ERROR_BY_STATUS.get(response.status, error_if_lost)
            raise error_type(f'status {response.status} for {request.target}')
        return response


def _query(**options: str | int) -> str:
    """Return the query string of the options that are neither 0 nor empty."""
    set_options = {name: value for name, value in options.items() if value}
    return f'?{urlencode(set_options)}' if set_options else ''


def _joined(kind: str, pages: Sequence[Page], era: int) -> Listing:
    """Return the listing of all pages; its revision is that of the oldest."""
    decoded = [
        decode_object(kind, raw, era) for page in pages for raw in page.items
    ]
    return Listing(
        objects=tuple(stored for stored in decoded if stored is not None),
        revision=revision_of(era, min(page.as_of for page in pages)),
        unreadable=decoded.count(None),
    )
