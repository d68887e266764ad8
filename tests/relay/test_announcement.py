"""What a target announces in the headers of its answers."""

import pytest

from fescueknot.httpio.messages import Response
from fescueknot.relay.announced_state import AnnouncedState
from fescueknot.relay.announcement import Announcement, read_announcement
from fescueknot.relay.header_names import HeaderNames
from tests.relay.fakes import RecordingObserver

LIMITED = Announcement(rate_limit_per_s=11.2)


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
    """The last announcement of a start."""

    def test_a_change_is_logged_once(self):
        observer = RecordingObserver()
        state = AnnouncedState(observer=observer)
        for announcement in (Announcement(), LIMITED, LIMITED, Announcement()):
            state.record('i-1', 1, announcement)
        limits = [details['rate_limit_per_s'] for _, details in observer.events]
        assert limits == [11.2, None]

    def test_the_limit_is_that_of_the_last_answer(self):
        state = AnnouncedState(observer=RecordingObserver())
        state.record('i-1', 1, LIMITED)
        assert state.rate_limit_per_s == 11.2
        state.record('i-1', 1, Announcement())
        assert state.rate_limit_per_s == float('inf')
