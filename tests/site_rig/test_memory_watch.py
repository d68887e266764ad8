"""The limits of a node's process: memory and descriptors."""

import contextlib
import subprocess
import sys
import time
from collections.abc import Iterator

import msgspec

from tools.site_rig.memory_watch import (
    MemoryWatch,
    limit_descriptors,
    peak_mb_of,
)
from tools.site_rig.records import (
    MemoryRecord,
    RecordFile,
    SignalKind,
    SignalRecord,
    read_records,
)
from tools.site_rig.scene import Host

HOST = Host(
    name='h',
    ip='127.0.0.1',
    service='s',
    zone='z',
    region='r',
    speed=1,
    memory_mb=60,
    group=0,
)
USES = "held = bytearray({0} << 20); print('ready', flush=True); input()"
DROPS = (
    "held = bytearray({0} << 20); del held; print('ready', flush=True); input()"
)


@contextlib.contextmanager
def started(code: str) -> Iterator[subprocess.Popen[bytes]]:
    """Start a process and wait until it has its memory."""
    with subprocess.Popen(
        [sys.executable, '-c', code],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    ) as process:
        process.stdout.readline()
        yield process
        process.kill()


def watched(folder, code: str, host: Host = HOST) -> tuple[list, int | None]:
    """Return the records of one look at a process, and its end."""
    path = folder / 'records.jsonl'
    records = RecordFile(path=path)
    watch = MemoryWatch(host=host, records=records)
    with started(code) as process:
        watch.look(process)
        time.sleep(0.01)
        status = process.poll()
    watch.note()
    records.close()
    return list(read_records(path)), status


def kinds_of(records: list) -> list[SignalKind]:
    return [each.kind for each in records if isinstance(each, SignalRecord)]


class TestMemoryWatch:
    """A process that uses more than its machine has is killed."""

    # Guards against a limit that nothing enforces.
    def test_kills_above_the_limit(self, tmp_path):
        records, status = watched(tmp_path, USES.format(100))

        assert status == -9
        assert kinds_of(records) == [SignalKind.OVER_MEMORY]

    # Guards against a peak between two looks that goes unseen.
    def test_sees_a_peak_that_is_over(self, tmp_path):
        records, status = watched(tmp_path, DROPS.format(100))

        assert status == -9
        assert kinds_of(records) == [SignalKind.OVER_MEMORY]

    # Guards against ending a process that keeps to its limit.
    def test_leaves_others_alone(self, tmp_path):
        records, status = watched(tmp_path, USES.format(1))

        assert status is None
        assert kinds_of(records) == []

    # Guards against a report without the peak.
    def test_notes_the_peak(self, tmp_path):
        roomy = msgspec.structs.replace(HOST, memory_mb=500)
        records, status = watched(tmp_path, USES.format(100), roomy)
        peaks = [each for each in records if isinstance(each, MemoryRecord)]

        assert status is None
        assert 100 < peaks[-1].peak_mb < 200
        assert peaks[-1].descriptors > 2

    # Guards against a look at a process that has just ended.
    def test_process_is_gone(self):
        with started(USES.format(1)) as process:
            process.kill()
            process.wait()

        assert peak_mb_of(process.pid) == 0


class TestLimitDescriptors:
    """A process has only the open files of its machine."""

    # Guards against a limit that the process does not have.
    def test_in_the_process(self):
        code = 'import resource as r; print(r.getrlimit(r.RLIMIT_NOFILE))'
        printed = subprocess.check_output(
            [sys.executable, '-c', code], preexec_fn=limit_descriptors(77)
        )

        assert printed.strip() == b'(77, 77)'
