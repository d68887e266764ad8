"""Reads the process tree from ``/proc``.

Run ``python -m tools.process_tree PID``: prints the children of a process and
its resident memory; exit code 1 when it has any child.
"""

import pathlib
import sys

import msgspec

_PROC = pathlib.Path('/proc')


class ProcessFacts(msgspec.Struct, frozen=True, kw_only=True):
    """What ``/proc`` says of a process."""

    pid: int
    children: tuple[int, ...]
    threads: int
    resident_kb: int


def facts(pid: int) -> ProcessFacts:
    """Return the facts about a running process."""
    status = _status(_PROC / str(pid))
    return ProcessFacts(
        pid=pid,
        children=children(pid),
        threads=int(status['Threads']),
        resident_kb=int(status['VmRSS'].partition(' ')[0]),
    )


def children(pid: int) -> tuple[int, ...]:
    """Return the ids of processes whose parent is ``pid``."""
    found = []
    for folder in _PROC.glob('[0-9]*'):
        if _parent(folder) == pid:
            found.append(int(folder.name))
    return tuple(sorted(found))


def _parent(folder: pathlib.Path) -> int:
    try:
        return int(_status(folder)['PPid'])
    except (OSError, KeyError):
        return 0


def _status(folder: pathlib.Path) -> dict[str, str]:
    text = (folder / 'status').read_text(encoding='utf-8')
    pairs = (line.partition(':') for line in text.splitlines())
    return {name: rest.strip() for name, _, rest in pairs}


def main() -> int:
    """Print the facts of the process named on the command line."""
    pid = ''.join(sys.argv[1:])
    if not pid.isdecimal():
        print('usage: python -m tools.process_tree PID', file=sys.stderr)
        return 2
    seen = facts(int(pid))
    print(msgspec.json.encode(seen).decode())
    return int(bool(seen.children))


if __name__ == '__main__':
    sys.exit(main())
