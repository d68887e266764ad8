"""Control calls between nodes: JSON over HTTP on the peer port.

A control call is a POST below ``PATH_PREFIX`` whose path and body are signed
with the shared key. Requests of callers are never signed with this key, so
they cannot pass for control calls.
"""

import hashlib
import hmac
import types
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any

import msgspec

from fescueknot.decoding import DECODE_ERRORS
from fescueknot.identity import Address
from fescueknot.node.connections import ConnectionPool
from fescueknot.node.errors import ControlError, TransportError
from fescueknot.node.messages import Header, HttpAnswer, HttpRequest
from fescueknot.node.runtime import Runtime

PATH_PREFIX = '/fescueknot-control/'
_SIGNATURE = 'Fescueknot-Signature'
_TIMEOUT_S = 2.0
_MAX_POOLS = 32


class ControlEndpoint(msgspec.Struct, frozen=True, kw_only=True):
    """The request type and the handler of a control call.

    The return value of ``handler`` is sent as JSON.
    """

    request_type: Any
    handler: Callable[[Any], Any]


class ControlSigner:
    """Signs the path and the body of control calls (HMAC, RFC 2104)."""

    def __init__(self, *, shared_key: str) -> None:
        self._key = shared_key.encode()

    def signature(self, path: str, body: bytes) -> str:
        """Return the signature as hex digits."""
        text = b'\n'.join((path.encode(), body))
        return hmac.new(self._key, text, hashlib.sha256).hexdigest()

    def has_valid_signature(self, request: HttpRequest) -> bool:
        """Return whether the signature of ``request`` is correct."""
        received = request.header(_SIGNATURE).encode()
        expected = self.signature(request.path, request.body).encode()
        return hmac.compare_digest(received, expected)


class ControlServer:
    """Answers control calls of other nodes."""

    def __init__(
        self,
        *,
        signer: ControlSigner,
        endpoints: Mapping[str, ControlEndpoint],
    ) -> None:
        self._signer = signer
        self._endpoints = types.MappingProxyType(dict(endpoints))

    def answer(self, request: HttpRequest) -> HttpAnswer:
        """Return the handler's answer or an error status.

        403: wrong or missing signature; 404: unknown name; 400: malformed
        body.
        """
        if not self._signer.has_valid_signature(request):
            return HttpAnswer(status=int(HTTPStatus.FORBIDDEN))
        name = request.path.removeprefix(PATH_PREFIX)
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            return HttpAnswer(status=int(HTTPStatus.NOT_FOUND))
        try:
            message = msgspec.json.decode(
                request.body,
                type=endpoint.request_type,
            )
        except DECODE_ERRORS:
            return HttpAnswer(status=int(HTTPStatus.BAD_REQUEST))
        body = msgspec.json.encode(endpoint.handler(message))
        return HttpAnswer(status=int(HTTPStatus.OK), body=body)


class ControlClient:
    """Sends control calls to other nodes."""

    def __init__(self, *, signer: ControlSigner, runtime: Runtime) -> None:
        self._signer = signer
        self._runtime = runtime
        self._pools: dict[Address, ConnectionPool] = {}

    def call(
        self,
        peer: Address,
        name: str,
        message: Any,
        answer_type: Any,
    ) -> Any:
        """Return the decoded answer; raise :class:`ControlError`."""
        path = f'{PATH_PREFIX}{name}'
        body = msgspec.json.encode(message)
        signature = self._signer.signature(path, body)
        request = HttpRequest(
            method='POST',
            path=path,
            headers=(Header(name=_SIGNATURE, text=signature),),
            body=body,
        )
        return _decoded(self._exchange(peer, request), answer_type)

    def _exchange(self, peer: Address, request: HttpRequest) -> HttpAnswer:
        deadline_s = self._runtime.now_s() + _TIMEOUT_S
        try:
            return self._pool(peer).call(request, deadline_s=deadline_s)
        except TransportError as error:
            raise ControlError(
                f'control call to {peer} failed: {error}'
            ) from error

    def _pool(self, peer: Address) -> ConnectionPool:
        """Return the kept-alive connections to ``peer``.

        At most ``_MAX_POOLS`` pools are kept; the least recently used pool is
        removed.
        """
        pool = self._pools.pop(peer, None) or ConnectionPool(address=peer)
        self._pools[peer] = pool
        if len(self._pools) > _MAX_POOLS:
            oldest = next(iter(self._pools))
            self._pools.pop(oldest).drop_idle()
        return pool


def _decoded(answer: HttpAnswer, answer_type: Any) -> Any:
    if answer.status != HTTPStatus.OK:
        raise ControlError(
            f'control call was answered with status {answer.status}'
        )
    try:
        return msgspec.json.decode(answer.body, type=answer_type)
    except DECODE_ERRORS as error:
        raise ControlError(
            f'malformed answer to a control call: {error}'
        ) from error
