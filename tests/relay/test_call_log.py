"""The last line of a request."""

import asyncio

import pytest

from tests.relay.caller_handlers import (
    ANSWERED,
    AWAY,
    FAILED,
    REFUSED,
    SILENT,
    UNKNOWN,
    Peers,
    origin_of,
    request_of,
)
from tests.relay.fakes import RecordingObserver, run, settle


def _ended(*replies, **changes):
    """Return the line about the end of a request."""

    async def scenario():
        observer = RecordingObserver()
        caller_handler = origin_of(Peers(replies), observer=observer, **changes)
        await caller_handler.answer(request_of(), '127.0.0.1')
        return observer.events[-1]

    return run(scenario)


class TestOutcomeInTheLog:
    """The last line tells whether a request may have run."""

    @pytest.mark.parametrize(
        ('replies', 'outcome'),
        [
            ((ANSWERED,), 'answered'),
            ((REFUSED, FAILED), 'answered'),
            ((REFUSED, REFUSED, REFUSED, REFUSED), 'not run'),
            ((AWAY, REFUSED, REFUSED, REFUSED), 'not run'),
            ((REFUSED, UNKNOWN), 'may have run'),
            ((REFUSED, SILENT), 'may have run'),
        ],
    )
    def test_it_is_true(self, replies, outcome):
        event, details = _ended(*replies, idempotent=False, timeout_s=0.05)
        assert (event, details['outcome']) == ('call.ended', outcome)

    def test_an_answer_after_a_lost_one_is_an_answer(self):
        _, details = _ended(UNKNOWN, ANSWERED)
        assert details['outcome'] == 'answered'

    def test_a_caller_that_leaves_has_a_line_too(self):
        async def scenario():
            observer = RecordingObserver()
            caller_handler = origin_of(Peers((SILENT,)), observer=observer)
            asked = asyncio.ensure_future(
                caller_handler.answer(request_of(), '127.0.0.1')
            )
            await settle()
            asked.cancel()
            await asyncio.gather(asked, return_exceptions=True)
            return observer.events[-1]

        event, details = run(scenario)
        assert event == 'call.abandoned'
        assert details['outcome'] == 'may have run'
