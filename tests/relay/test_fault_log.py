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


class TestRepeatedErrors:
    """Errors that go on, as while a process has no descriptor left."""

    def setup_method(self):
        self.now_s = float(0)
        self.observer = RecordingObserver()
        self.log = FaultLog(observer=self.observer, clock=lambda: self.now_s)

    def test_equal_errors_are_logged_once_in_a_second(self):
        # Guards against 1,024 lines for each new connection that finds no
        # descriptor.
        for _ in range(1024):
            self.log.report(OSError(24, 'Too many open files'))
        self.now_s = 1
        self.log.report(OSError(24, 'Too many open files'))
        details = [details for _, details in self.observer.events]
        assert [one.get('unlogged') for one in details] == [None, 1023]

    def test_other_errors_are_logged_meanwhile(self):
        self.log.report(OSError(24, 'Too many open files'))
        self.log.report(RuntimeError('unexpected'))
        assert len(self.observer.events) == 2

    def test_few_errors_are_remembered(self):
        # Guards against a log that grows with errors that differ.
        for number in range(10_000):
            self.log.report(RuntimeError(number))
        assert len(self.log._repeated) <= 64
        assert len(self.observer.events) == 10_000
