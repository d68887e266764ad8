"""The nodes of the rig as processes: which signals they get."""

import asyncio
import functools
import pathlib
import signal

import pytest

from tests.site_rig.small_site import small_hosts, small_site
from tools.site_rig.node_process import NodeProcess
from tools.site_rig.node_settings import NodeSettings
from tools.site_rig.records import RecordFile, SignalKind, read_records

_MODULE = 'tools.site_rig.node_process'


class Process:
    """Runs until SIGKILL, or SIGTERM if it heeds that."""

    pid = 1

    def __init__(self, *arguments, **options) -> None:
        self.returncode: int | None = None
        self.signals: list[signal.Signals] = []

    def poll(self) -> int | None:
        return self.returncode

    def wait(self) -> int:
        return self.returncode

    def send_signal(self, sent: signal.Signals) -> None:
        self.signals.append(sent)
        if sent in {signal.SIGKILL, signal.SIGTERM}:
            self.returncode = -sent

    def kill(self) -> None:
        self.send_signal(signal.SIGKILL)


class Stand:
    """A node whose processes are played."""

    def __init__(self, folder: pathlib.Path, monkeypatch) -> None:
        self.processes: list[Process] = []
        self._path = folder / 'signals.jsonl'
        self._records = RecordFile(path=self._path)
        monkeypatch.setattr(f'{_MODULE}.subprocess.Popen', self._start)
        monkeypatch.setattr(f'{_MODULE}._RESTART_S', 0)
        host = small_hosts()[0]
        self.node = NodeProcess(
            host=host,
            settings=NodeSettings(
                host=host, store='', folder=folder, bounds=small_site().bounds
            ),
            code=folder,
            records=self._records,
        )
        self.node.start()

    def kinds(self) -> list[SignalKind]:
        """Return what was noted after the first start."""
        self._records.close()
        return [noted.kind for noted in read_records(self._path)][1:]

    def _start(self, *arguments, **options) -> Process:
        self.processes.append(Process())
        return self.processes[-1]


@pytest.fixture
def stand(tmp_path, monkeypatch):
    return Stand(tmp_path, monkeypatch)


END, START = SignalKind.END, SignalKind.START


class TestKill:
    """A node that is killed."""

    # Guards against a kill without a start, or a loss of power with a reset.
    @pytest.mark.parametrize(
        ('is_dark', 'sent'),
        [
            (False, [signal.SIGKILL]),
            (True, [signal.SIGSTOP, signal.SIGKILL]),
        ],
    )
    def test_signals(self, stand, is_dark, sent):
        asyncio.run(stand.node.kill(0, is_dark=is_dark))

        assert stand.processes[0].signals == sent
        assert len(stand.processes) == 2
        assert stand.kinds() == [SignalKind.KILL, END, START]

    # Guards against a second process beside one that was just started.
    def test_killed_twice(self, stand):
        async def kill_twice() -> None:
            await asyncio.gather(stand.node.kill(0), stand.node.kill(0))

        asyncio.run(kill_twice())

        assert len(stand.processes) == 2

    # Guards against a kill of the process that was started meanwhile.
    @pytest.mark.parametrize('is_dark', [False, True])
    def test_killed_while_it_stops(self, stand, is_dark):
        async def restart_and_kill() -> None:
            kill = stand.node.kill(0, is_dark=is_dark)
            await asyncio.gather(stand.node.restart(), kill)

        asyncio.run(restart_and_kill())

        assert len(stand.processes) == 2
        assert not stand.processes[1].signals


class TestStop:
    """A node that is stopped."""

    # Guards against a node that comes back beside its successor.
    @pytest.mark.parametrize('how', ['stop', 'remove'])
    @pytest.mark.parametrize('before', ['restart', 'kill'])
    def test_host_goes_meanwhile(self, stand, how, before):
        async def gone() -> None:
            first = {
                'restart': stand.node.restart,
                'kill': functools.partial(stand.node.kill, 0, is_dark=True),
            }
            before_it = asyncio.ensure_future(first[before]())
            await asyncio.sleep(0)
            if how == 'stop':
                await stand.node.stop()
            else:
                stand.node.remove()
            await before_it
            reviving = asyncio.ensure_future(stand.node.revive())
            for _ in range(5):
                await asyncio.sleep(0)
            reviving.cancel()

        asyncio.run(gone())

        assert len(stand.processes) == 1
        assert stand.processes[0].returncode is not None
        assert stand.node.has_left

    # Guards against a node that comes back although its host is gone.
    @pytest.mark.parametrize('how', ['stop', 'remove'])
    def test_for_good(self, stand, how):
        async def revived() -> None:
            if how == 'stop':
                await stand.node.stop()
            else:
                stand.node.remove()
            reviving = asyncio.ensure_future(stand.node.revive())
            for _ in range(5):
                await asyncio.sleep(0)
            reviving.cancel()

        asyncio.run(revived())

        assert len(stand.processes) == 1

    # Guards against a machine that is gone while its node still answers.
    @pytest.mark.parametrize('way', ['stop', 'kill'])
    def test_left(self, stand, monkeypatch, way):
        monkeypatch.setattr(Process, 'send_signal', lambda *signals: None)

        async def stopped() -> None:
            if way == 'kill':
                stand.node._is_held = True
            stopping = asyncio.ensure_future(stand.node.stop())
            await asyncio.sleep(0)
            assert not stand.node.has_left
            stand.processes[0].returncode = 0
            await stopping

        asyncio.run(stopped())

        assert stand.node.has_left

    # Guards against a start that looks as if the rig had made it.
    def test_revival(self, stand):
        async def revived() -> None:
            stand.processes[0].returncode = 1
            reviving = asyncio.ensure_future(stand.node.revive())
            for _ in range(5):
                await asyncio.sleep(0)
            reviving.cancel()

        asyncio.run(revived())

        assert stand.kinds()[:2] == [END, SignalKind.REVIVAL]
