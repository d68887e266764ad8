"""A node whose standard streams are closed when it is started."""

import contextlib
import os
import socket
import subprocess
import sys
import threading

import msgspec
import pytest

_PATIENCE_S = 30
_LOOK_INTERVAL_S = 0.05
_PORTS = ('callers', 'peers', 'ready', 'heartbeats')
_START = 'exec "$0" -m fescueknot.platform.main '


def _settings(store_address):
    return {
        'node': 'n1',
        'service': 'desk',
        'target': '127.0.0.1:1',
        'region': 'a',
        'failure_domain': 'a-1',
        'ports': dict.fromkeys(_PORTS, '127.0.0.1:0'),
        'bounds': {'drain_s': 2.5, 'grace_s': 6},
        'object_store': store_address,
    }


def _calls(process, listening):
    """Return whether a process connects before it ends."""
    listening.settimeout(_LOOK_INTERVAL_S)
    while process.poll() is None:
        with contextlib.suppress(TimeoutError):
            listening.accept()[0].close()
            return True
    return False


def _starts(tmp_path, redirections):
    """Return whether a node gets as far as to call its store."""
    store = socket.create_server(('127.0.0.1', 0))
    path = tmp_path / 'node.json'
    settings = _settings('{}:{}'.format(*store.getsockname()))
    path.write_bytes(msgspec.json.encode(settings))
    process = subprocess.Popen(
        ['/bin/sh', '-c', _START + redirections, sys.executable],
        env={**os.environ, 'FESCUEKNOT_CONFIG': str(path)},
        stdout=subprocess.DEVNULL,
    )
    watchdog = threading.Timer(_PATIENCE_S, process.kill)
    watchdog.start()
    calls = _calls(process, store)
    watchdog.cancel()
    process.kill()
    process.wait()
    store.close()
    return calls


@pytest.mark.parametrize(
    'redirections', ['>&-', '2>&-', '<&- >&- 2>&-'], ids=['1', '2', 'all']
)
def test_it_starts(tmp_path, redirections):
    # Guards against a traceback at the start (`sys.stdout` is `None`), and a
    # socket that takes the place of a stream.
    assert _starts(tmp_path, redirections)


_TAKES_SOCKETS = """
import os, socket
from fescueknot.telemetry.standard_streams import open_missing
open_missing()
taken = {end.fileno() for end in socket.socketpair()}
raise SystemExit(bool(taken & {0, 1, 2}))
"""


def test_no_socket_takes_the_place_of_a_stream():
    ended = subprocess.run(
        ['/bin/sh', '-c', 'exec "$0" -c "$1" <&- >&- 2>&-']
        + [sys.executable, _TAKES_SOCKETS],
        check=False,
    )
    assert ended.returncode == 0
