"""Log line about the end of a request."""

import asyncio

import pytest

from tests.relay.caller_handlers import (
    ANSWERED,
    FAILED,
    NO_REPLY,
    NOT_EXECUTED,
    REFUSED,
    UNKNOWN,
    FakePeers,
    make_handler,
    make_request,
)
from tests.relay.fakes import RecordingObserver, run, settle


def _log_event(*replies, **changes):
    """Return event and details of the log line at the end of a request."""

    async def scenario():
        observer = RecordingObserver()
        caller_handler = make_handler(
            FakePeers(replies), observer=observer, **changes
        )
        await caller_handler.answer(make_request(), '127.0.0.1')
        return observer.events[-1]

    return run(scenario)


class TestOutcome:
    """Whether the request has run, in its last log line."""

    @pytest.mark.parametrize(
        ('replies', 'outcome'),
        [
            ((ANSWERED,), 'answered'),
            ((REFUSED, FAILED), 'answered'),
            ((REFUSED, REFUSED, REFUSED, REFUSED), 'not run'),
            ((NOT_EXECUTED, REFUSED, REFUSED, REFUSED), 'not run'),
            ((REFUSED, UNKNOWN), 'may have run'),
            ((REFUSED, NO_REPLY), 'may have run'),
        ],
    )
    def test_outcome_by_replies(self, replies, outcome):
        event, details = _log_event(*replies, idempotent=False, timeout_s=0.05)
        assert (event, details['outcome']) == ('call.ended', outcome)

    def test_an_answer_after_a_lost_answer_counts_as_answered(self):
        _, details = _log_event(UNKNOWN, ANSWERED)
        assert details['outcome'] == 'answered'

    def test_a_request_abandoned_by_its_caller_is_logged(self):
        async def scenario():
            observer = RecordingObserver()
            caller_handler = make_handler(
                FakePeers((NO_REPLY,)), observer=observer
            )
            answering = asyncio.ensure_future(
                caller_handler.answer(make_request(), '127.0.0.1')
            )
            await settle()
            answering.cancel()
            await asyncio.gather(answering, return_exceptions=True)
            return observer.events[-1]

        event, details = run(scenario)
        assert event == 'call.abandoned'
        assert details['outcome'] == 'may have run'
