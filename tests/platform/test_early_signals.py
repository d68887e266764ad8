"""Signals that reach a node's process before it handles them."""

import os
import signal
import subprocess
import sys
import threading

import msgspec
import pytest

_PATIENCE_S = 30
_PORTS = ('callers', 'peers', 'ready', 'heartbeats')
_SETTINGS = {
    'node': 'n1',
    'service': 'desk',
    'target': '127.0.0.1:1',
    'region': 'a',
    'failure_domain': 'a-1',
    'ports': dict.fromkeys(_PORTS, '127.0.0.1:0'),
    'bounds': {'drain_s': 2.5, 'grace_s': 6},
    'object_store': '127.0.0.1:1',
}
# The import of asyncio is the first one that the main module does for itself.
_SIGNALLED_START = """
import runpy, signal, sys

class RaisesAtImport:
    def find_spec(self, name, path, target=None):
        if name == 'asyncio':
            sys.meta_path.remove(self)
            signal.raise_signal(signal.{name})

assert 'asyncio' not in sys.modules
sys.meta_path.insert(0, RaisesAtImport())
runpy.run_module('fescueknot.platform.main', run_name='__main__')
"""
_LIBRARY_USE = """
import signal
import fescueknot.platform.main
assert signal.getsignal(signal.SIGHUP) is signal.SIG_DFL
"""


@pytest.fixture
def start(tmp_path):
    path = tmp_path / 'node.json'
    path.write_bytes(msgspec.json.encode(_SETTINGS))
    started = []

    def start_python(script):
        process = subprocess.Popen(
            [sys.executable, '-c', script],
            env={**os.environ, 'FESCUEKNOT_CONFIG': str(path)},
            stdout=subprocess.PIPE,
        )
        watchdog = threading.Timer(_PATIENCE_S, process.kill)
        watchdog.start()
        started.append((process, watchdog))
        return process

    yield start_python
    for process, watchdog in started:
        watchdog.cancel()
        process.kill()
        process.communicate()


def _events(process):
    for line in process.stdout:
        yield msgspec.json.decode(line)['event']


class TestSignalDuringTheImports:
    """A signal that comes while the main module imports the others."""

    def test_sighup_reloads_the_settings_once_started(self, start):
        # SIGHUP ended the process: its default action.
        process = start(_SIGNALLED_START.format(name='SIGHUP'))
        assert 'node.reloaded' in _events(process)

    def test_sigterm_ends_the_process(self, start):
        # Nothing listens yet, so there is nothing to drain.
        process = start(_SIGNALLED_START.format(name='SIGTERM'))
        assert process.wait() == -signal.SIGTERM

    def test_the_import_alone_leaves_signals_as_they_are(self, start):
        # Library users and tools import the adapter from the main module.
        assert start(_LIBRARY_USE).wait() == 0
