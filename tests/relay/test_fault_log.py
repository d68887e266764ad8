"""Log of unexpected errors."""

import asyncio

from fescueknot.relay.fault_log import FaultLog
from tests.relay.fakes import RecordingObserver, run


async def _fail():
    raise RuntimeError('unexpected')


class TestFaultLog:
    """Errors that nobody catches."""

    def test_an_error_of_a_task_that_nobody_awaits_is_logged(self):
        observer = RecordingObserver()

        async def scenario():
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(
                FaultLog(observer=observer).report_unhandled
            )
            loop.create_task(_fail())
            await asyncio.sleep(0)
            await asyncio.sleep(0)

        run(scenario)
        assert observer.events == [
            ('node.fault', {'error': "RuntimeError('unexpected')"})
        ]

    def test_an_error_of_a_callback_is_logged(self):
        observer = RecordingObserver()

        async def scenario():
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(
                FaultLog(observer=observer).report_unhandled
            )
            loop.call_soon(int, 'x')
            await asyncio.sleep(0)

        run(scenario)
        assert [event for event, _ in observer.events] == ['node.fault']
