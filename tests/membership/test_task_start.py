"""Tasks on threads that end by errors which nobody has expected."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from fescueknot.membership.task_start import start_task


class TestStartTask:
    """A task goes on until it returns."""

    @pytest.mark.parametrize(
        'error', [RecursionError('deep'), OverflowError('port'), KeyError('k')]
    )
    def test_guards_against_a_task_that_ends_unseen(self, error, caplog):
        runs = []

        def run(argument):
            runs.append(argument)
            if len(runs) < 3:
                raise error

        with ThreadPoolExecutor() as executor:
            start_task(executor, 'work', run, 'x', pause_s=0).result()
        assert runs == ['x', 'x', 'x']
        messages = [record.getMessage() for record in caplog.records]
        assert messages == [
            'work: the task ended by an error, it goes on',
            'work: the task ended by an error, it goes on',
        ]
