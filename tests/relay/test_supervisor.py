"""Tasks that end by errors which nobody has expected."""

import asyncio

import pytest

from fescueknot.randomness import seeded
from fescueknot.relay.supervisor import Supervisor
from tests.relay.fakes import RecordingObserver
from tests.relay.simulated_loop import run_simulated

_ERRORS = (
    RuntimeError('x'),
    RecursionError('deep'),
    OverflowError('port'),
    OSError(9, 'Bad file descriptor'),
    MemoryError(),
    AssertionError(),
    KeyError('k'),
)


class _Work:
    """Fails with each error in turn, then waits for ever."""

    def __init__(self, errors):
        self.errors = list(errors)
        self.starts_s = []

    async def run(self):
        self.starts_s.append(asyncio.get_running_loop().time())
        await asyncio.sleep(0)
        if self.errors:
            raise self.errors.pop(0)
        await asyncio.Event().wait()


async def _supervise(work, observer, duration_s):
    supervisor = Supervisor(observer=observer, rng=seeded(seed=1))
    task = supervisor.start('work', work.run)
    await asyncio.sleep(duration_s)
    task.cancel()
    await asyncio.wait((task,))
    return task


class TestSupervisor:
    """Work goes on whatever it ends by."""

    @pytest.mark.parametrize('error', _ERRORS, ids=repr)
    def test_guards_against_a_task_that_ends_unseen(self, error):
        observer = RecordingObserver()
        work = _Work([error])
        run_simulated(_supervise, work, observer, 1)
        assert len(work.starts_s) == 2
        assert observer.events == [
            ('node.task_ended', {'task': 'work', 'error': repr(error)})
        ]

    def test_work_that_returns_is_started_again(self):
        async def end(starts):
            starts.append(1)

        async def scenario():
            starts = []
            supervisor = Supervisor(
                observer=RecordingObserver(), rng=seeded(seed=1)
            )
            task = supervisor.start('work', lambda: end(starts))
            await asyncio.sleep(1)
            task.cancel()
            return len(starts)

        assert run_simulated(scenario) > 2

    def test_work_that_keeps_failing_is_started_less_and_less_often(self):
        work = _Work(RuntimeError(str(number)) for number in range(1000))
        run_simulated(_supervise, work, RecordingObserver(), 60)
        assert 10 < len(work.starts_s) < 30

    def test_cancelling_ends_the_work(self):
        task = run_simulated(_supervise, _Work(()), RecordingObserver(), 1)
        assert task.cancelled()
