"""Start of tasks on an executor, which go on after unexpected errors."""

import logging
import time
from collections.abc import Callable
from concurrent.futures import Executor, Future

_log = logging.getLogger('fescueknot.membership')
RESTART_PAUSE_S = 0.5


def start_task(
    executor: Executor,
    task_name: str,
    run: Callable[..., object],
    *arguments: object,
    pause_s: float = RESTART_PAUSE_S,
) -> Future:
    """Run a task on a thread of ``executor`` until it returns.

    An error that ends it is logged, and it runs again after ``pause_s``.
    """
    return executor.submit(_run_again, task_name, run, arguments, pause_s)


def _run_again(
    task_name: str,
    run: Callable[..., object],
    arguments: tuple[object, ...],
    pause_s: float,
) -> None:
    while not _has_returned(task_name, run, arguments):
        time.sleep(pause_s)


def _has_returned(
    task_name: str, run: Callable[..., object], arguments: tuple[object, ...]
) -> bool:
    try:
        run(*arguments)
    except Exception:
        _log.exception('%s: the task ended by an error, it goes on', task_name)
        return False
    return True
