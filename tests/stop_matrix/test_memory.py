"""The memory of a node process, which the matrix enforces."""

import subprocess
import sys

from tools.site_rig.memory_watch import peak_mb_of

_TAKES_MB = 64
_PROGRAM = f'taken = b"x" * {_TAKES_MB << 20}; print("taken"); input()'


def test_memory_of_a_process_is_read_until_its_end():
    process = subprocess.Popen(
        [sys.executable, '-c', _PROGRAM],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    process.stdout.readline()
    taken_mb = peak_mb_of(process.pid)
    process.communicate(b'\n')
    assert _TAKES_MB <= taken_mb <= _TAKES_MB + 64
    assert not peak_mb_of(process.pid)
