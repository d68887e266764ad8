"""The traceparent header is read and written as the standard says."""

import pytest

from fescueknot import randomness
from fescueknot.telemetry import traceparent
from fescueknot.telemetry.errors import TraceparentError

_TRACE = '4bf92f3577b34da6a3ce929d0e0e4736'
_SPAN = '00f067aa0ba902b7'


class TestTraceparent:
    """Header in, header out."""

    @pytest.mark.parametrize('flags', ['00', '01'])
    def test_round_trip(self, flags: str) -> None:
        header = f'00-{_TRACE}-{_SPAN}-{flags}'
        assert str(traceparent.parse(header)) == header

    def test_later_version_is_written_as_ours(self) -> None:
        later = traceparent.parse(f'cc-{_TRACE}-{_SPAN}-09-more')
        assert str(later) == f'00-{_TRACE}-{_SPAN}-01'

    @pytest.mark.parametrize(
        'header',
        [
            '',
            f'00-{_TRACE}-{_SPAN}',
            f'ff-{_TRACE}-{_SPAN}-01',
            f'00-{_TRACE}-{_SPAN}-01-more',
            f'00-{_TRACE.upper()}-{_SPAN}-01',
            f'00-{"0" * 32}-{_SPAN}-01',
            f'00-{_TRACE}-{"0" * 16}-01',
            f'00-{_TRACE}-{_SPAN}-01\n00-{_TRACE}-{_SPAN}-01',
        ],
    )
    def test_broken_header(self, header: str) -> None:
        with pytest.raises(TraceparentError):
            traceparent.parse(header)

    def test_child_stays_in_the_trace(self) -> None:
        source = randomness.seeded(seed=3)
        root = traceparent.start_trace(source)
        below = traceparent.child(root, source)
        assert below.trace_id == root.trace_id
        assert below.span_id != root.span_id
        assert traceparent.parse(str(below)) == below
