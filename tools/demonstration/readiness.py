"""Waits until processes serve, with a time limit."""

import functools
import json
import socket
import time
import uuid
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

from tools.demonstration.errors import DemoError
from tools.demonstration.hosts import Host
from tools.standin.connections import KeptConnections, Order
from tools.standin.errors import StandInError
from tools.standin.plan import Stream

_POLL_S = 0.1
_ASK_TIMEOUT_S = 1.0


def wait_for_ports(ports: Iterable[int], timeout_s: float) -> None:
    """Wait until every port takes connections."""
    ends_s = time.monotonic() + timeout_s
    for port in ports:
        _wait(functools.partial(_listens, port), ends_s, f'port {port}')


def wait_for_nodes(hosts: tuple[Host, ...], timeout_s: float) -> None:
    """Wait until every node knows all hosts and has rules."""
    ends_s = time.monotonic() + timeout_s
    connections = KeptConnections()
    for host in hosts:
        ready = functools.partial(_ready, connections, host.ops, len(hosts))
        _wait(ready, ends_s, f'node {host.name}')


def wait_for_keys(
    address: str, streams: Iterable[Stream], timeout_s: float
) -> None:
    """Wait until every stream with keys is answered well."""
    ends_s = time.monotonic() + timeout_s
    connections = KeptConnections()
    for stream in streams:
        answered = functools.partial(_answered, connections, address, stream)
        _wait(answered, ends_s, f'{stream.service} {stream.path}')


def _answered(
    connections: KeptConnections, address: str, stream: Stream
) -> bool:
    order = Order(
        address=address,
        method=stream.method,
        path=stream.path,
        headers={
            'Host': stream.service,
            'Idempotency-Key': str(uuid.uuid4()),
        },
        timeout_s=_ASK_TIMEOUT_S,
    )
    try:
        return connections.send(order).status == HTTPStatus.OK
    except StandInError:
        return False


def _wait(ready: Callable[[], bool], ends_s: float, what: str) -> None:
    while not ready():
        if time.monotonic() > ends_s:
            raise DemoError(f'{what} is not ready in time')
        time.sleep(_POLL_S)


def _listens(port: int) -> bool:
    with socket.socket() as probe:
        probe.settimeout(_ASK_TIMEOUT_S)
        return probe.connect_ex(('127.0.0.1', port)) == 0


def _ready(connections: KeptConnections, ops: str, expected: int) -> bool:
    """Return whether a node has rules and knows that all hosts serve."""
    try:
        return _serves(connections, ops, expected)
    except (StandInError, ValueError):
        return False


def _serves(connections: KeptConnections, ops: str, expected: int) -> bool:
    status = _ask(connections, ops, '/status')
    known = _ask(connections, ops, '/targets')
    serving = [
        target for target in known['targets'] if target['state'] == 'serving'
    ]
    return len(serving) >= expected and status['rules_version'] > 0


def _ask(connections: KeptConnections, ops: str, path: str) -> Any:
    order = Order(
        address=ops,
        method='GET',
        path=path,
        headers={},
        timeout_s=_ASK_TIMEOUT_S,
    )
    return json.loads(connections.send(order).body)
