"""Standard error, where the interpreter and libraries write of themselves."""

import os
import sys
import typing


def never_block(stream: typing.TextIO | None = None) -> None:
    """Let writes to standard error, or a stream, fail while it is full.

    ``logging`` drops a line that fails. Otherwise a process stands still when
    nobody reads the pipe that the stream leads to.
    """
    os.set_blocking((stream or sys.stderr).fileno(), False)
