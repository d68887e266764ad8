"""The product as processes: callers, nodes, targets, object API."""

import contextlib
import json
import socket
import time
import uuid
from http import client as http_client
from typing import Any

import msgspec
import pytest

from fescueknot.cli import main
from tools import process_tree
from tools.demonstration.hosts import Host
from tools.demonstration.leg import Leg
from tools.demonstration.processes import Process

_TIMEOUT_S = 20
_TRACE = '4bf92f3577b34da6a3ce929d0e0e4736'
_MAX_RESIDENT_KB = 64 * 1_024


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer with its decoded body."""

    status: int
    kind: str
    document: Any


def _ask(address: str, method: str, path: str, **headers: str) -> Reply:
    named = {_field(name): text for name, text in headers.items()}
    connection = http_client.HTTPConnection(address, timeout=_TIMEOUT_S)
    with contextlib.closing(connection):
        connection.request(method, path, headers=named)
        response = connection.getresponse()
        body = response.read()
    kind = response.headers.get('Content-Type', '')
    document = json.loads(body) if kind.endswith('json') else body
    return Reply(status=response.status, kind=kind, document=document)


def _field(argument: str) -> str:
    return argument.replace('_', '-')


def _host(leg: Leg, name: str) -> Host:
    return next(host for host in leg.hosts if host.name == name)


def _post_until_answered(host: Host, key: str) -> Reply:
    """Send the same key again, as a 503 asks for while owners change."""
    ends_s = time.monotonic() + _TIMEOUT_S
    while True:
        reply = _ask(
            host.entry,
            'POST',
            '/postings/7',
            Host='trust',
            X_Request_Id=f'r-{host.name}',
            Idempotency_Key=key,
        )
        if reply.status != 503 or time.monotonic() > ends_s:
            return reply
        time.sleep(reply.document['retry_after_s'])


def _node(leg: Leg, host: Host) -> Process:
    return leg.group.find(f'node-{host.name}')


def _raw(address: str, sent: bytes) -> bytes:
    host, _, port = address.partition(':')
    place = (host, int(port))
    with socket.create_connection(place, timeout=_TIMEOUT_S) as line:
        line.sendall(sent)
        return line.makefile('rb').readline()


class TestCalls:
    """Requests through the layer."""

    @pytest.mark.parametrize('entry', ['ledger-1', 'ledger-2', 'trust-1'])
    def test_any_node_takes_a_call(self, leg: Leg, entry: str) -> None:
        reply = _ask(
            _host(leg, entry).entry,
            'GET',
            '/matters/7/balance',
            Host='ledger.internal',
            X_Request_Id='r1',
        )
        assert reply.status == 200
        assert reply.document['service'] == 'ledger'
        assert (reply.document['request_id'], reply.document['end']) == (
            'r1',
            'r1',
        )

    def test_a_key_runs_once_at_whatever_node(self, leg: Leg) -> None:
        key = str(uuid.uuid4())
        replies = [_post_until_answered(host, key) for host in leg.hosts]
        assert {reply.status for reply in replies} == {200}, replies
        assert len({reply.document['request_id'] for reply in replies}) == 1
        assert sum(self._runs(leg, key)) == 1

    def test_at_most_once_needs_a_key(self, leg: Leg) -> None:
        entry = leg.hosts[0].entry
        reply = _ask(entry, 'POST', '/postings/7', Host='trust')
        assert (reply.status, reply.kind) == (400, 'application/problem+json')
        assert reply.document['outcome'] == 'not run'
        assert 'Idempotency-Key' in reply.document['detail']

    def test_unknown_service(self, leg: Leg) -> None:
        reply = _ask(leg.hosts[0].entry, 'GET', '/', Host='nowhere')
        assert (reply.status, reply.document['outcome']) == (404, 'not run')

    def test_trace_is_a_tree_over_both_services(
        self, leg: Leg, capsys: pytest.CaptureFixture[str]
    ) -> None:
        host = _host(leg, 'trust-1')
        _ask(
            host.entry,
            'GET',
            '/internal/x',
            Host='trust',
            traceparent=f'00-{_TRACE}-00f067aa0ba902b7-01',
        )
        ops = ','.join(one.ops for one in leg.hosts)
        assert main.main(('fescueknot', 'trace', _TRACE, '--ops', ops)) == 0
        lines = capsys.readouterr().out.splitlines()
        indents = [len(line) - len(line.lstrip()) for line in lines]
        assert indents == [0, 2, 4, 6]
        assert [' ledger/' in line for line in lines] == [
            False,
            False,
            True,
            True,
        ]

    def _runs(self, leg: Leg, key: str) -> list[int]:
        return [
            _ask(host.target, 'GET', '/audit').document.get(key, 0)
            for host in leg.hosts
        ]


class TestHostileRequests:
    """Bad requests cost little and get a 4xx."""

    @pytest.mark.parametrize(
        ('sent', 'status'),
        [
            (b'nonsense\r\n\r\n', b' 400 '),
            (b'GET / HTTP/1.1\r\nHost: a\r\nX: %b\r\n\r\n', b' 431 '),
            (
                b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999'
                b'\r\n\r\n',
                b' 413 ',
            ),
            (b'GET / HTTP/1.1\r\nContent-Length: -5\r\n\r\n', b' 400 '),
        ],
    )
    def test_status(self, leg: Leg, sent: bytes, status: bytes) -> None:
        filled = sent.replace(b'%b', b'x' * 70_000)
        assert status in _raw(leg.hosts[0].entry, filled)

    def test_truncated_requests_take_no_thread(self, leg: Leg) -> None:
        entry = leg.hosts[0].entry
        host, _, port = entry.partition(':')
        held = [
            socket.create_connection((host, int(port)), timeout=_TIMEOUT_S)
            for _number in range(150)
        ]
        for line in held:
            line.sendall(b'POST / HTTP/1.1\r\nHost: a\r\nContent-Len')
        reply = _ask(entry, 'GET', '/matters/7/balance', Host='ledger')
        for held_line in held:
            held_line.close()
        assert reply.status == 200

    def test_nobody_forges_calls_between_nodes(self, leg: Leg) -> None:
        host = leg.hosts[0]
        peer = f'127.0.0.1:{host.peer_port}'
        forged = {'Fescueknot_Envelope': 'e30=.00', 'Host': 'ledger'}
        path = '/matters/7/balance'
        assert _ask(peer, 'GET', path).status == 403
        assert _ask(peer, 'GET', path, **forged).status == 403
        assert _ask(host.entry, 'GET', path, **forged).status == 200


class TestProcess:
    """What a running node is to its host."""

    def test_no_children_and_bounded_memory(self, leg: Leg) -> None:
        for host in leg.hosts:
            facts = process_tree.facts(_node(leg, host).pid)
            assert not facts.children
            assert facts.resident_kb <= _MAX_RESIDENT_KB

    def test_drained_node_ends_and_the_others_serve(
        self, leg: Leg, capsys: pytest.CaptureFixture[str]
    ) -> None:
        host = _host(leg, 'ledger-2')
        drain = ('fescueknot', 'drain', '--ops', host.ops, '--wait_s', '20')
        assert main.main(drain) == 0
        assert _node(leg, host).wait(_TIMEOUT_S) == 0
        reply = _ask(
            _host(leg, 'trust-1').entry,
            'GET',
            '/matters/7/balance',
            Host='ledger',
        )
        assert reply.document['target'] == 'ledger-1'
