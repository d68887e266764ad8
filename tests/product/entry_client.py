"""Sends requests of tests to the entry ports of nodes."""

import contextlib
import json
import time
from collections.abc import Callable
from http import client as http_client
from typing import Any

import msgspec

_TIMEOUT_S = 20
_PAUSE_S = 0.2


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """A complete answer with its decoded body; status 0 if there is none."""

    status: int
    document: Any = None

    @property
    def outcome(self) -> str:
        """Return the outcome that a refusal states."""
        return self.document.get('outcome', '') if self.document else ''


def post(address: str, service: str, path: str, key: str) -> Reply:
    """Send a POST with an idempotency key."""
    headers = {'Host': service, 'Idempotency-Key': key}
    try:
        return _exchange(address, path, headers)
    except OSError:
        return Reply(status=0)


def _exchange(address: str, path: str, headers: dict[str, str]) -> Reply:
    connection = http_client.HTTPConnection(address, timeout=_TIMEOUT_S)
    with contextlib.closing(connection):
        connection.request('POST', path, headers=headers)
        response = connection.getresponse()
        document = json.loads(response.read())
    return Reply(status=response.status, document=document)


def repeat_until(
    send: Callable[[], Reply],
    is_expected: Callable[[Reply], bool],
    *,
    timeout_s: float,
) -> Reply:
    """Send until a reply is as expected; return it, or the last reply."""
    deadline_s = time.monotonic() + timeout_s
    reply = send()
    while not is_expected(reply) and time.monotonic() < deadline_s:
        time.sleep(_PAUSE_S)
        reply = send()
    return reply
