"""Requests of tests to the entry ports of nodes."""

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
    """A whole answer with its decoded body; status 0 for none."""

    status: int
    document: Any = None

    @property
    def outcome(self) -> str:
        """Return what a refusal says about the work."""
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


def ask_until(
    ask: Callable[[], Reply],
    wanted: Callable[[Reply], bool],
    *,
    limit_s: float,
) -> Reply:
    """Ask again and again; return the first wanted reply, or the last."""
    ends_s = time.monotonic() + limit_s
    reply = ask()
    while not wanted(reply) and time.monotonic() < ends_s:
        time.sleep(_PAUSE_S)
        reply = ask()
    return reply
