"""Unexpected errors in the logs of the nodes of a soak."""

import pathlib

_MARKS = (b'"event":"node.fault"', b'"event":"node.task_ended"')


def fault_lines(folder: pathlib.Path) -> list[str]:
    """Return the lines of unexpected errors in all logs of a folder."""
    return [
        line.decode(errors='replace')
        for log in sorted(folder.glob('*.log'))
        for line in log.read_bytes().splitlines()
        if any(mark in line for mark in _MARKS)
    ]
