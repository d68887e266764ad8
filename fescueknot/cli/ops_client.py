"""HTTP client for the ops port of a node."""

import contextlib
import json
from http import HTTPStatus
from http import client as http_client
from typing import Any

import msgspec

from fescueknot.cli.errors import CommandFailedError
from fescueknot.decoding import DECODE_ERRORS
from fescueknot.identity import Address

_TIMEOUT_S = 5.0
_MAX_BODY_BYTES = 16_777_216


class OpsResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A complete HTTP response of a node."""

    status: int
    body: bytes

    def document(self) -> Any:
        """Return the decoded JSON body."""
        try:
            return msgspec.json.decode(self.body)
        except DECODE_ERRORS as error:
            raise CommandFailedError(
                'the body of the response is not JSON'
            ) from error


class OpsClient:
    """Queries one node; any failure raises :class:`CommandFailedError`."""

    def __init__(
        self, *, address: Address, timeout_s: float = _TIMEOUT_S
    ) -> None:
        self._address = address
        self._timeout_s = timeout_s

    def get(self, path: str) -> OpsResponse:
        """Return the response to a GET request."""
        return self._request('GET', path)

    def post(self, path: str) -> OpsResponse:
        """Return the response to a POST request without a body."""
        return self._request('POST', path)

    def _request(self, method: str, path: str) -> OpsResponse:
        try:
            response = self._send(method, path)
        except OSError as error:
            reason = error.strerror or str(error)
            raise CommandFailedError(
                f'no answer from {self._address}: {reason}; '
                'does the node run, and is this its ops address?'
            ) from error
        except http_client.HTTPException as error:
            raise CommandFailedError(
                f'no whole answer from {self._address}: {error!r}'
            ) from error
        if response.status >= HTTPStatus.BAD_REQUEST:
            raise CommandFailedError(
                _refusal_message(self._address, path, response)
            )
        return response

    def _send(self, method: str, path: str) -> OpsResponse:
        connection = http_client.HTTPConnection(
            self._address.host, self._address.port, timeout=self._timeout_s
        )
        with contextlib.closing(connection):
            connection.request(method, path, body=b'')
            response = connection.getresponse()
            body = response.read(_MAX_BODY_BYTES)
        return OpsResponse(status=response.status, body=body)


def _refusal_message(address: Address, path: str, response: OpsResponse) -> str:
    try:
        detail = json.loads(response.body)['detail']
    except (ValueError, KeyError, TypeError):
        detail = response.body[:200].decode(errors='replace')
    return f'{address} answered {response.status} to {path}: {detail}'
