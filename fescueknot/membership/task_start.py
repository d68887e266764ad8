"""Ends of tasks: one that ends by an error says so in the log."""

import functools
import logging
from collections.abc import Callable
from concurrent.futures import Executor, Future

_log = logging.getLogger('fescueknot.membership')


def start_logged(
    executor: Executor,
    part: str,
    run: Callable[..., object],
    *arguments: object,
) -> Future:
    """Run a task on a thread; log its error if it ends by one."""
    ended = executor.submit(run, *arguments)
    ended.add_done_callback(functools.partial(_log_error, part))
    return ended


def _log_error(part: str, ended: Future) -> None:
    if ended.cancelled():
        return
    error = ended.exception()
    if error is not None:
        _log.critical('%s: the task ended by an error', part, exc_info=error)
