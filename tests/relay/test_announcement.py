"""What a target announces in the headers of its answers."""

import math

import msgspec
import pytest

from fescueknot.calls import Importance
from fescueknot.httpio.messages import Response
from fescueknot.relay.announced_state import AnnouncedState
from fescueknot.relay.announcement import Announcement, read_announcement
from fescueknot.relay.header_names import HeaderNames
from fescueknot.relay.messages import AnswerHead, CallHead
from fescueknot.relay.runs import Lineage
from tests.relay.fakes import RecordingObserver

START = ('i-1', 1)
LIMITED = Announcement(rate_limit_per_s=11.2)


def _head(head_type):
    required = {
        CallHead: {
            'instance': 'i-1',
            'started_ms': 1,
            'idempotent': True,
            'route': 'r',
            'lineage': Lineage(root='x', importance=Importance.LOW),
            'remaining_ms': 5,
            'max_wait_ms': 1,
            'caller_service': 'desk',
        }
    }
    return head_type(**required.get(head_type, {}))


def _state(observer=None):
    state = AnnouncedState(observer=observer or RecordingObserver())
    state.begin(START)
    return state


def _read(**headers):
    pairs = tuple(
        (name.replace('_', '-'), value) for name, value in headers.items()
    )
    return read_announcement(Response(status=200, headers=pairs), HeaderNames())


class TestReading:
    """Headers of one answer."""

    def test_no_header_announces_nothing(self):
        assert _read() == Announcement()

    def test_a_limit_is_a_decimal_number(self):
        assert _read(rate_limit='11.2') == LIMITED

    @pytest.mark.parametrize('text', ['', 'many', '-1', 'nan', 'inf', '1,5'])
    def test_any_other_text_is_kept_as_unreadable(self, text):
        assert _read(rate_limit=text) == Announcement(unreadable_limit=text)

    def test_leaving_is_announced_by_one(self):
        assert _read(leaving='1').is_leaving
        assert not _read(leaving='0').is_leaving


class TestState:
    """The announcements of a start."""

    def test_a_change_is_logged_once(self):
        observer = RecordingObserver()
        state = _state(observer)
        for announcement in (Announcement(), LIMITED, LIMITED, Announcement()):
            state.record(START, announcement, 0)
        limits = [details['rate_limit_per_s'] for _, details in observer.events]
        assert limits == [11.2, None]

    def test_the_limit_is_that_of_the_last_answer(self):
        state = _state()
        state.record(START, LIMITED, 0)
        assert state.rate_limit_per_s == 11.2
        state.record(START, Announcement(), 0)
        assert state.rate_limit_per_s == math.inf
        assert not state.rate.is_limited

    def test_an_unreadable_limit_changes_nothing(self):
        state = _state()
        state.record(START, LIMITED, 0)
        state.record(START, Announcement(unreadable_limit='many'), 0)
        assert state.rate_limit_per_s == 11.2

    def test_an_answer_of_an_earlier_start_changes_nothing(self):
        state = _state()
        state.begin(('i-1', 2))
        state.record(START, LIMITED, 0)
        assert state.rate_limit_per_s == math.inf

    def test_another_start_has_no_limit(self):
        state = _state()
        state.record(START, LIMITED, 0)
        state.begin(('i-1', 2))
        assert state.rate_limit_per_s == math.inf


class TestAdoption:
    """Limits told by callers' nodes."""

    def test_it_is_in_force_until_the_first_answer(self):
        state = _state()
        state.adopt(3, 0)
        assert state.rate_limit_per_s == 3
        state.record(START, Announcement(), 0)
        assert state.rate_limit_per_s == math.inf

    def test_it_is_ignored_after_the_first_answer(self):
        state = _state()
        state.record(START, LIMITED, 0)
        state.adopt(3, 0)
        assert state.rate_limit_per_s == 11.2

    def test_a_caller_without_a_limit_ends_none(self):
        state = _state()
        state.adopt(3, 0)
        state.adopt(None, 0)
        assert state.rate_limit_per_s == 3


class TestMixedVersions:
    """Heads between nodes with and without the fields of announcements."""

    @pytest.mark.parametrize('head_type', [CallHead, AnswerHead])
    def test_unknown_fields_are_ignored(self, head_type):
        known = msgspec.json.encode(_head(head_type))
        fields = {**msgspec.json.decode(known), 'later': 1}
        encoded = msgspec.json.encode(fields)
        assert msgspec.json.decode(encoded, type=head_type) == _head(head_type)

    @pytest.mark.parametrize('head_type', [CallHead, AnswerHead])
    def test_a_head_without_a_limit_has_no_field_for_it(self, head_type):
        fields = msgspec.json.decode(msgspec.json.encode(_head(head_type)))
        assert 'q' not in fields
