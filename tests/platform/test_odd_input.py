"""Odd texts in what the platform, its operators and targets write."""

import json

import msgspec
import pytest

from fescueknot.httpio.messages import Request
from fescueknot.platform import configuration, heartbeats
from fescueknot.platform.nesting import (
    MAX_DEPTH,
    UnreadableTextError,
    cut_deep_parts,
)
from fescueknot.relay.adapter import UnreadableError
from tests.odd_inputs import DEEP, HUGE

_ADDRESS = '10.0.0.1:80'
_HEARTBEAT = {
    'service': 'entries',
    'address': _ADDRESS,
    'slots': 6,
    'state': 'ready',
    'seq': 1,
    'born': 1,
}
_CONFIGURATION = {'version': '0000000c', 'listeners': [], 'clusters': []}


def _text(base, **changes):
    """Return a document; the value ``DEEP`` stands for nested lists."""
    return json.dumps({**base, **changes}).replace('"DEEP"', DEEP)


def _decode_heartbeat(body):
    request = Request(method='PUT', target='/v1/instances/i-1', body=body)
    return heartbeats.decode(request, _ADDRESS)


class TestHeartbeat:
    """Heartbeats with odd fields, each refused."""

    @pytest.mark.parametrize(
        'changes',
        [
            {'slots': 'DEEP'},
            {'unknown': 'DEEP'},
            {'slots': HUGE},
            {'seq': HUGE},
            {'seq': -1},
            {'born': HUGE},
            {'born': -1},
            {'warmupLeftMs': -1},
            {'warmupLeftMs': HUGE},
            {'service': 's' * 1000},
            {'service': None},
            {'state': 'resting'},
        ],
        ids=lambda changes: str(changes)[:40],
    )
    def test_an_odd_field_is_refused(self, changes):
        with pytest.raises(UnreadableError):
            _decode_heartbeat(_text(_HEARTBEAT, **changes).encode())

    def test_bytes_that_are_no_text_are_refused(self):
        with pytest.raises(UnreadableError):
            _decode_heartbeat(b'\xff\xfe{')

    def test_a_good_one_is_accepted(self):
        heartbeat = _decode_heartbeat(_text(_HEARTBEAT).encode())
        assert heartbeat.service == 'entries'


class TestConfiguration:
    """Configurations that can't be read."""

    @pytest.mark.parametrize(
        'changes',
        [
            {'listeners': 'DEEP'},
            {'unknown': 'DEEP'},
            {'version': '-1'},
            {'version': '0x1'},
            {'version': '1_0'},
            {'version': ' 1'},
            {'version': ''},
            {'version': 'f' * 40},
            {'version': 12},
        ],
        ids=lambda changes: str(changes)[:40],
    )
    def test_an_odd_field_is_refused(self, changes):
        with pytest.raises(UnreadableError):
            configuration.decode(_text(_CONFIGURATION, **changes))

    def test_a_good_one_is_accepted(self):
        decoded = configuration.decode(_text(_CONFIGURATION))
        assert decoded.version == 12


class TestCutDeepParts:
    """Parts of a text that are nested too deeply."""

    def test_other_parts_stay_as_they_are(self):
        good = {'a': [1, 2.5, 'x', None, True, {'b': []}], 'c': HUGE}
        text = json.dumps({'good': good, 'odd': 'DEEP'}).replace('"DEEP"', DEEP)
        cut = json.loads(cut_deep_parts(text.encode()))
        assert cut['good'] == good

    def test_parts_up_to_the_greatest_depth_stay(self):
        text = ('[' * MAX_DEPTH + ']' * MAX_DEPTH).encode()
        assert cut_deep_parts(text) == text

    def test_what_is_left_can_be_decoded(self):
        cut = msgspec.json.decode(cut_deep_parts(DEEP.encode()))
        for _ in range(MAX_DEPTH):
            cut = cut[0]
        assert cut is None

    @pytest.mark.parametrize('text', [b'', b'{', b'\xff', b'{}{', b'[1,'])
    def test_a_text_that_is_not_json_is_refused(self, text):
        with pytest.raises(UnreadableTextError):
            cut_deep_parts(text)
