"""The memory of a node process, which the matrix enforces."""

import subprocess
import sys
import types

from tools.site_rig.node_process import NodeProcess

_TAKES_MB = 64
_PROGRAM = f'taken = b"x" * {_TAKES_MB << 20}; print("taken"); input()'


def resident_mb_of(process: subprocess.Popen) -> float:
    is_running = process.poll() is None
    node = types.SimpleNamespace(_is_running=is_running, _process=process)
    return NodeProcess.resident_mb(node)


def test_memory_of_a_process_is_read_until_its_end():
    process = subprocess.Popen(
        [sys.executable, '-c', _PROGRAM],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    process.stdout.readline()
    taken_mb = resident_mb_of(process)
    process.communicate(b'\n')
    assert _TAKES_MB <= taken_mb <= _TAKES_MB + 64
    assert not resident_mb_of(process)
