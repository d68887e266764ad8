"""Client of the object API over HTTP."""

from typing import TypeVar
from urllib.parse import quote, urlencode

import msgspec

from fescueknot.decoding import DECODE_ERRORS
from fescueknot.identity import Address
from fescueknot.objectapi import wire
from fescueknot.objectapi.connections import Answer, ConnectionPool, Request
from fescueknot.objectapi.errors import (
    ObjectApiError,
    OutcomeUnknown,
    RateLimited,
    Unavailable,
)
from fescueknot.objectapi.messages import Listing, StoredObject, WatchBatch
from fescueknot.objectapi.store import ObjectStore

_Message = TypeVar('_Message')

_CONNECT_TIMEOUT_S = 1
_ANSWER_TIMEOUT_S = 2
_DEFAULT_RETRY_AFTER_S = 1
_FIRST_ERROR_STATUS = 400
_FIRST_SERVER_ERROR_STATUS = 500


class HttpStore(ObjectStore):
    """An object store accessed over HTTP; thread-safe.

    Requests are never retried. After a lost response the next call opens a
    new connection; the caller may read the object to find out whether a write
    took effect.
    """

    def __init__(
        self,
        *,
        address: Address,
        connect_timeout_s: float = _CONNECT_TIMEOUT_S,
        answer_timeout_s: float = _ANSWER_TIMEOUT_S,
    ) -> None:
        self._answer_timeout_s = answer_timeout_s
        self._connections = ConnectionPool(
            address=address, connect_timeout_s=connect_timeout_s
        )

    def close(self) -> None:
        """Close the idle connections."""
        self._connections.close()

    def get(self, key: str) -> StoredObject:
        """Return the object; raise ``NotFound`` when there is none."""
        return self._read(_object_target(key), StoredObject)

    def list(self, prefix: str) -> Listing:
        """Return all objects whose key starts with ``prefix``."""
        query = urlencode({'prefix': prefix})
        return self._read(f'{wire.OBJECTS_PATH}?{query}', Listing)

    def create(self, key: str, value: str) -> StoredObject:
        """Write a new object; raise ``Conflict`` when the key exists."""
        answer = self._write(
            method='PUT',
            key=key,
            headers={wire.IF_NONE_MATCH: wire.ANY_VERSION},
            body=value.encode(),
        )
        return _decode_write(answer)

    def update(self, key: str, value: str, version: int) -> StoredObject:
        """Replace the object when it still has ``version``."""
        answer = self._write(
            method='PUT',
            key=key,
            headers={wire.IF_MATCH: wire.entity_tag(version)},
            body=value.encode(),
        )
        return _decode_write(answer)

    def delete(self, key: str, version: int) -> None:
        """Remove the object when it still has ``version``."""
        self._write(
            method='DELETE',
            key=key,
            headers={wire.IF_MATCH: wire.entity_tag(version)},
        )

    def watch(
        self, prefix: str, since_revision: int, timeout_s: float
    ) -> WatchBatch:
        """Wait up to ``timeout_s`` for changes after ``since_revision``."""
        query = urlencode(
            {
                'prefix': prefix,
                'since': since_revision,
                'timeout_s': timeout_s,
            }
        )
        return self._read(
            f'{wire.WATCH_PATH}?{query}', WatchBatch, extra_timeout_s=timeout_s
        )

    def _read(
        self,
        target: str,
        message_type: type[_Message],
        *,
        extra_timeout_s: float = 0,
    ) -> _Message:
        request = Request(
            method='GET',
            target=target,
            timeout_s=self._answer_timeout_s + extra_timeout_s,
        )
        try:
            answer = self._connections.exchange(request)
        except OutcomeUnknown as error:
            raise Unavailable(str(error)) from error
        if answer.status >= _FIRST_ERROR_STATUS:
            raise _error_of(answer, default_error=Unavailable)
        return _decode(answer.body, message_type, default_error=Unavailable)

    def _write(
        self,
        *,
        method: str,
        key: str,
        headers: dict[str, str],
        body: bytes = b'',
    ) -> Answer:
        request = Request(
            method=method,
            target=_object_target(key),
            timeout_s=self._answer_timeout_s,
            headers=headers,
            body=body,
        )
        answer = self._connections.exchange(request)
        if answer.status >= _FIRST_ERROR_STATUS:
            raise _error_of(answer, default_error=OutcomeUnknown)
        return answer


def _object_target(key: str) -> str:
    return f'{wire.OBJECTS_PATH}/{quote(key)}'


def _decode(
    body: bytes,
    message_type: type[_Message],
    *,
    default_error: type[ObjectApiError],
) -> _Message:
    try:
        return msgspec.json.decode(body, type=message_type)
    except DECODE_ERRORS as error:
        raise default_error(f'cannot decode the response: {error}') from error


def _decode_write(answer: Answer) -> StoredObject:
    return _decode(answer.body, StoredObject, default_error=OutcomeUnknown)


def _error_of(
    answer: Answer, *, default_error: type[ObjectApiError]
) -> ObjectApiError:
    """Return the error of a status.

    It is ``default_error`` for server errors that the API does not define.
    """
    text = answer.body.decode(errors='replace')
    message = f'status {answer.status}: {text}'
    error_type = wire.ERROR_BY_STATUS.get(answer.status)
    if error_type is RateLimited:
        return RateLimited(message, retry_after_s=_retry_after_s(answer))
    if error_type is not None:
        return error_type(message)
    if answer.status >= _FIRST_SERVER_ERROR_STATUS:
        return default_error(message)
    return ObjectApiError(message)


def _retry_after_s(answer: Answer) -> float:
    try:
        return float(answer.retry_after)
    except ValueError:
        return _DEFAULT_RETRY_AFTER_S
