"""Edits against a store in a process of its own, frozen, killed and raced."""

import contextlib
import itertools
import multiprocessing
import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor

import pytest

from fescueknot.clock import SystemClock
from fescueknot.identity import Address
from fescueknot.objectapi.http_store import HttpStore
from fescueknot.rules import errors
from fescueknot.rules.edit import Applied, Edit
from fescueknot.rules.publisher import RulesPublisher
from tests.rules.racing_store import RacingStore

_SERVER = """
from fescueknot.objectapi.standin import StandInServer, StandInSettings
server = StandInServer(settings=StandInSettings(threads=8))
print(server.address, flush=True)
server.run()
"""
_ANSWER_TIMEOUT_S = 0.5
_OPERATORS = 4
_EDITS = 8


class _StoreProcess:
    def __init__(self) -> None:
        self.process = subprocess.Popen(
            (sys.executable, '-c', _SERVER), stdout=subprocess.PIPE, text=True
        )
        host, port = self.process.stdout.readline().split(':')
        self.address = Address(host=host, port=int(port))

    def send(self, number: signal.Signals) -> None:
        os.kill(self.process.pid, number)

    def stop(self) -> None:
        self.process.kill()
        self.process.wait()
        self.process.stdout.close()


@pytest.fixture
def server() -> Iterator[_StoreProcess]:
    running = _StoreProcess()
    yield running
    running.stop()


def _edit(name: str, base: int) -> Edit:
    text = f'a GET /{name} class=low # {name}'
    return Edit(text=text, file='f', author=name, base_version=base)


def _apply_all(address: Address, name: str) -> list[int]:
    """Apply edits, each from the newest version, and return the versions."""
    publisher = RulesPublisher(
        store=HttpStore(address=address, answer_timeout_s=30),
        clock=SystemClock(),
    )
    versions: list[int] = []
    while len(versions) < _EDITS:
        base = publisher.read().head.version
        try:
            result = publisher.apply(_edit(f'{name}{len(versions)}', base))
        except (errors.RaceLost, errors.BaseMoved):
            continue
        assert isinstance(result, Applied)
        versions.append(result.entry.version)
    return versions


class TestStoreProcess:
    """The store stops between the reading and the write."""

    @pytest.fixture
    def publisher(self, server: _StoreProcess) -> RulesPublisher:
        inner = HttpStore(
            address=server.address, answer_timeout_s=_ANSWER_TIMEOUT_S
        )
        self.store = RacingStore(inner=inner)
        return RulesPublisher(store=self.store, clock=SystemClock())

    def test_frozen(
        self, server: _StoreProcess, publisher: RulesPublisher
    ) -> None:
        self.store.between = lambda: server.send(signal.SIGSTOP)
        with pytest.raises(errors.ApplyUnknown):
            publisher.apply(_edit('marta', 0))
        server.send(signal.SIGCONT)
        patient = RulesPublisher(
            store=HttpStore(address=server.address, answer_timeout_s=30),
            clock=SystemClock(),
        )
        with contextlib.suppress(errors.RaceLost):
            patient.apply(_edit('marta', 0))
        head = patient.read().head
        assert head.version == 1
        assert 'marta' in head.lines[0]

    def test_killed(
        self, server: _StoreProcess, publisher: RulesPublisher
    ) -> None:
        self.store.between = server.stop
        with pytest.raises(errors.LogUnavailable):
            publisher.apply(_edit('marta', 0))


class TestOperatorProcesses:
    """Operators in processes of their own race for each version."""

    def test_each_version_is_accepted_once(self, server: _StoreProcess) -> None:
        spawn = multiprocessing.get_context('spawn')
        with ProcessPoolExecutor(_OPERATORS, mp_context=spawn) as pool:
            running = [
                pool.submit(_apply_all, server.address, f'p{number}')
                for number in range(_OPERATORS)
            ]
            accepted = [each.result() for each in running]
        versions = sorted(itertools.chain.from_iterable(accepted))
        assert versions == list(range(1, _OPERATORS * _EDITS + 1))
        reading = RulesPublisher(
            store=HttpStore(address=server.address, answer_timeout_s=30),
            clock=SystemClock(),
        ).read()
        assert reading.head.version == versions[-1]
        assert len(reading.entries) == len(versions)
