"""Unexpected errors, and keys, in the logs of the nodes of a soak."""

import pathlib

from tools.soak.accounts import KEY_PREFIX

_MARKS = (
    b'"event":"node.fault"',
    b'"event":"node.task_ended"',
    KEY_PREFIX.encode(),
)


def fault_lines(folder: pathlib.Path) -> list[str]:
    """Return the lines with an error or a key in all logs of a folder."""
    return [
        line.decode(errors='replace')
        for log in sorted(folder.glob('*.log'))
        for line in log.read_bytes().splitlines()
        if any(mark in line for mark in _MARKS)
    ]
