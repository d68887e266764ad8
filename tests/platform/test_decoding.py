"""Heartbeats and configurations in the platform's words."""

import msgspec
import pytest

from fescueknot.calls import Importance
from fescueknot.httpio.messages import Request
from fescueknot.platform import configuration, heartbeats
from fescueknot.relay.adapter import LeaveNotice, UnreadableError
from fescueknot.targets.messages import TargetState

_ADDRESS = '10.0.0.9:8080'
_BEAT = {
    'service': 'entries',
    'address': _ADDRESS,
    'zone': 'sierra-a',
    'version': 'v1',
    'slots': 36,
    'state': 'ready',
    'warmupLeftMs': 500,
    'seq': 4,
    'born': 1700000000000,
}


def _put(body, target='/v1/instances/i-1'):
    raw = body if isinstance(body, bytes) else msgspec.json.encode(body)
    return Request(method='PUT', target=target, body=raw)


class TestHeartbeats:
    """Heartbeats."""

    def test_fields_get_our_names(self):
        heard = heartbeats.decode(_put(_BEAT), _ADDRESS)
        assert heard.instance == 'i-1'
        assert heard.started_ms == _BEAT['born']
        assert heard.sequence == 4
        assert heard.state is TargetState.SERVING
        assert heard.warmup_left_s == 0.5

    def test_draining_is_understood(self):
        heard = heartbeats.decode(
            _put({**_BEAT, 'state': 'draining'}), _ADDRESS
        )
        assert heard.state is TargetState.DRAINING

    @pytest.mark.parametrize(
        'changes',
        [
            {'state': 'resting'},
            {'slots': 'many'},
            {'seq': None},
            {'born': 1.5},
            {'address': '10.0.0.1:1'},
        ],
    )
    def test_what_cannot_be_right_is_no_heartbeat(self, changes):
        with pytest.raises(UnreadableError):
            heartbeats.decode(_put({**_BEAT, **changes}), _ADDRESS)

    @pytest.mark.parametrize('field', ['service', 'slots', 'seq', 'born'])
    def test_missing_fields_make_no_heartbeat(self, field):
        body = {name: text for name, text in _BEAT.items() if name != field}
        with pytest.raises(UnreadableError):
            heartbeats.decode(_put(body), _ADDRESS)

    @pytest.mark.parametrize(
        'other',
        [
            _put(b'\xff\xfe'),
            _put(_BEAT, target='/v1/instances/'),
            _put(_BEAT, target='/v1/other/i-1'),
            _put(_BEAT, target='/v1/instances/a/b'),
            Request(method='GET', target='/v1/instances/i-1'),
        ],
    )
    def test_other_requests_are_none(self, other):
        with pytest.raises(UnreadableError):
            heartbeats.decode(other, _ADDRESS)

    def test_a_delete_is_the_last_word(self):
        request = Request(method='DELETE', target='/v1/instances/i-1')
        found = heartbeats.decode(request, _ADDRESS)
        assert found == LeaveNotice(instance='i-1')


_RULE = {
    'name': 'r-1',
    'routeType': 'idempotent',
    'targetLatencyMs': 1500,
    'priority': 2,
    'match': {'pathPrefix': '/a/'},
    'action': {
        'trafficSplit': [
            {'service': 'x', 'weight': 90},
            {'service': 'y', 'weight': 10},
        ],
        'timeoutMs': 800,
        'attempts': 2,
    },
}
_DOCUMENT = {
    'version': '0000000c',
    'limits': {
        'maxHeaderBytes': 16384,
        'maxBodyBytes': 1000,
        'headerTimeoutMs': 3000,
        'idleTimeoutMs': 15000,
    },
    'listeners': [{'host': 'h', 'routeRules': [_RULE]}],
    'clusters': [{'name': 'x', 'healthPath': '/h', 'maxConnections': 136}],
}


def _decoded(**changes):
    text = msgspec.json.encode({**_DOCUMENT, **changes}).decode()
    return configuration.decode(text)


class TestConfiguration:
    """Configuration."""

    def test_versions_are_hexadecimal(self):
        assert _decoded().version == 12

    def test_routes_get_our_names(self):
        (route,) = _decoded().routes
        assert route.idempotent
        assert route.importance is Importance.NORMAL
        assert (route.timeout_s, route.objective_s) == (0.8, 1.5)
        assert [one.weight for one in route.services] == [90, 10]

    @pytest.mark.parametrize(
        ('kind', 'idempotent'),
        [('non_idempotent', False), ('something new', False)],
    )
    def test_only_what_says_so_may_repeat(self, kind, idempotent):
        rule = {**_RULE, 'routeType': kind}
        found = _decoded(listeners=[{'host': 'h', 'routeRules': [rule]}])
        assert found.routes[0].idempotent is idempotent

    def test_a_single_service_is_a_split_of_one(self):
        rule = {**_RULE, 'action': {'service': 'x'}}
        found = _decoded(listeners=[{'host': 'h', 'routeRules': [rule]}])
        assert [one.service for one in found.routes[0].services] == ['x']

    def test_limits_are_seconds_and_bytes(self):
        limits = _decoded().limits
        assert (limits.header_timeout_s, limits.idle_timeout_s) == (3, 15)

    @pytest.mark.parametrize('text', ['', '{}', '{"version": "xyz"}', '[1]'])
    def test_what_is_no_configuration_is_refused(self, text):
        with pytest.raises(UnreadableError):
            configuration.decode(text)
