"""Start of tasks on an executor, with their errors logged."""

import functools
import logging
from collections.abc import Callable
from concurrent.futures import Executor, Future

_log = logging.getLogger('fescueknot.membership')


def start_logged(
    executor: Executor,
    task_name: str,
    run: Callable[..., object],
    *arguments: object,
) -> Future:
    """Run a task on a thread of ``executor``; log the error that ends it."""
    future = executor.submit(run, *arguments)
    future.add_done_callback(functools.partial(_log_error, task_name))
    return future


def _log_error(task_name: str, future: Future) -> None:
    if future.cancelled():
        return
    error = future.exception()
    if error is not None:
        _log.critical(
            '%s: the task ended by an error', task_name, exc_info=error
        )
