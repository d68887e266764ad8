"""Runs one node from a settings file until it is told to stop."""

import logging
import signal
import sys

from fescueknot.clock import SystemClock
from fescueknot.identity import InstanceId
from fescueknot.node.daemon import Daemon
from fescueknot.node.runtime import Runtime
from fescueknot.randomness import unseeded
from fescueknot.settings.loader import load_settings
from fescueknot.settings.model import NodeSettings
from fescueknot.settings.sections import LogFormat
from fescueknot.telemetry import logs

_MS_PER_S = 1000
_LOG = logging.getLogger('fescueknot.node')


def run(settings_path: str) -> int:
    """Run a node; return 0 after a graceful stop.

    Raise :class:`SettingsError` for a file with faults.
    """
    settings = load_settings(settings_path)
    _configure_logs(settings)
    daemon = Daemon(settings=settings, runtime=_runtime(settings))
    signal.signal(signal.SIGTERM, lambda number, frame: daemon.drain())
    signal.signal(signal.SIGINT, lambda number, frame: daemon.drain())
    daemon.start()
    daemon.run_until_drained()
    return 0


def _configure_logs(settings: NodeSettings) -> None:
    logs.configure(
        level=settings.log.level.value,
        as_json=settings.log.format is LogFormat.JSON,
        instance=settings.instance,
        stream=sys.stderr,
    )


def _runtime(settings: NodeSettings) -> Runtime:
    clock = SystemClock()
    incarnation = int(clock.wall_s() * _MS_PER_S)
    return Runtime(
        instance=InstanceId(name=settings.instance, incarnation=incarnation),
        service=settings.service,
        clock=clock,
        rng=unseeded(),
    )
