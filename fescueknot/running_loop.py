"""The running event loop, without a system call."""

import asyncio
import threading


class _LoopOfThread(threading.local):
    """The event loop that a thread has run last."""

    loop: asyncio.AbstractEventLoop | None = None


_LAST = _LoopOfThread()


def running_loop() -> asyncio.AbstractEventLoop:
    """Return the running event loop of this thread.

    Python 3.11 calls ``getpid`` each time that it looks for the loop, some 40
    times a request. Raises ``RuntimeError`` if no loop is running.
    """
    loop = _LAST.loop
    if loop is None or not loop.is_running():
        loop = asyncio.get_running_loop()
        _LAST.loop = loop
    return loop
